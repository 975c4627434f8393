//! A score that decays exponentially with time.

use std::time::Duration;

/// Shortest half-life, in seconds. Keeps the exponent finite when a half-life is set to 0.
const MIN_HALF_LIFE_S: f32 = 1e-3;

/// A sum of amounts, each of which counts half after every half-life.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingScore {
    /// The score at `updated_at_s`.
    value: f32,
    /// Time of the last update, in seconds.
    updated_at_s: f32,
}

impl DecayingScore {
    pub(crate) fn new(value: f32, now: Duration) -> DecayingScore {
        DecayingScore {
            value,
            updated_at_s: now.as_secs_f32(),
        }
    }

    /// The score at a time. Times before the last update count as the last update.
    pub(crate) fn at(&self, now: Duration, half_life: Duration) -> f32 {
        let age_s = (now.as_secs_f32() - self.updated_at_s).max(0.0);
        self.value * (-age_s / half_life.as_secs_f32().max(MIN_HALF_LIFE_S)).exp2()
    }

    pub(crate) fn add(&mut self, amount: f32, now: Duration, half_life: Duration) {
        *self = DecayingScore::new(self.at(now, half_life) + amount, now);
    }
}
