//! Rate limiting with a burst.

use roseyard_admission::*;
use std::time::Duration;

#[test]
fn a_burst_is_admitted_and_later_events_are_limited_to_the_rate() {
    let rate = Rate {
        per_second: 10.0,
        burst: 5.0,
    };
    let mut limiter = Gcra::default();
    let now = Duration::from_secs(7);
    assert_eq!(
        (0..9).filter(|_| limiter.take(now, rate).is_ok()).count(),
        5
    );
    assert_eq!(limiter.take(now, rate), Err(Duration::from_millis(100)));
    let admitted =
        (0..1000).filter(|ms| limiter.take(now + Duration::from_millis(*ms), rate).is_ok());
    assert_eq!(
        admitted.count(),
        9,
        "one event per 100 ms is admitted, the first one after 100 ms"
    );
}
