//! A random number that is kept for some time. It rounds a fractional limit to a whole number of
//! requests; if it were drawn for each request, the most favourable of many draws would decide.

/// A random number from 0 to 1. Times are in seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct HeldSample {
    pub value: f64,
    pub drawn_at: f64,
}

impl HeldSample {
    /// Draws a new number if the present one is at least `hold_seconds` old.
    pub(crate) fn renew_if_expired(
        &mut self,
        now: f64,
        hold_seconds: f64,
        rng: &mut fastrand::Rng,
    ) {
        if now >= self.drawn_at + hold_seconds {
            *self = HeldSample {
                value: rng.f64(),
                drawn_at: now,
            };
        }
    }
}
