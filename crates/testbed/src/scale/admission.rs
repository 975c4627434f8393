//! What admission costs, by the addresses that it remembers.

use super::measure::{resident_bytes, resident_growth_mib, timed};
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use roseyard_admission::{Action, AdmissionController, AdmissionPolicy, ConnectionId, Event, Rate};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// Open connections, so that each new one displaces one.
const OPEN: usize = 64;
/// Connects of a sample.
const DECISIONS: u64 = 20_000;
/// Time between two connects.
const CONNECT_INTERVAL_MS: u64 = 20;
/// A rate that is never reached.
const UNLIMITED: Rate = Rate {
    per_second: 1e6,
    burst: 1e6,
};
/// A number of connections that is never reached.
const MAX_PER_CLIENT: u32 = 1 << 20;

/// Runs one controller at each number of addresses.
pub(super) fn run(run: &RunOptions) -> RoleReport {
    let mut decision = SizeSeries::measured("processor time of connect, displace and close", "us");
    let mut tables = SizeSeries::measured("tables by their own count", "MiB");
    let mut memory = SizeSeries::measured("memory of the gate", "MiB");
    // Kept to the end, so that the memory of each is its own.
    let mut controllers = Vec::new();
    for &size in &run.sizes {
        run.progress(&format!("admission: {size} addresses"));
        let resident_before = resident_bytes();
        let mut controller = Controller::new(size);
        memory.push(size, &[resident_growth_mib(resident_before)]);
        let table_bytes = controller.controller.cache_sizes().bytes;
        tables.push(size, &[table_bytes as f64 / f64::from(1 << 20)]);
        let samples: Vec<f64> = (0..run.repeats as u64)
            .map(|round| controller.decision_us(size as u64, round))
            .collect();
        decision.push(size, &samples);
        controllers.push(controller);
    }
    let figures = vec![decision, memory, tables];
    run.report("admission", "addresses", figures, Vec::new())
}

fn peer(number: u64) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 + number as u32))
}

struct Controller {
    controller: AdmissionController,
    actions: Vec<Action>,
}

impl Controller {
    /// A controller that remembers this many addresses and has [`OPEN`] connections.
    fn new(addresses: usize) -> Controller {
        let policy = AdmissionPolicy {
            identify_clients_by_address: true,
            max_per_client: Some(MAX_PER_CLIENT),
            max_per_network: Some(MAX_PER_CLIENT),
            client_connect_rate: Some(UNLIMITED),
            network_connect_rate: Some(UNLIMITED),
            history_cache_capacity: addresses,
            max_idle_after_one_command: OPEN,
            max_idle_without_command: OPEN,
            ..AdmissionPolicy::with_capacity(OPEN)
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
        for number in 0..OPEN as u64 {
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

    /// Microseconds of processor time of a connect, a displacement and a close.
    fn decision_us(&mut self, addresses: u64, round: u64) -> f64 {
        let (_, took) = timed(|| {
            for number in 0..DECISIONS {
                let serial = round * DECISIONS + number + 1;
                let now = Duration::from_millis(CONNECT_INTERVAL_MS * serial);
                // Slots are used in turn: the next one is idle for the longest time.
                let slot = serial % OPEN as u64 + OPEN as u64;
                let connection = ConnectionId((serial << 32) + slot);
                self.connect(now, connection, peer(serial % addresses));
                self.close(now, connection);
            }
        });
        took.as_secs_f64() * 1e6 / DECISIONS as f64
    }
}
