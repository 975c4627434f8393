//! An exponentially weighted moving average of samples at irregular times.

/// The bounds on the weight of one sample, each from 0 to 1.
#[derive(Clone, Copy)]
pub(crate) struct SampleWeight {
    pub min: f64,
    pub max: f64,
}

/// The weighted mean of the samples added so far. Times are in seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ewma {
    pub value: f64,
    /// When the last sample was added.
    pub updated_at: f64,
}

impl Ewma {
    /// Adds a sample. Its weight is `1 - exp(-t / time_constant_seconds)`, where `t` is the time
    /// since the last sample, clamped to the bounds in `weight`.
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
