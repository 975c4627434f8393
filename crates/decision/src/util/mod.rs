//! Numeric and time helpers used throughout the crate. Internal calculations use seconds as `f64`;
//! events and actions carry a [`Duration`].

pub(crate) mod ewma;
pub(crate) mod held_random;
pub(crate) mod timer_queue;

use std::time::Duration;

/// The tolerance in comparisons of accumulated units, and the lower bound that keeps divisors
/// positive.
pub(crate) const EPSILON: f64 = 1e-6;

/// The longest duration that [`duration`] returns.
const MAX_SECONDS: f64 = 1e9;

/// Converts a duration to seconds.
pub(crate) fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// Converts seconds to a duration, rounded to a microsecond. Negative values become zero.
pub(crate) fn duration(seconds: f64) -> Duration {
    Duration::from_micros((seconds.clamp(0.0, MAX_SECONDS) * 1e6).round() as u64)
}
