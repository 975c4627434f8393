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

/// Zones, to which servers belong in turn.
const ZONES: usize = 13;
const FAILS_AT: Duration = Duration::from_secs(4);
const RETURNS_AT: Duration = Duration::from_secs(8);
/// Time over which a cold server must not get too much.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Runs only a zone's return, at each size.
#[must_use]
pub fn zone_returns(run: &RunOptions) -> RoleReport {
    let mut figures = Figures::default();
    for &size in &run.sizes {
        self::run(run, size, &mut figures);
    }
    run.report("zone", "ingresses", figures.0, vec![run.division()])
}

/// The servers of one zone among this many.
fn zone_servers(servers: usize) -> impl Iterator<Item = usize> {
    (0..servers).step_by(ZONES)
}

/// The line of a watch in which each server of the zone has the entry that `entry` makes.
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

/// A zone's servers fail and return cold, in proportion to the planned size.
pub(super) fn run(run: &RunOptions, ingresses: usize, figures: &mut Figures) {
    let servers = ingresses * targets::SERVERS / targets::INGRESSES;
    let mut environment = SimulatedEnvironment::new(run.seed);
    let endpoints = Arc::new(EndpointSet::new(servers, run.services));
    let mut fleet = SimulatedFleet::new(&endpoints, ingresses, run.seed, &mut environment);
    run_until(&mut fleet, FAILS_AT, PEAK_LOAD, &mut environment);
    fleet.receive_line(&zone_line(&endpoints, 2, deleted), &mut environment);
    let without = run_until(&mut fleet, RETURNS_AT, PEAK_LOAD, &mut environment);
    let cold = |server| EndpointEntry {
        generation: 1,
        started_unix_ms: VIRTUAL_START_UNIX_MS + RETURNS_AT.as_millis() as u64,
        ..EndpointEntry::serving(server)
    };
    fleet.receive_line(&zone_line(&endpoints, 3, cold), &mut environment);
    environment.arrivals = Some(Vec::new());
    let end = RETURNS_AT + COLD_TIME;
    let with = run_until(&mut fleet, end, PEAK_LOAD, &mut environment);
    let quantity = "zone: requests refused while it is gone";
    figures.measured(quantity, "%", ingresses, without.not_served_percent());
    let quantity = "zone: requests refused in the 3 s after its return";
    figures.measured(quantity, "%", ingresses, with.not_served_percent());
    let arrivals = environment.arrivals.take().unwrap_or_default();
    let share = ColdShare::of(&arrivals, servers);
    let quantity = "zone: sends at a cold server in its first 3 s, mean";
    figures.measured(quantity, "of a warm one", ingresses, share.mean);
    let quantity = "zone: sends at a cold server in its first 3 s, most";
    figures.measured(quantity, "of a warm one", ingresses, share.max);
}

/// Attempts at a cold server as a share of those at a warm one.
struct ColdShare {
    mean: f64,
    max: f64,
}

impl ColdShare {
    fn of(arrivals: &[Arrival], servers: usize) -> ColdShare {
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
        ColdShare {
            mean: cold_mean / warm_mean,
            max: cold_max / warm_mean,
        }
    }
}

/// The changes of a zone at an ingress that has all servers of the planned size.
pub(super) fn in_complete_list(run: &RunOptions, size: usize, figures: &mut Figures) {
    let endpoints = Arc::new(EndpointSet::new(targets::SERVERS, run.services));
    let mut environment = SimulatedEnvironment::new(run.seed);
    let mut ingress = SimulatedIngress::new(&endpoints, targets::INGRESSES, 0, run.seed);
    ingress.receive_line(&endpoints.complete_list(), &mut environment);
    for (revision, state, change) in [
        (2, EndpointState::Deleted, "goes"),
        (3, EndpointState::Serving, "returns"),
    ] {
        let entry = |server| EndpointEntry {
            generation: u32::from(state == EndpointState::Serving),
            state,
            ..EndpointEntry::serving(server)
        };
        let line = zone_line(&endpoints, revision, entry);
        let (_, took) = timed(|| ingress.receive_line(&line, &mut environment));
        let quantity = format!("zone: bytes at an ingress when it {change}");
        figures.measured(&quantity, "bytes", size, line_bytes(&line));
        let quantity = format!("zone: processor time at an ingress when it {change}");
        figures.measured(&quantity, "ms", size, millis(took));
    }
}
