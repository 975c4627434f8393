//! The backoff of calls to discovery: how soon a failed call is repeated, and how many calls many
//! ingresses make together.

mod common;

use common::tier_limits;
use roseyard_ingress::routing::discovery::{Backoff, CallFailure};
use std::time::Duration;

/// Returns the number of calls that `ingresses` make in ten seconds to a discovery that rejects
/// each at once, and the largest number of calls within one of the 20 ms slots of the last second.
fn count_calls(ingresses: u32) -> (usize, usize) {
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
                "the next call is delayed by {delay:?}, more than 3 s"
            );
            now += delay;
        }
    }
    let max_per_slot = (450..500)
        .map(|slot| slots.iter().filter(|other| **other == slot).count())
        .max();
    (slots.len(), max_per_slot.unwrap())
}

#[test]
fn a_silent_watch_is_replaced_before_a_change_counts_as_notified() {
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
        let max_delay = (0..1000)
            .map(|n| backoff.next_delay(failure(n)))
            .max()
            .unwrap();
        let max_receive_delay = limits.silence_timeout + limits.first_line_timeout + max_delay;
        let notification_time = Duration::from_millis(6000 + u64::from(grace));
        let margin = Duration::from_millis(200);
        assert!(
            max_receive_delay + margin <= notification_time,
            "{ingresses} ingresses, grace {grace} ms: a change is received up to {max_receive_delay:?} late"
        );
    }
}

#[test]
fn the_retries_of_a_hundred_ingresses_do_not_keep_discovery_overloaded() {
    let (calls_of_hundred, max_per_slot) = count_calls(100);
    assert!(
        calls_of_hundred <= 900,
        "{calls_of_hundred} calls in 10 s; a fixed delay of 200 ms would make 5,000"
    );
    assert!(
        max_per_slot <= 10,
        "{max_per_slot} calls within 20 ms: the retries are synchronized"
    );
    let (calls_of_two, _) = count_calls(2);
    assert!(
        calls_of_two >= 100,
        "{calls_of_two} calls in 10 s: two ingresses would notice late that discovery is back"
    );
}
