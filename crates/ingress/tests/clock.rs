//! Conversion of Unix times to the program's clock.

use roseyard_ingress::clock::Clock;
use std::time::Duration;

#[test]
fn unix_times_convert_to_the_clock_and_clock_times_stay_small() {
    let clock = Clock::at_unix_time(Duration::from_millis(1_800_000_000_000));
    let now = clock.now();
    let five_seconds_ago = clock.from_unix_ms(1_799_999_995_000.0).unwrap();
    let age = now - five_seconds_ago;
    assert!(
        age >= Duration::from_secs(5) && age < Duration::from_secs(65),
        "{age:?}"
    );
    assert!(
        now < Duration::from_secs(1_000_000),
        "small enough to be precise in floating-point seconds"
    );
    assert_eq!(
        clock.from_unix_ms(0.0),
        None,
        "times of more than a day before the start are not represented"
    );
    assert_eq!(clock.from_unix_ms(1_799_000_000_000.0), None);
    assert_eq!(clock.from_unix_ms(f64::NAN), None);
}
