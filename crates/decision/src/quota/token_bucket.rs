//! The bucket of a rate quota: it refills at the plan's rate up to its burst.

use crate::util::EPSILON;

/// A token bucket. What is available may be negative: that is owed.
#[derive(Default)]
pub(crate) struct TokenBucket {
    /// Units a second; 0 means no rate quota.
    pub rate: f64,
    /// Capacity in units.
    pub burst: f64,
    /// Units that may still be admitted.
    pub available_units: f64,
}

impl TokenBucket {
    /// Adds what has been refilled in this many seconds and returns the units that overflowed.
    pub(crate) fn refill(&mut self, elapsed_seconds: f64) -> f64 {
        let filled = self.available_units + self.rate * elapsed_seconds;
        let overflow = (filled - self.burst).max(0.0);
        self.available_units = filled.min(self.burst);
        overflow
    }

    /// Whether this many units are available.
    pub(crate) fn has_available(&self, units: f64) -> bool {
        self.available_units + EPSILON >= units
    }

    /// Whether the quota admits this many units.
    pub(crate) fn admits(&self, units: f64) -> bool {
        self.rate <= 0.0 || self.has_available(units)
    }

    /// Seconds until this many units are available.
    pub(crate) fn seconds_until_available(&self, units: f64) -> f64 {
        (units - self.available_units).max(0.0) / self.rate.max(EPSILON)
    }
}
