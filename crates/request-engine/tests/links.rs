//! What is learned of connections that rest: the young are used, those that die at rest are passed
//! over.

use roseyard_request_engine::*;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Requests for so many seconds, a hundred a second: half on new connections, half on rested ones.
/// The time of the last one.
fn play(
    links: &mut IdleConnectionRisk,
    from: Duration,
    seconds: u64,
    dead: impl Fn(Option<Duration>, u64) -> bool,
) -> Duration {
    let mut now = from;
    for n in 0..seconds * 100 {
        let rest = (n % 2 == 0).then(|| MS(20 + n * 37 % 600));
        now += MS(10);
        links.told(rest, dead(rest, n), now);
    }
    now
}

#[test]
fn connections_that_die_at_rest_are_passed_over_and_young_ones_used() {
    let mut links = IdleConnectionRisk::default();
    let now = play(&mut links, MS(0), 20, |rest, n| {
        rest.is_some_and(|r| r >= MS(160)) && n % 5 < 2
    });
    assert_eq!(links.choose(MS(30), false, now), IdleConnectionUse::Reuse);
    assert_eq!(links.choose(MS(130), false, now), IdleConnectionUse::Reuse);
    assert_eq!(links.choose(MS(400), false, now), IdleConnectionUse::Close);
    assert_eq!(links.choose(MS(400), true, now), IdleConnectionUse::Close);
    assert_eq!(
        links.choose(MS(20_000), true, now),
        IdleConnectionUse::Close,
        "older is no better"
    );
}

#[test]
fn resets_that_fall_on_all_alike_change_nothing() {
    let mut links = IdleConnectionRisk::default();
    let now = play(&mut links, MS(0), 20, |_, n| n / 2 % 8 == 0);
    for rest in [30, 100, 300, 600] {
        assert_eq!(
            links.choose(MS(rest), true, now),
            IdleConnectionUse::Reuse,
            "{rest} ms"
        );
    }
}

#[test]
fn what_may_be_sent_twice_bears_more() {
    let mut links = IdleConnectionRisk::default();
    let now = play(&mut links, MS(0), 60, |rest, n| {
        rest.is_some() && n % 20 < 2
    });
    assert_eq!(links.choose(MS(300), false, now), IdleConnectionUse::Leave);
    assert_eq!(links.choose(MS(300), true, now), IdleConnectionUse::Reuse);
}

#[test]
fn a_single_reset_is_no_lesson_and_old_lessons_fade() {
    let mut links = IdleConnectionRisk::default();
    links.told(Some(MS(100)), true, MS(1));
    assert_eq!(links.choose(MS(100), true, MS(1)), IdleConnectionUse::Reuse);
    let now = play(&mut links, MS(1), 20, |rest, _| {
        rest.is_some_and(|r| r >= MS(160))
    });
    assert_eq!(links.choose(MS(300), true, now), IdleConnectionUse::Close);
    assert_eq!(
        links.choose(MS(300), false, now + MS(60_000)),
        IdleConnectionUse::Reuse,
        "tried again"
    );
}
