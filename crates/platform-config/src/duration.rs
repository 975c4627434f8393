//! Times of the platform.

use std::time::Duration;

/// Longest time that is read, some 31 years; longer ones are cut to it.
const MAX_MICROSECONDS: f64 = 1e15;

/// Milliseconds as a duration, rounded to microseconds. What is not finite or not above 0 gives
/// zero.
#[must_use]
pub fn duration_from_ms(milliseconds: f64) -> Duration {
    if !milliseconds.is_finite() || milliseconds <= 0.0 {
        return Duration::ZERO;
    }
    let microseconds = (milliseconds * 1000.0).round().min(MAX_MICROSECONDS);
    Duration::from_micros(microseconds as u64)
}
