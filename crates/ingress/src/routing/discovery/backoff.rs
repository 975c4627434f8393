//! How long to wait before discovery is called again.

use super::limits::DiscoveryLimits;
use std::time::Duration;

/// From here on the backoff no longer doubles.
const MAX_DOUBLINGS: u32 = 10;

/// Why a call has ended without a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Discovery did not open a watch.
    Rejected,
    /// The connection could not be opened, or broke.
    Closed,
}

/// An exponential backoff with jitter: many ingresses together neither keep an overbooked discovery
/// overbooked, nor call in step.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max_rejected: Duration,
    max_closed: Duration,
    /// Calls in a row that brought no line.
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// A backoff without failures; the seed decides the jitter.
    #[must_use]
    pub fn new(limits: &DiscoveryLimits, seed: u64) -> Backoff {
        Backoff {
            min: limits.min_backoff,
            max_rejected: limits.max_backoff_rejected,
            max_closed: limits.max_backoff_closed,
            failures: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The wait after a call that has failed.
    pub fn next_delay(&mut self, failure: CallFailure) -> Duration {
        let max = match failure {
            CallFailure::Rejected => self.max_rejected,
            CallFailure::Closed => self.max_closed,
        };
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let longest = self.min.saturating_mul(1 << doublings).min(max);
        self.failures += 1;
        longest.mul_f64(1.0 - self.rng.f64() / 2.0)
    }

    /// A call has brought a line.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
