//! How often discovery is called, and how soon after a call has failed.

mod common;

use common::tier_limits;
use roseyard_ingress::routing::discovery::{Backoff, CallFailure};
use std::time::Duration;

/// Calls that `ingresses` make in ten seconds to a discovery that rejects each at once, and how
/// many of them fall into the fullest 20 ms of the last half of a second.
fn calls(ingresses: u32) -> (usize, usize) {
    let limits = tier_limits(ingresses, 2000).driver.discovery;
    let mut slots = Vec::new();
    for seed in 0..ingresses {
        let mut backoff = Backoff::new(&limits, u64::from(seed));
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(10) {
            slots.push(now.as_millis() / 20);
            let delay = backoff.next_delay(CallFailure::Rejected);
            assert!(
                delay <= Duration::from_secs(3),
                "no longer than a change may stay unreceived"
            );
            now += delay;
        }
    }
    let fullest = (450..500)
        .map(|slot| slots.iter().filter(|other| **other == slot).count())
        .max();
    (slots.len(), fullest.unwrap())
}

#[test]
fn a_watch_that_dies_silently_is_replaced_before_a_change_counts_as_notified() {
    for (ingresses, grace) in [
        (2, 0),
        (2, 1000),
        (2, 2000),
        (300, 0),
        (300, 1000),
        (300, 2000),
    ] {
        let limits = tier_limits(ingresses, grace).driver.discovery;
        let mut backoff = Backoff::new(&limits, 5);
        let failure = |n| match n % 2 == 0 {
            true => CallFailure::Rejected,
            false => CallFailure::Closed,
        };
        let longest = (0..1000)
            .map(|n| backoff.next_delay(failure(n)))
            .max()
            .unwrap();
        let received = limits.silence_timeout + limits.first_line_timeout + longest;
        let notified = Duration::from_millis(6000 + u64::from(grace));
        let margin = Duration::from_millis(200);
        assert!(
            received + margin <= notified,
            "{ingresses} ingresses, grace {grace} ms: received after {received:?}"
        );
    }
}

#[test]
fn a_hundred_ingresses_do_not_keep_an_overbooked_discovery_overbooked() {
    let (all, fullest) = calls(100);
    assert!(
        all <= 900,
        "{all} calls in 10 s; at a fixed 200 ms it is 5,000"
    );
    assert!(fullest <= 10, "{fullest} calls within 20 ms: in step");
    let (few, _) = calls(2);
    assert!(
        few >= 100,
        "{few} calls of two ingresses, which recover soon after a short loss"
    );
}
