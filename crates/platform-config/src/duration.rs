//! Conversion of the platform's durations.

use std::time::Duration;

/// The maximum duration, about 31 years. Longer durations are reduced to it.
const MAX_MICROSECONDS: f64 = 1e15;

/// Converts milliseconds to a duration, rounded to microseconds. Values that are not finite or not
/// above 0 give zero.
#[must_use]
pub fn duration_from_ms(milliseconds: f64) -> Duration {
    if !milliseconds.is_finite() || milliseconds <= 0.0 {
        return Duration::ZERO;
    }
    let microseconds = (milliseconds * 1000.0).round().min(MAX_MICROSECONDS);
    Duration::from_micros(microseconds as u64)
}
