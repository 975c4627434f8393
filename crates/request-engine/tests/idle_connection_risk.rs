//! Idle connections are reused after short idle times and avoided where they tend to be dead.

use roseyard_request_engine::*;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// A hundred requests a second, half on new connections and half on idle ones, for so many seconds.
/// Returns the time of the last one.
fn play(
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
fn idle_times_with_many_resets_are_avoided_and_shorter_ones_used() {
    let mut risk = IdleConnectionRisk::default();
    let now = play(&mut risk, MS(0), 20, |idle, n| {
        idle.is_some_and(|idle| idle >= MS(160)) && n % 5 < 2
    });
    assert_eq!(risk.choose(MS(30), false, now), IdleConnectionUse::Reuse);
    assert_eq!(risk.choose(MS(130), false, now), IdleConnectionUse::Reuse);
    assert_eq!(risk.choose(MS(400), false, now), IdleConnectionUse::Close);
    assert_eq!(risk.choose(MS(400), true, now), IdleConnectionUse::Close);
    assert_eq!(
        risk.choose(MS(20_000), true, now),
        IdleConnectionUse::Close,
        "longer idle times are no better"
    );
}

#[test]
fn resets_of_new_and_idle_connections_alike_change_nothing() {
    let mut risk = IdleConnectionRisk::default();
    let now = play(&mut risk, MS(0), 20, |_, n| n / 2 % 8 == 0);
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
    let now = play(&mut risk, MS(0), 60, |idle, n| idle.is_some() && n % 20 < 2);
    assert_eq!(
        risk.choose(MS(300), false, now),
        IdleConnectionUse::LeaveForIdempotent
    );
    assert_eq!(risk.choose(MS(300), true, now), IdleConnectionUse::Reuse);
}

#[test]
fn one_reset_decides_nothing_and_observations_decay() {
    let mut risk = IdleConnectionRisk::default();
    risk.record_outcome(Some(MS(100)), true, MS(1));
    assert_eq!(risk.choose(MS(100), true, MS(1)), IdleConnectionUse::Reuse);
    let now = play(&mut risk, MS(1), 20, |idle, _| {
        idle.is_some_and(|idle| idle >= MS(160))
    });
    assert_eq!(risk.choose(MS(300), true, now), IdleConnectionUse::Close);
    assert_eq!(
        risk.choose(MS(300), false, now + MS(60_000)),
        IdleConnectionUse::Reuse,
        "tried again"
    );
}
