//! Arithmetic that several rules share. Rules calculate in seconds as `f64`; events and actions
//! carry a [`Duration`].

pub(crate) mod ewma;
pub(crate) mod held_random;
pub(crate) mod timer_queue;

use std::time::Duration;

/// Tolerance of comparisons between sums of units, and the smallest divisor.
pub(crate) const EPSILON: f64 = 1e-6;

const MAX_SECONDS: f64 = 1e9;

/// The duration in seconds.
pub(crate) fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// The duration of this many seconds, rounded to a microsecond; a negative one is zero.
pub(crate) fn duration(seconds: f64) -> Duration {
    Duration::from_micros((seconds.clamp(0.0, MAX_SECONDS) * 1e6).round() as u64)
}
