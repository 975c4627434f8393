//! Tests that idle connections are avoided if they are likely to be reset, and reused otherwise.

use roseyard_request_engine::*;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Records the outcomes of 100 requests per second for `seconds`, half of them on new connections
/// and half on idle ones. Returns the time of the last request.
fn record_requests(
    risk: &mut IdleConnectionRisk,
    from: Duration,
    seconds: u64,
    is_reset: impl Fn(Option<Duration>, u64) -> bool,
) -> Duration {
    let mut now = from;
    for n in 0..seconds * 100 {
        let idle = (n % 2 == 0).then(|| MS(20 + n * 37 % 600));
        now += MS(10);
        risk.record_outcome(idle, is_reset(idle, n), now);
    }
    now
}

#[test]
fn idle_times_with_many_resets_are_avoided_and_shorter_ones_are_used() {
    let mut risk = IdleConnectionRisk::default();
    let now = record_requests(&mut risk, MS(0), 20, |idle, n| {
        idle.is_some_and(|idle| idle >= MS(160)) && n % 5 < 2
    });
    assert_eq!(risk.choose(MS(30), false, now), IdleConnectionUse::Reuse);
    assert_eq!(risk.choose(MS(130), false, now), IdleConnectionUse::Reuse);
    assert_eq!(risk.choose(MS(400), false, now), IdleConnectionUse::Close);
    assert_eq!(risk.choose(MS(400), true, now), IdleConnectionUse::Close);
    assert_eq!(
        risk.choose(MS(20_000), true, now),
        IdleConnectionUse::Close,
        "longer idle times have at least the same risk"
    );
}

#[test]
fn resets_that_are_equally_frequent_on_new_connections_do_not_prevent_reuse() {
    let mut risk = IdleConnectionRisk::default();
    let now = record_requests(&mut risk, MS(0), 20, |_, n| n / 2 % 8 == 0);
    for idle_ms in [30, 100, 300, 600] {
        assert_eq!(
            risk.choose(MS(idle_ms), true, now),
            IdleConnectionUse::Reuse,
            "{idle_ms} ms"
        );
    }
}

#[test]
fn idempotent_requests_accept_a_higher_risk() {
    let mut risk = IdleConnectionRisk::default();
    let now = record_requests(&mut risk, MS(0), 60, |idle, n| idle.is_some() && n % 20 < 2);
    assert_eq!(
        risk.choose(MS(300), false, now),
        IdleConnectionUse::LeaveForIdempotent
    );
    assert_eq!(risk.choose(MS(300), true, now), IdleConnectionUse::Reuse);
}

#[test]
fn a_single_reset_does_not_prevent_reuse_and_observations_decay() {
    let mut risk = IdleConnectionRisk::default();
    risk.record_outcome(Some(MS(100)), true, MS(1));
    assert_eq!(risk.choose(MS(100), true, MS(1)), IdleConnectionUse::Reuse);
    let now = record_requests(&mut risk, MS(1), 20, |idle, _| {
        idle.is_some_and(|idle| idle >= MS(160))
    });
    assert_eq!(risk.choose(MS(300), true, now), IdleConnectionUse::Close);
    assert_eq!(
        risk.choose(MS(300), false, now + MS(60_000)),
        IdleConnectionUse::Reuse,
        "idle connections are tried again"
    );
}
