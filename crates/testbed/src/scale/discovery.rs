//! The traffic from discovery to all ingresses together while servers restart.

use super::endpoint_set::{EndpointEntry, EndpointSet, EndpointState, RESTART_STATES};
use super::measure::{millis, timed};
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use super::simulated_ingress::{SimulatedEnvironment, SimulatedFleet};
use super::targets;
use std::sync::Arc;

/// Servers in the endpoint list. The role `list` measures how the cost of a change depends on this
/// number.
const SERVERS: usize = 170;
/// The number of server restarts that are measured.
const RESTARTS: usize = 20;
/// The heartbeat is an empty line in a chunk, sent every 2 s.
const HEARTBEAT_BYTES_PER_SECOND: f64 = 3.0;
/// Bytes that the chunked encoding adds to a line.
const CHUNK_OVERHEAD_BYTES: usize = 8;

/// Sends the changes of restarting servers to a fleet of each size.
pub(super) fn run(options: &RunOptions) -> RoleReport {
    let mut figures = Figures::new();
    let endpoints = Arc::new(EndpointSet::single(SERVERS));
    for &size in &options.sizes {
        options.progress(&format!("discovery: {size} ingresses"));
        measure(options, &endpoints, size, &mut figures);
    }
    let note = "the values for relays are calculated; the platform has no relays".to_owned();
    options.report("discovery", "ingresses", figures.series(), vec![note])
}

fn measure(options: &RunOptions, endpoints: &Arc<EndpointSet>, size: usize, figures: &mut Figures) {
    let mut environment = SimulatedEnvironment::new(options.seed);
    let mut fleet = SimulatedFleet::new(endpoints, size, options.seed, &mut environment);
    let mut bytes = Vec::new();
    let mut costs_ms = Vec::new();
    for restart in 0..RESTARTS {
        let lines = restart_lines(endpoints, restart);
        let line_bytes = lines
            .iter()
            .map(|line| line.len() + 1 + CHUNK_OVERHEAD_BYTES);
        let sent: usize = line_bytes.sum();
        let (_, took) = timed(|| {
            for ingress in &mut fleet.ingresses {
                for line in &lines {
                    ingress.receive_line(line, &mut environment);
                }
            }
        });
        bytes.push((sent * size) as f64);
        costs_ms.push(millis(took));
    }
    figures.restart_cost.push(size, &costs_ms);
    figures.push_bytes(size, &bytes);
}

struct Figures {
    restart_bytes: SizeSeries,
    restart_cost: SizeSeries,
    per_ingress: SizeSeries,
    total: SizeSeries,
    relay: SizeSeries,
    relay_watches: SizeSeries,
}

impl Figures {
    fn new() -> Figures {
        let measured = SizeSeries::measured;
        let derived = SizeSeries::derived;
        Figures {
            restart_bytes: measured("bytes from discovery for one restart", "bytes"),
            restart_cost: measured("processor time of all ingresses for one restart", "ms"),
            per_ingress: derived("bytes per ingress at 6,000 restarts a day", "bytes/s"),
            total: derived(
                "bytes from discovery at 6,000 restarts a day, with heartbeats",
                "bytes/s",
            ),
            relay: derived(
                "bytes per relay with 9 relays at 6,000 restarts a day",
                "bytes/s",
            ),
            relay_watches: derived("open watches per relay with 9 relays", "connections"),
        }
    }

    /// Adds the values for one size; `restarts` has the bytes sent to all ingresses for each
    /// restart.
    fn push_bytes(&mut self, size: usize, restarts: &[f64]) {
        self.restart_bytes.push(size, restarts);
        let restart = restarts.iter().sum::<f64>() / restarts.len() as f64 / size as f64;
        let per_ingress =
            restart * targets::RESTARTS_A_DAY / targets::SECONDS_A_DAY + HEARTBEAT_BYTES_PER_SECOND;
        let relay_ingresses = size as f64 / targets::CONTROL_MACHINES as f64;
        self.total.push(size, &[per_ingress * size as f64]);
        self.per_ingress.push(size, &[per_ingress]);
        self.relay.push(size, &[per_ingress * relay_ingresses]);
        self.relay_watches.push(size, &[relay_ingresses]);
    }

    fn series(self) -> Vec<SizeSeries> {
        vec![
            self.restart_bytes,
            self.restart_cost,
            self.per_ingress,
            self.total,
            self.relay,
            self.relay_watches,
        ]
    }
}

/// Returns the lines of the watch that report the restart of one server.
fn restart_lines(endpoints: &EndpointSet, restart: usize) -> Vec<Vec<u8>> {
    let line = |(step, state): (usize, &EndpointState)| {
        let entry = EndpointEntry {
            generation: u32::from(*state == EndpointState::Serving),
            state: *state,
            ..EndpointEntry::serving(restart)
        };
        let revision = 2 + (restart * RESTART_STATES.len() + step) as u64;
        endpoints.watch_line(revision, false, &[entry])
    };
    RESTART_STATES.iter().enumerate().map(line).collect()
}
