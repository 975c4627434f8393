//! The delay before the next call to discovery after a failed one.

use super::limits::DiscoveryLimits;
use std::time::Duration;

/// Limits the exponent of the delay, to prevent an overflow.
const MAX_DOUBLINGS: u32 = 10;

/// How a call to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Discovery answered, but did not open a watch.
    Rejected,
    /// The connection could not be opened, was closed, or delivered invalid data.
    Closed,
}

/// Exponential backoff with jitter, so that many ingresses do not keep discovery overloaded and do
/// not call it at the same moments.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max_rejected: Duration,
    max_closed: Duration,
    /// Number of consecutive failed calls.
    consecutive_failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff without failures. `seed` is the seed of the jitter.
    #[must_use]
    pub fn new(limits: &DiscoveryLimits, seed: u64) -> Backoff {
        Backoff {
            min: limits.min_backoff,
            max_rejected: limits.max_backoff_rejected,
            max_closed: limits.max_backoff_closed,
            consecutive_failures: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Records a failed call, and returns the delay before the next call: between half of the
    /// exponential delay and all of it.
    pub fn next_delay(&mut self, failure: CallFailure) -> Duration {
        let max = match failure {
            CallFailure::Rejected => self.max_rejected,
            CallFailure::Closed => self.max_closed,
        };
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let delay = self.min.saturating_mul(1 << doublings).min(max);
        self.consecutive_failures += 1;
        delay.mul_f64(1.0 - self.rng.f64() / 2.0)
    }

    /// Resets the delay. Called when a call has delivered a line.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }
}
