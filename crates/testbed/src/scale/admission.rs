//! The cost of admission by the number of client addresses that it remembers.

use super::measure::{resident_bytes, resident_growth_mib, timed};
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use roseyard_admission::{Action, AdmissionController, AdmissionPolicy, ConnectionId, Event, Rate};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// Open connections. They fill the capacity, so that each new connection displaces another one.
const OPEN_CONNECTIONS: usize = 64;
/// New connections in a sample.
const CONNECTS_PER_SAMPLE: u64 = 20_000;
/// Virtual time between two new connections.
const CONNECT_INTERVAL_MS: u64 = 20;
/// A rate limit that is never reached.
const UNLIMITED_RATE: Rate = Rate {
    per_second: 1e6,
    burst: 1e6,
};
/// A limit of connections per client and per network that is never reached.
const UNLIMITED_CONNECTIONS: u32 = 1 << 20;

/// Measures one controller for each number of addresses.
pub(super) fn run(options: &RunOptions) -> RoleReport {
    let mut decision = SizeSeries::measured("processor time of connect, displace and close", "us");
    let mut tables =
        SizeSeries::measured("memory of the tables, as counted by the controller", "MiB");
    let mut memory = SizeSeries::measured("memory of the admission controller", "MiB");
    // No controller is dropped before the end, because the next one would reuse its memory and the
    // growth of the resident memory would be too small.
    let mut controllers = Vec::new();
    for &size in &options.sizes {
        options.progress(&format!("admission: {size} addresses"));
        let resident_before = resident_bytes();
        let mut controller = Controller::new(size);
        memory.push(size, &[resident_growth_mib(resident_before)]);
        let table_bytes = controller.controller.cache_sizes().bytes;
        tables.push(size, &[table_bytes as f64 / f64::from(1 << 20)]);
        let samples: Vec<f64> = (0..options.repeats as u64)
            .map(|round| controller.decision_us(size as u64, round))
            .collect();
        decision.push(size, &samples);
        controllers.push(controller);
    }
    let figures = vec![decision, memory, tables];
    options.report("admission", "addresses", figures, Vec::new())
}

fn peer(number: u64) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 + number as u32))
}

struct Controller {
    controller: AdmissionController,
    actions: Vec<Action>,
}

impl Controller {
    /// Returns a controller that remembers this many addresses and has [`OPEN_CONNECTIONS`] open
    /// connections.
    fn new(addresses: usize) -> Controller {
        let policy = AdmissionPolicy {
            identify_clients_by_address: true,
            max_per_client: Some(UNLIMITED_CONNECTIONS),
            max_per_network: Some(UNLIMITED_CONNECTIONS),
            client_connect_rate: Some(UNLIMITED_RATE),
            network_connect_rate: Some(UNLIMITED_RATE),
            history_cache_capacity: addresses,
            max_idle_after_one_command: OPEN_CONNECTIONS,
            max_idle_without_command: OPEN_CONNECTIONS,
            ..AdmissionPolicy::with_capacity(OPEN_CONNECTIONS)
        };
        let mut controller = Controller {
            controller: AdmissionController::new(policy, 7, Duration::ZERO),
            actions: Vec::new(),
        };
        for number in 0..addresses as u64 {
            let connection = ConnectionId(number << 32);
            controller.connect(Duration::ZERO, connection, peer(number));
            controller.close(Duration::ZERO, connection);
        }
        for number in 0..OPEN_CONNECTIONS as u64 {
            controller.connect(Duration::ZERO, ConnectionId(number), peer(number));
        }
        controller
    }

    fn connect(&mut self, now: Duration, connection: ConnectionId, peer_address: IpAddr) {
        let event = Event::Connected {
            connection,
            peer_address,
        };
        self.controller.handle(now, event, &mut self.actions);
    }

    fn close(&mut self, now: Duration, connection: ConnectionId) {
        let event = Event::Closed {
            connection,
            client_fault: false,
        };
        self.controller.handle(now, event, &mut self.actions);
        self.actions.clear();
    }

    /// Returns the mean processor time of a connect, a displacement and a close, in microseconds.
    fn decision_us(&mut self, addresses: u64, round: u64) -> f64 {
        let (_, took) = timed(|| {
            for number in 0..CONNECTS_PER_SAMPLE {
                let serial = round * CONNECTS_PER_SAMPLE + number + 1;
                let now = Duration::from_millis(CONNECT_INTERVAL_MS * serial);
                // The slots are used in rotation, so the next one has been idle longest.
                let slot = serial % OPEN_CONNECTIONS as u64 + OPEN_CONNECTIONS as u64;
                let connection = ConnectionId((serial << 32) + slot);
                self.connect(now, connection, peer(serial % addresses));
                self.close(now, connection);
            }
        });
        took.as_secs_f64() * 1e6 / CONNECTS_PER_SAMPLE as f64
    }
}
