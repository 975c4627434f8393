//! An exponentially weighted moving average of samples that come at irregular times.

/// The mean of the samples so far, and when the last one came, in seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Average {
    pub value: f64,
    pub at: f64,
}

impl Average {
    /// Takes a sample in. It weighs the more the longer ago the last one came, measured against
    /// `tau` seconds, at least and at most these shares.
    pub(crate) fn add(&mut self, sample: f64, t: f64, tau: f64, (least, most): (f64, f64)) {
        let weight = (1.0 - ((self.at - t) / tau).exp()).clamp(least, most);
        self.at = t;
        self.value += (sample - self.value) * weight;
    }
}
