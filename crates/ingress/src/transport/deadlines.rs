//! All deadlines of the program in one ordered structure.

use std::collections::BTreeSet;
use std::time::Duration;

/// Deadlines in order of time, each with what it is for.
pub struct Deadlines<D> {
    entries: BTreeSet<(Duration, D)>,
}

impl<D: Ord + Copy> Default for Deadlines<D> {
    fn default() -> Self {
        Deadlines {
            entries: BTreeSet::new(),
        }
    }
}

impl<D: Ord + Copy> Deadlines<D> {
    /// Moves the deadline of `purpose` from where `slot` says to `at`, or cancels it. The owner
    /// keeps the slot, so that a deadline can be moved without a search.
    pub fn set(&mut self, slot: &mut Option<Duration>, at: Option<Duration>, purpose: D) {
        if let Some(old) = slot.take() {
            self.entries.remove(&(old, purpose));
        }
        if let Some(at) = at {
            self.entries.insert((at, purpose));
        }
        *slot = at;
    }

    /// The earliest deadline.
    pub fn next(&self) -> Option<Duration> {
        self.entries.first().map(|(at, _)| *at)
    }

    /// Takes out the earliest deadline if it is due. Its owner's slot still shows it.
    pub fn pop_expired(&mut self, now: Duration) -> Option<D> {
        self.entries.first().filter(|(at, _)| *at <= now)?;
        self.entries.pop_first().map(|(_, purpose)| purpose)
    }
}
