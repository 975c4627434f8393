//! Time of one decision and memory of one address, by the number of addresses tracked.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use roseyard_admission::*;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

fn peer(n: u64) -> IpAddr {
    // In 4,096 neighbourhoods of 256: a million addresses are as many whole /24.
    let n = n as u32;
    IpAddr::V4(Ipv4Addr::from_bits(
        0x0a00_0000 | ((n % 4096) << 8) | (n / 4096),
    ))
}

/// A gate that has seen so many addresses, with `open` connections held.
fn controller(tracked: usize, open: usize) -> AdmissionController {
    let rate = Some(Rate {
        per_second: 1e6,
        burst: 1e6,
    });
    let policy = AdmissionPolicy {
        by_address: true,
        per_client: Some(1 << 20),
        per_neighbourhood: Some(1 << 20),
        rate_client: rate,
        rate_neighbourhood: rate,
        max_remembered: tracked,
        max_idle_after_one_request: open,
        max_idle_without_request: open,
        ..AdmissionPolicy::of(open)
    };
    let mut controller = AdmissionController::new(policy, 7, Duration::ZERO);
    let mut out = Vec::new();
    for n in 0..tracked as u64 {
        let conn = ConnectionId(n << 32);
        controller.handle(
            Duration::ZERO,
            Event::Connected {
                conn,
                peer: peer(n),
            },
            &mut out,
        );
        controller.handle(
            Duration::ZERO,
            Event::Closed { conn, fault: false },
            &mut out,
        );
        out.clear();
    }
    for n in 0..open as u64 {
        controller.handle(
            Duration::ZERO,
            Event::Connected {
                conn: ConnectionId(n),
                peer: peer(n),
            },
            &mut out,
        );
    }
    controller
}

fn decisions(c: &mut Criterion) {
    let mut connects = c.benchmark_group("connect, displace, close");
    // All that are tracked come in turn, or only so many of them: the rest costs memory, and no
    // cache.
    for (tracked, come) in [
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
        let (mut n, mut out) = (0u64, Vec::new());
        connects.bench_function(BenchmarkId::new(tracked.to_string(), come), |b| {
            b.iter(|| {
                n += 1;
                let now = Duration::from_millis(20 * n);
                let conn = ConnectionId(n << 32 | 64);
                let peer = peer(n.wrapping_mul(2_654_435_761) % come as u64);
                controller.handle(now, Event::Connected { conn, peer }, &mut out);
                controller.handle(now, Event::Closed { conn, fault: false }, &mut out);
                black_box(&out);
                out.clear();
            })
        });
    }
    connects.finish();
    let mut requests = c.benchmark_group("ask, answer, rest");
    for open in [100, 10_000, 1_000_000] {
        let mut controller = controller(open, open);
        let (mut n, mut out) = (0u64, Vec::new());
        requests.bench_function(BenchmarkId::from_parameter(open), |b| {
            b.iter(|| {
                n += 1;
                let (now, conn) = (
                    Duration::from_millis(n),
                    ConnectionId(n.wrapping_mul(2_654_435_761) % open as u64),
                );
                controller.handle(now, Event::RequestReceived { conn, customer: n }, &mut out);
                controller.handle(now, Event::Answered { conn, served: true }, &mut out);
                controller.handle(now, Event::BecameIdle(conn), &mut out);
                black_box(&out);
                out.clear();
            })
        });
    }
    requests.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
