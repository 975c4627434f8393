//! A score that decays exponentially over time.

use std::time::Duration;

/// The minimum half-life; prevents a division by zero if the half-life is set to 0.
const MIN_HALF_LIFE_SECONDS: f32 = 1e-3;

/// A sum of amounts that halves with every half-life.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingScore {
    /// The score at `updated_at_seconds`.
    value: f32,
    /// The time of the last update, in seconds.
    updated_at_seconds: f32,
}

impl DecayingScore {
    /// Creates a score that has this value at `now`.
    pub(crate) fn new(value: f32, now: Duration) -> DecayingScore {
        DecayingScore {
            value,
            updated_at_seconds: now.as_secs_f32(),
        }
    }

    /// Returns the score at `now`. A time before the last update counts as that of the last update.
    pub(crate) fn at(&self, now: Duration, half_life: Duration) -> f32 {
        let age_seconds = (now.as_secs_f32() - self.updated_at_seconds).max(0.0);
        self.value * (-age_seconds / half_life.as_secs_f32().max(MIN_HALF_LIFE_SECONDS)).exp2()
    }

    /// Adds an amount to the score, which has decayed up to `now`.
    pub(crate) fn add(&mut self, amount: f32, now: Duration, half_life: Duration) {
        *self = DecayingScore::new(self.at(now, half_life) + amount, now);
    }
}
