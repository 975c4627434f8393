//! A zone fails and returns with cold servers.

use super::measurement::{line_bytes, run_until, Figures, PEAK_LOAD};
use crate::scale::endpoint_set::{EndpointEntry, EndpointSet, EndpointState};
use crate::scale::measure::{millis, timed};
use crate::scale::report::RoleReport;
use crate::scale::run_options::RunOptions;
use crate::scale::simulated_ingress::{
    Arrival, SimulatedEnvironment, SimulatedFleet, SimulatedIngress, VIRTUAL_START_UNIX_MS,
};
use crate::scale::targets;
use std::sync::Arc;
use std::time::Duration;

/// The number of zones. Server n belongs to zone n modulo this number.
const ZONES: usize = 13;
const FAILS_AT: Duration = Duration::from_secs(4);
const RETURNS_AT: Duration = Duration::from_secs(8);
/// The time after a server's start in which the attempts at it are counted.
const COLD_PERIOD: Duration = Duration::from_secs(3);

/// Runs only the failure and return of a zone, at each size.
#[must_use]
pub fn zone_returns(options: &RunOptions) -> RoleReport {
    let mut figures = Figures::default();
    for &size in &options.sizes {
        self::run(options, size, &mut figures);
    }
    options.report(
        "zone",
        "ingresses",
        figures.0,
        vec![options.describe_services()],
    )
}

/// Returns the servers of the first zone among this many servers.
fn zone_servers(servers: usize) -> impl Iterator<Item = usize> {
    (0..servers).step_by(ZONES)
}

/// Returns a line of a watch with the result of `entry` for each server of the zone.
fn zone_line(
    endpoints: &EndpointSet,
    revision: u64,
    entry: impl Fn(usize) -> EndpointEntry,
) -> Vec<u8> {
    let entries: Vec<EndpointEntry> = zone_servers(endpoints.servers()).map(entry).collect();
    endpoints.watch_line(revision, false, &entries)
}

fn deleted(server: usize) -> EndpointEntry {
    EndpointEntry {
        state: EndpointState::Deleted,
        ..EndpointEntry::serving(server)
    }
}

/// Measures a fleet while the servers of a zone fail and return cold. The number of servers is in
/// proportion to the planned size.
pub(super) fn run(options: &RunOptions, ingresses: usize, figures: &mut Figures) {
    let servers = ingresses * targets::SERVERS / targets::INGRESSES;
    let mut environment = SimulatedEnvironment::new(options.seed);
    let endpoints = Arc::new(EndpointSet::new(servers, options.services));
    let mut fleet = SimulatedFleet::new(&endpoints, ingresses, options.seed, &mut environment);
    run_until(&mut fleet, FAILS_AT, PEAK_LOAD, &mut environment);
    fleet.receive_line(&zone_line(&endpoints, 2, deleted), &mut environment);
    let while_down = run_until(&mut fleet, RETURNS_AT, PEAK_LOAD, &mut environment);
    let cold = |server| EndpointEntry {
        generation: 1,
        started_unix_ms: VIRTUAL_START_UNIX_MS + RETURNS_AT.as_millis() as u64,
        ..EndpointEntry::serving(server)
    };
    fleet.receive_line(&zone_line(&endpoints, 3, cold), &mut environment);
    environment.arrivals = Some(Vec::new());
    let end = RETURNS_AT + COLD_PERIOD;
    let after_return = run_until(&mut fleet, end, PEAK_LOAD, &mut environment);
    let quantity = "zone: requests not served while it is down";
    figures.measured(quantity, "%", ingresses, while_down.not_served_percent());
    let quantity = "zone: requests not served in the 3 s after its return";
    figures.measured(quantity, "%", ingresses, after_return.not_served_percent());
    let arrivals = environment.arrivals.take().unwrap_or_default();
    let ratio = ColdServerRatio::from_arrivals(&arrivals, servers);
    let quantity = "zone: attempts at a cold server in its first 3 s, mean";
    figures.measured(quantity, "of those at a warm server", ingresses, ratio.mean);
    let quantity = "zone: attempts at a cold server in its first 3 s, maximum";
    figures.measured(quantity, "of those at a warm server", ingresses, ratio.max);
}

/// The attempts at a cold server, as a ratio to the mean attempts at a warm server.
struct ColdServerRatio {
    mean: f64,
    max: f64,
}

impl ColdServerRatio {
    fn from_arrivals(arrivals: &[Arrival], servers: usize) -> ColdServerRatio {
        let mut attempts = vec![0usize; servers];
        for arrival in arrivals {
            attempts[arrival.server] += 1;
        }
        let cold: Vec<usize> = zone_servers(servers)
            .map(|server| attempts[server])
            .collect();
        let total: usize = attempts.iter().sum();
        let cold_total: usize = cold.iter().sum();
        let warm_servers = (servers - cold.len()).max(1);
        let warm_mean = (total - cold_total) as f64 / warm_servers as f64;
        let cold_mean = cold_total as f64 / cold.len() as f64;
        let cold_max = cold.iter().max().copied().unwrap_or(0) as f64;
        ColdServerRatio {
            mean: cold_mean / warm_mean,
            max: cold_max / warm_mean,
        }
    }
}

/// Measures the changes of a zone at an ingress with all servers of the planned size.
pub(super) fn in_complete_list(options: &RunOptions, size: usize, figures: &mut Figures) {
    let endpoints = Arc::new(EndpointSet::new(targets::SERVERS, options.services));
    let mut environment = SimulatedEnvironment::new(options.seed);
    let mut ingress = SimulatedIngress::new(&endpoints, targets::INGRESSES, 0, options.seed);
    ingress.receive_line(&endpoints.complete_list(), &mut environment);
    for (revision, state, change) in [
        (2, EndpointState::Deleted, "fails"),
        (3, EndpointState::Serving, "returns"),
    ] {
        let entry = |server| EndpointEntry {
            generation: u32::from(state == EndpointState::Serving),
            state,
            ..EndpointEntry::serving(server)
        };
        let line = zone_line(&endpoints, revision, entry);
        let (_, took) = timed(|| ingress.receive_line(&line, &mut environment));
        let quantity = format!("zone: bytes per ingress when it {change}");
        figures.measured(&quantity, "bytes", size, line_bytes(&line));
        let quantity = format!("zone: processor time per ingress when it {change}");
        figures.measured(&quantity, "ms", size, millis(took));
    }
}
