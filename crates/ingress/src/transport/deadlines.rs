//! An ordered set of deadlines, used for all deadlines of the program.

use std::collections::BTreeSet;
use std::time::Duration;

/// Deadlines in order of time. `D` identifies the timer to which a deadline belongs.
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
    /// Moves the deadline of `timer` to `at`, or cancels it if `at` is `None`. The owner stores the
    /// current deadline in `slot`, so that it is found in the set without a linear search.
    pub fn set(&mut self, slot: &mut Option<Duration>, at: Option<Duration>, timer: D) {
        if let Some(old) = slot.take() {
            self.entries.remove(&(old, timer));
        }
        if let Some(at) = at {
            self.entries.insert((at, timer));
        }
        *slot = at;
    }

    /// Returns the earliest deadline; `None` if there are none.
    pub fn next(&self) -> Option<Duration> {
        self.entries.first().map(|(at, _)| *at)
    }

    /// Removes the earliest deadline if it has been reached at `now`, and returns its timer. The
    /// owner's slot is not cleared.
    pub fn pop_expired(&mut self, now: Duration) -> Option<D> {
        self.entries.first().filter(|(at, _)| *at <= now)?;
        self.entries.pop_first().map(|(_, timer)| timer)
    }
}
