//! A queue of what is due when: by time, and by the order of setting within one time. The module's
//! own arithmetic is in seconds.

use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) fn secs(time: Duration) -> f64 {
    time.as_secs_f64()
}

pub(crate) fn dur(seconds: f64) -> Duration {
    Duration::from_micros((seconds.clamp(0.0, 1e9) * 1e6).round() as u64)
}

pub(crate) struct Alarms<T> {
    due: BTreeMap<(Duration, u64), T>,
    sequence: u64,
}

impl<T> Default for Alarms<T> {
    fn default() -> Self {
        Alarms {
            due: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<T> Alarms<T> {
    pub(crate) fn set(&mut self, at: Duration, alarm: T) {
        self.sequence += 1;
        self.due.insert((at, self.sequence), alarm);
    }

    /// When the first one is due.
    pub(crate) fn first(&self) -> Option<Duration> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes the first one out, if it is due.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<T> {
        let first = self
            .due
            .first_entry()
            .filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }
}
