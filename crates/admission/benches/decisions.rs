//! Measures the time of one decision and the memory per address, by the number of addresses whose
//! history is kept.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use roseyard_admission::*;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

fn peer(n: u64) -> IpAddr {
    // One million addresses are spread over 4,096 networks of 256 addresses, which are /24
    // networks.
    let n = n as u32;
    IpAddr::V4(Ipv4Addr::from_bits(
        0x0a00_0000 | ((n % 4096) << 8) | (n / 4096),
    ))
}

/// Returns a controller with the histories of `tracked` addresses, and with `open` connections.
fn controller(tracked: usize, open: usize) -> AdmissionController {
    let rate = Some(Rate {
        per_second: 1e6,
        burst: 1e6,
    });
    let policy = AdmissionPolicy {
        identify_clients_by_address: true,
        max_per_client: Some(1 << 20),
        max_per_network: Some(1 << 20),
        client_connect_rate: rate,
        network_connect_rate: rate,
        history_cache_capacity: tracked,
        max_idle_after_one_command: open,
        max_idle_without_command: open,
        ..AdmissionPolicy::with_capacity(open)
    };
    let mut controller = AdmissionController::new(policy, 7, Duration::ZERO);
    let mut out = Vec::new();
    for n in 0..tracked as u64 {
        let connection = ConnectionId(n << 32);
        controller.handle(
            Duration::ZERO,
            Event::Connected {
                connection,
                peer_address: peer(n),
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
    for n in 0..open as u64 {
        controller.handle(
            Duration::ZERO,
            Event::Connected {
                connection: ConnectionId(n),
                peer_address: peer(n),
            },
            &mut out,
        );
    }
    controller
}

/// Spreads consecutive numbers over `0..count`, so that consecutive decisions share no cache line.
fn scatter(number: u64, count: usize) -> u64 {
    number.wrapping_mul(2_654_435_761) % count as u64
}

fn connections(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("connect, evict, close");
    // Either all addresses in the cache connect in turn, or only some of them; the histories of the
    // others then take memory but no processor cache.
    for (tracked, connecting) in [
        (100, 100),
        (10_000, 100),
        (10_000, 10_000),
        (1_000_000, 100),
        (1_000_000, 10_000),
        (1_000_000, 1_000_000),
    ] {
        let mut controller = controller(tracked, 64);
        let bytes = controller.cache_sizes().bytes;
        println!(
            "{tracked} addresses tracked: {} bytes each in both tables",
            bytes / tracked
        );
        let mut number = 0;
        let mut actions = Vec::new();
        group.bench_function(BenchmarkId::new(tracked.to_string(), connecting), |b| {
            b.iter(|| {
                number += 1;
                let now = Duration::from_millis(20 * number);
                let connection = ConnectionId(number << 32 | 64);
                let connected = Event::Connected {
                    connection,
                    peer_address: peer(scatter(number, connecting)),
                };
                let closed = Event::Closed {
                    connection,
                    client_fault: false,
                };
                controller.handle(now, connected, &mut actions);
                controller.handle(now, closed, &mut actions);
                black_box(&actions);
                actions.clear();
            });
        });
    }
    group.finish();
}

fn requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request, answer, idle");
    for open in [100, 10_000, 1_000_000] {
        let mut controller = controller(open, open);
        let mut number = 0;
        let mut actions = Vec::new();
        group.bench_function(BenchmarkId::from_parameter(open), |b| {
            b.iter(|| {
                number += 1;
                let now = Duration::from_millis(number);
                let connection = ConnectionId(scatter(number, open));
                let received = Event::RequestReceived {
                    connection,
                    customer: number,
                };
                let answered = Event::RequestAnswered {
                    connection,
                    served: true,
                };
                controller.handle(now, received, &mut actions);
                controller.handle(now, answered, &mut actions);
                controller.handle(now, Event::BecameIdle(connection), &mut actions);
                black_box(&actions);
                actions.clear();
            });
        });
    }
    group.finish();
}

criterion_group!(benches, connections, requests);
criterion_main!(benches);
