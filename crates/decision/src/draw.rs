//! A random number that is drawn once for a while. Drawn for each use, the luckiest of many draws
//! would decide.

/// The number, from 0 to 1, and when it was drawn, in seconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Draw {
    pub value: f64,
    pub at: f64,
}

impl Draw {
    /// Draws anew where the last draw is so many seconds old.
    pub(crate) fn renew(&mut self, t: f64, every: f64, rng: &mut fastrand::Rng) {
        if t >= self.at + every {
            *self = Draw {
                value: rng.f64(),
                at: t,
            };
        }
    }
}
