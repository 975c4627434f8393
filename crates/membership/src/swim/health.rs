//! Local health (Lifeguard): a member that misses acks or stalls slows down its own probes.

use std::time::Duration;

/// Worst score; probes then take this and one times as long.
pub(super) const MAX_SCORE: u32 = 8;

/// The local health score; 0 is healthy.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalHealth {
    score: u32,
    enabled: bool,
}

impl LocalHealth {
    /// A healthy score; it never changes unless it is enabled.
    pub(super) fn new(enabled: bool) -> LocalHealth {
        LocalHealth { score: 0, enabled }
    }

    pub(super) fn score(&self) -> u32 {
        self.score
    }

    /// Counts signs of a fault of this process itself.
    pub(super) fn degrade(&mut self, by: u32) {
        if self.enabled {
            self.score = self.score.saturating_add(by).min(MAX_SCORE);
        }
    }

    /// A probe was answered.
    pub(super) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The timeout or interval of a probe at this score.
    pub(super) fn scale(&self, time: Duration) -> Duration {
        time * (self.score + 1)
    }
}
