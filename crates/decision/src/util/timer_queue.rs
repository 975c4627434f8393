//! A queue of timers. Timers with the same due time expire in the order in which they were set.

use std::collections::BTreeMap;
use std::time::Duration;

/// The pending timers, each with a value of type `T`. Due times are durations since the caller's
/// epoch.
pub(crate) struct TimerQueue<T> {
    timers: BTreeMap<(Duration, u64), T>,
    /// The number of timers set so far. It orders timers with the same due time.
    sequence: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue {
            timers: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    /// Adds a timer that is due at `at`.
    pub(crate) fn set(&mut self, at: Duration, timer: T) {
        self.sequence += 1;
        self.timers.insert((at, self.sequence), timer);
    }

    /// Returns when the first timer is due, or `None` if no timer is set.
    pub(crate) fn first_due(&self) -> Option<Duration> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the first timer if it is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<T> {
        let first = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }
}
