//! The operator's file changes under load, by SIGHUP.

use super::finding::{Fault, Finding};
use super::testbed::{FaultTestbed, LARGEST_SERVICE_SERVERS, OTHER_SERVICES_RATE, WARM_UP};
use crate::checker::{check, Verdict};
use crate::client_load::LoadOutcome;
use crate::scale::daemon::options::{DaemonOptions, PLANNED_INGRESSES, SETTLE_TIME};
use crate::scale::topology::ServiceTopology;
use std::io;
use std::time::Duration;

/// Reloads that move routes.
const ROUTE_MOVES: u32 = 8;
/// Time between two of them.
const ROUTE_MOVE_INTERVAL: Duration = Duration::from_millis(500);
const MOVE_SEED_OFFSET: u64 = 3;
/// Services of each generation.
const CHURN_SERVICES: u32 = 1_000;
const CHURN_GENERATIONS: u32 = 100;
/// The generation at which memory is first read.
const CHURN_BASELINE_GENERATION: u32 = 10;
/// Requests a second while services churn.
const CHURN_RATE: f64 = 2_000.0;
const CHURN_SEED_OFFSET: u64 = 4;
/// Largest memory after the churn, as a multiple of the first reading.
const MAX_CHURN_MEMORY_RATIO: f64 = 1.1;
/// The daemon logs this if it does not accept a file.
const FILE_REJECTED: &str = "stays in force";

pub(super) fn routes_move(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let testbed = FaultTestbed::start_warm(options)?;
    // Idempotent requests would be retried if a server responds late, whatever the routes do.
    let all = testbed
        .load_on_all_services(options, OTHER_SERVICES_RATE, MOVE_SEED_OFFSET)
        .non_idempotent();
    // The daemon has to know the latency of this class too.
    testbed.wait(testbed.spawn_load(&all.with_seed(all.seed + 1), WARM_UP));
    let first_event = testbed.events().len();
    let load_task = testbed.spawn_load(&all, ROUTE_MOVE_INTERVAL * (ROUTE_MOVES + 1));
    let accepted = move_routes(&testbed)?;
    let outcome = testbed.wait(load_task);
    let verdict = check(&testbed.events()[first_event..]);
    Ok(vec![
        Fault::RoutesMove.finding(
            "every reload is taken",
            format!("{accepted} of {ROUTE_MOVES}"),
            accepted == ROUTE_MOVES,
        ),
        all_served(&outcome, &verdict),
        Fault::RoutesMove.finding(
            "none is repeated",
            format!(
                "{} attempts for {} that were served",
                verdict.attempts, verdict.served
            ),
            verdict.attempts == verdict.served,
        ),
    ])
}

/// Moves the routes to and fro; the number of files that the daemon accepts.
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
            "{} of {} ({} refused, {} failed, rules broken: {violations:?})",
            outcome.served, outcome.requests, outcome.rejected, outcome.failed
        ),
        outcome.requests > 0 && outcome.served == outcome.requests && violations.is_empty(),
    )
}

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
        format!("memory after {services} services within {MAX_CHURN_MEMORY_RATIO} times that after the first tenth"),
        format!("{ratio:.2} times ({baseline_kib} KiB, {last_kib} KiB), {rejected_files} reloads refused"),
        rejected_files == 0 && ratio <= MAX_CHURN_MEMORY_RATIO,
    )])
}
