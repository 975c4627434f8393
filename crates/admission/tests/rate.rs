//! Rates with a burst.

use roseyard_admission::*;
use std::time::Duration;

#[test]
fn a_burst_passes_and_then_the_rate_holds() {
    let (mut arrival, rate) = (
        Gcra::default(),
        Rate {
            per_second: 10.0,
            burst: 5.0,
        },
    );
    let now = Duration::from_secs(7);
    assert_eq!(
        (0..9).filter(|_| arrival.take(now, rate).is_ok()).count(),
        5
    );
    assert_eq!(arrival.take(now, rate), Err(Duration::from_millis(100)));
    let passed =
        (0..1000).filter(|ms| arrival.take(now + Duration::from_millis(*ms), rate).is_ok());
    assert_eq!(
        passed.count(),
        9,
        "10 a second, and the time of what came at once is paid for"
    );
}
