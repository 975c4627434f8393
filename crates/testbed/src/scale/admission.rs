//! What admission costs, by the addresses that it remembers.

use super::measure::{resident_bytes, timed};
use super::report::{Figure, RoleReport};
use super::Run;
use roseyard_admission::{AdmissionController, AdmissionPolicy, ConnectionId, Event, Rate};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// Connections held, so that each that comes displaces one.
const OPEN: usize = 64;
const DECISIONS: u64 = 20_000;

/// Plays one gate at each number of addresses.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut decision = Figure::measured("processor time of connect, displace and close", "us");
    let mut tables = Figure::measured("tables by their own count", "MiB");
    let mut memory = Figure::measured("memory of the gate", "MiB");
    let mut held = Vec::new();
    for &size in &run.sizes {
        run.progress(&format!("admission: {size} addresses"));
        let before = resident_bytes();
        let mut controller = controller(size);
        memory.push(
            size,
            &[resident_bytes().saturating_sub(before) as f64 / f64::from(1 << 20)],
        );
        tables.push(
            size,
            &[controller.cache_sizes().bytes as f64 / f64::from(1 << 20)],
        );
        let samples: Vec<f64> = (0..run.repeats as u64)
            .map(|n| decide(&mut controller, size as u64, n))
            .collect();
        decision.push(size, &samples);
        held.push(controller);
    }
    run.report(
        "admission",
        "addresses",
        vec![decision, memory, tables],
        Vec::new(),
    )
}

fn peer(number: u64) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 + number as u32))
}

fn controller(addresses: usize) -> AdmissionController {
    let rate = Some(Rate {
        per_second: 1e6,
        burst: 1e6,
    });
    let policy = AdmissionPolicy {
        by_address: true,
        max_per_client: Some(1 << 20),
        max_per_network: Some(1 << 20),
        client_connect_rate: rate,
        network_connect_rate: rate,
        max_remembered: addresses,
        max_idle_after_one_request: OPEN,
        max_idle_without_request: OPEN,
        ..AdmissionPolicy::with_capacity(OPEN)
    };
    let (mut controller, mut out) = (
        AdmissionController::new(policy, 7, Duration::ZERO),
        Vec::new(),
    );
    for number in 0..addresses as u64 {
        let connection = ConnectionId(number << 32);
        controller.handle(
            Duration::ZERO,
            Event::Connected {
                connection,
                peer_address: peer(number),
            },
            &mut out,
        );
        controller.handle(
            Duration::ZERO,
            Event::Closed {
                connection,
                client_fault: false,
            },
            &mut out,
        );
        out.clear();
    }
    for number in 0..OPEN as u64 {
        controller.handle(
            Duration::ZERO,
            Event::Connected {
                connection: ConnectionId(number),
                peer_address: peer(number),
            },
            &mut out,
        );
    }
    controller
}

fn decide(controller: &mut AdmissionController, addresses: u64, round: u64) -> f64 {
    let mut out = Vec::new();
    let (_, took) = timed(|| {
        for n in 0..DECISIONS {
            let serial = round * DECISIONS + n + 1;
            let now = Duration::from_millis(20 * serial);
            // Slots are used in turn: the next one is the longest rested.
            let connection = ConnectionId((serial << 32) + serial % OPEN as u64 + OPEN as u64);
            controller.handle(
                now,
                Event::Connected {
                    connection,
                    peer_address: peer(serial % addresses),
                },
                &mut out,
            );
            controller.handle(
                now,
                Event::Closed {
                    connection,
                    client_fault: false,
                },
                &mut out,
            );
            out.clear();
        }
    });
    took.as_secs_f64() * 1e6 / DECISIONS as f64
}
