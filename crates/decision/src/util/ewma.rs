//! An exponentially weighted moving average of samples at irregular times.

/// The least and the greatest weight that one sample may have, from 0 to 1.
#[derive(Clone, Copy)]
pub(crate) struct SampleWeight {
    pub min: f64,
    pub max: f64,
}

/// The mean of the samples so far and the time of the last one, in seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ewma {
    pub value: f64,
    pub updated_at: f64,
}

impl Ewma {
    /// Adds a sample. Its weight grows with the time since the last one, measured against the time
    /// constant, and is held within `weight`.
    pub(crate) fn add(
        &mut self,
        sample: f64,
        now: f64,
        time_constant_seconds: f64,
        weight: SampleWeight,
    ) {
        let elapsed = (self.updated_at - now) / time_constant_seconds;
        let share = (1.0 - elapsed.exp()).clamp(weight.min, weight.max);
        self.updated_at = now;
        self.value += (sample - self.value) * share;
    }
}
