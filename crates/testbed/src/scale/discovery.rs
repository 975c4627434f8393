//! What discovery sends to all ingresses together while servers are restarted.

use super::endpoint_set::{EndpointSet, Entry, State};
use super::measure::timed;
use super::report::{RoleReport, SizeSeries};
use super::simulated_ingress::{SimulatedEnvironment, SimulatedIngress};
use super::{targets, Run};
use std::sync::Arc;

/// Servers that each ingress holds here: what one change costs by the servers held is the list's
/// role.
const SERVERS: usize = 170;
/// Restarts that are played.
const RESTARTS: usize = 20;
/// Each restart is told as three changes: it drains, is gone, and another serves.
const CHANGES: [State; 3] = [State::Draining, State::Deleted, State::Serving];
/// An empty line in its chunk, each 2 s.
const HEARTBEAT_BYTES_A_SECOND: f64 = 3.0;
/// Framing of a chunk around a line.
const CHUNK_BYTES: usize = 8;

/// Plays restarts of servers to all of so many ingresses.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut total = SizeSeries::measured("bytes from discovery for one restart", "bytes");
    let mut cost = SizeSeries::measured("processor time of all ingresses for one restart", "ms");
    let mut rate = SizeSeries::derived(
        "bytes from discovery at 6,000 restarts a day, with heartbeats",
        "bytes/s",
    );
    let mut each = SizeSeries::derived("bytes of an ingress at 6,000 restarts a day", "bytes/s");
    let mut relay = SizeSeries::derived(
        "bytes of each of 9 relays at 6,000 restarts a day",
        "bytes/s",
    );
    let mut watches = SizeSeries::derived("watches that each of 9 relays holds", "connections");
    let endpoint_set = Arc::new(EndpointSet::single(SERVERS));
    let line = endpoint_set.whole();
    for &size in &run.sizes {
        run.progress(&format!("discovery: {size} ingresses"));
        let mut environment = SimulatedEnvironment::new(run.seed);
        let mut fleet: Vec<SimulatedIngress> = (0..size)
            .map(|n| SimulatedIngress::new(&endpoint_set, size, n, run.seed))
            .collect();
        fleet
            .iter_mut()
            .for_each(|simulated_ingress| simulated_ingress.receive_line(&line, &mut environment));
        let (mut bytes, mut costs) = (Vec::new(), Vec::new());
        for restart in 0..RESTARTS {
            let lines = restart_lines(&endpoint_set, restart);
            let sent: usize = lines.iter().map(|line| line.len() + 1 + CHUNK_BYTES).sum();
            let told = |simulated_ingress: &mut SimulatedIngress| {
                lines
                    .iter()
                    .for_each(|line| simulated_ingress.receive_line(line, &mut environment))
            };
            let (_, took) = timed(|| fleet.iter_mut().for_each(told));
            bytes.push((sent * size) as f64);
            costs.push(took.as_secs_f64() * 1e3);
        }
        total.push(size, &bytes);
        cost.push(size, &costs);
        let restart = bytes.iter().sum::<f64>() / bytes.len() as f64 / size as f64;
        let one = restart * targets::RESTARTS_A_DAY / targets::DAY + HEARTBEAT_BYTES_A_SECOND;
        rate.push(size, &[one * size as f64]);
        each.push(size, &[one]);
        let share = size as f64 / targets::CONTROL_MACHINES as f64;
        relay.push(size, &[one * share]);
        watches.push(size, &[share]);
    }
    let figures = vec![total, cost, each, rate, relay, watches];
    run.report(
        "discovery",
        "ingresses",
        figures,
        vec!["relays are reckoned: there are none (missing)".into()],
    )
}

/// The lines that tell of the restart of one server.
fn restart_lines(endpoint_set: &EndpointSet, restart: usize) -> Vec<Vec<u8>> {
    let line = |(step, state): (usize, &State)| {
        let generation = u32::from(*state == State::Serving);
        let entry = Entry {
            generation,
            state: *state,
            ..Entry::serving(restart)
        };
        endpoint_set.encode(2 + (restart * CHANGES.len() + step) as u64, false, &[entry])
    };
    CHANGES.iter().enumerate().map(line).collect()
}
