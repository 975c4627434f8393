//! Local health (Lifeguard): a member that misses acks, or whose process stalls, lengthens its own
//! probe intervals and timeouts, as the fault may be its own.

use std::time::Duration;

/// The maximum score, at which probe intervals and timeouts are multiplied by this value plus one.
pub(super) const MAX_HEALTH_SCORE: u32 = 8;

/// The local health score, from 0 (healthy) to [`MAX_HEALTH_SCORE`].
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalHealth {
    score: u32,
    enabled: bool,
}

impl LocalHealth {
    /// Creates a healthy score, which stays at 0 if local health is not enabled.
    pub(super) fn new(enabled: bool) -> LocalHealth {
        LocalHealth { score: 0, enabled }
    }

    pub(super) fn score(&self) -> u32 {
        self.score
    }

    /// Raises the score after signs of a fault in this process itself.
    pub(super) fn degrade(&mut self, by: u32) {
        if self.enabled {
            self.score = self.score.saturating_add(by).min(MAX_HEALTH_SCORE);
        }
    }

    /// Lowers the score after a probe was answered.
    pub(super) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns the probe timeout or interval `time`, lengthened according to the score.
    pub(super) fn scale(&self, time: Duration) -> Duration {
        time * (self.score + 1)
    }
}
