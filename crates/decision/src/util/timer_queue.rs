//! A queue of timers, ordered by due time and, within one time, by the order of setting.

use std::collections::BTreeMap;
use std::time::Duration;

/// Timers that are not yet due, each with a value of type `T`.
pub(crate) struct TimerQueue<T> {
    timers: BTreeMap<(Duration, u64), T>,
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
    /// Adds a timer.
    pub(crate) fn set(&mut self, at: Duration, timer: T) {
        self.sequence += 1;
        self.timers.insert((at, self.sequence), timer);
    }

    /// When the first timer is due.
    pub(crate) fn first_due(&self) -> Option<Duration> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the first timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<T> {
        let first = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }
}
