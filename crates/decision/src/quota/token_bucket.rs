//! The token bucket of a rate quota. It refills at the plan's rate, up to the plan's burst.

use crate::util::EPSILON;

/// A token bucket. The number of available units is negative while the customer is in debt.
#[derive(Default)]
pub(crate) struct TokenBucket {
    /// The refill rate in units per second; 0 means that there is no rate quota.
    pub rate: f64,
    /// The capacity in units.
    pub burst: f64,
    /// The units available now; negative in case of debt.
    pub available_units: f64,
}

impl TokenBucket {
    /// Refills the bucket for the elapsed time and returns the units that exceeded its capacity.
    pub(crate) fn refill(&mut self, elapsed_seconds: f64) -> f64 {
        let filled = self.available_units + self.rate * elapsed_seconds;
        let overflow = (filled - self.burst).max(0.0);
        self.available_units = filled.min(self.burst);
        overflow
    }

    /// Whether at least this many units are available.
    pub(crate) fn has_units(&self, units: f64) -> bool {
        self.available_units + EPSILON >= units
    }

    /// Whether the bucket admits this many units. It admits any number if there is no rate quota.
    pub(crate) fn admits(&self, units: f64) -> bool {
        self.rate <= 0.0 || self.has_units(units)
    }

    /// Returns the number of seconds until this many units are available; 0 if they already are.
    pub(crate) fn seconds_until_available(&self, units: f64) -> f64 {
        (units - self.available_units).max(0.0) / self.rate.max(EPSILON)
    }
}
