//! The operator's file is changed and reloaded (SIGHUP) under load.

use super::finding::{Fault, Finding};
use super::testbed::{FaultTestbed, LARGEST_SERVICE_SERVERS, OTHER_SERVICES_RATE, WARM_UP};
use crate::checker::{check, Verdict};
use crate::client_load::LoadOutcome;
use crate::scale::daemon::options::{DaemonOptions, PLANNED_INGRESSES, SETTLE_TIME};
use crate::scale::topology::ServiceTopology;
use std::io;
use std::time::Duration;

/// The number of reloads that move routes.
const ROUTE_MOVES: u32 = 8;
/// Time between two such reloads.
const ROUTE_MOVE_INTERVAL: Duration = Duration::from_millis(500);
/// Added to the seed of the run for the load during the moves.
const ROUTE_MOVE_SEED_OFFSET: u64 = 3;
/// The number of services in each generation.
const CHURN_SERVICES: u32 = 1_000;
/// The number of times that all services are replaced.
const CHURN_GENERATIONS: u32 = 100;
/// The generation after which memory is measured for comparison.
const CHURN_BASELINE_GENERATION: u32 = 10;
/// Requests per second while services are replaced.
const CHURN_RATE: f64 = 2_000.0;
/// Added to the seed of the run for the loads during the churn.
const CHURN_SEED_OFFSET: u64 = 4;
/// The maximum ratio of memory after the last generation to memory after the baseline generation.
const MAX_CHURN_MEMORY_RATIO: f64 = 1.1;
/// Part of the line that the daemon logs when it rejects an operator's file.
const FILE_REJECTED: &str = "stays in force";

/// Moves routes between services during a load of requests that are not idempotent, and checks that
/// each request is executed once.
pub(super) fn routes_move(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let testbed = FaultTestbed::start_warm(options)?;
    // Idempotent requests are retried if a server responds late, even without a change of routes.
    let all = testbed
        .load_on_all_services(options, OTHER_SERVICES_RATE, ROUTE_MOVE_SEED_OFFSET)
        .non_idempotent();
    // The daemon has to have measured latencies of this class too.
    testbed.wait(testbed.spawn_load(&all.with_seed(all.seed + 1), WARM_UP));
    let first_event = testbed.events().len();
    let load_task = testbed.spawn_load(&all, ROUTE_MOVE_INTERVAL * (ROUTE_MOVES + 1));
    let accepted = move_routes(&testbed)?;
    let outcome = testbed.wait(load_task);
    let verdict = check(&testbed.events()[first_event..]);
    Ok(vec![
        Fault::RoutesMove.finding(
            "every reload is accepted",
            format!("{accepted} of {ROUTE_MOVES}"),
            accepted == ROUTE_MOVES,
        ),
        all_served(&outcome, &verdict),
        Fault::RoutesMove.finding(
            "no request is executed more than once",
            format!(
                "{} attempts for {} served requests",
                verdict.attempts, verdict.served
            ),
            verdict.attempts == verdict.served,
        ),
    ])
}

/// Moves routes to other services and back in turn; returns the number of reloads that the daemon
/// accepted.
fn move_routes(testbed: &FaultTestbed) -> io::Result<u32> {
    let mut accepted = 0;
    for number in 0..ROUTE_MOVES {
        std::thread::sleep(ROUTE_MOVE_INTERVAL);
        let file = if number.is_multiple_of(2) {
            testbed.topology.operator_file_moved()
        } else {
            testbed.topology.operator_file()
        };
        let line = testbed.daemon.reload(&file)?;
        accepted += u32::from(!line.contains(FILE_REJECTED));
    }
    Ok(accepted)
}

fn all_served(outcome: &LoadOutcome, verdict: &Verdict) -> Finding {
    let violations: Vec<String> = verdict.violations.iter().map(ToString::to_string).collect();
    Fault::RoutesMove.finding(
        "every request is served",
        format!(
            "{} of {} ({} rejected, {} failed, rules violated: {violations:?})",
            outcome.served, outcome.requests, outcome.rejected, outcome.failed
        ),
        outcome.requests > 0 && outcome.served == outcome.requests && violations.is_empty(),
    )
}

/// Replaces all services [`CHURN_GENERATIONS`] times, and checks that the daemon's memory does not
/// grow with them.
pub(super) fn churn(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let topology = ServiceTopology::long_tail(
        CHURN_SERVICES * 2,
        CHURN_SERVICES,
        LARGEST_SERVICE_SERVERS,
        CHURN_SERVICES,
    );
    let testbed = FaultTestbed::start_with_topology(options, topology, PLANNED_INGRESSES)?;
    let all = testbed.load_on_all_services(options, CHURN_RATE, CHURN_SEED_OFFSET);
    let mut baseline_kib = 0;
    let mut rejected_files = 0;
    for generation in 1..=CHURN_GENERATIONS {
        let names = format!("g{generation}-");
        let file = testbed.topology.operator_file_of(&names);
        let line = testbed.daemon.reload(&file)?;
        rejected_files += u32::from(line.contains(FILE_REJECTED));
        let load = all.with_seed(all.seed + u64::from(generation));
        testbed.wait(testbed.spawn_load(&load, SETTLE_TIME));
        if generation == CHURN_BASELINE_GENERATION {
            baseline_kib = testbed.daemon.daemon.rss_kib()?;
        }
    }
    let last_kib = testbed.daemon.daemon.rss_kib()?;
    let ratio = last_kib as f64 / baseline_kib.max(1) as f64;
    let services = CHURN_SERVICES * CHURN_GENERATIONS;
    Ok(vec![Fault::Churn.finding(
        format!("memory after {services} services is at most {MAX_CHURN_MEMORY_RATIO} times that after the first tenth of them"),
        format!("{ratio:.2} times ({baseline_kib} KiB, {last_kib} KiB), {rejected_files} reloads rejected"),
        rejected_files == 0 && ratio <= MAX_CHURN_MEMORY_RATIO,
    )])
}
