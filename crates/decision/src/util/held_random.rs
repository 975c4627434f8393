//! A random number that is held for a while. If it were drawn for each use, the most favourable of
//! many draws would decide.

/// A number from 0 to 1 and when it was drawn, in seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct HeldSample {
    pub value: f64,
    pub drawn_at: f64,
}

impl HeldSample {
    /// Draws a new number if the last one was drawn `hold_seconds` ago or earlier.
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
