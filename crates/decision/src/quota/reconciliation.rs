//! Reconciliation of a customer's bucket with the counter, which all ingresses add to. What a total
//! holds beyond this ingress's own increments is the peers' use; between totals it is assumed.

use crate::quota::ceiling::WindowStart;
use crate::quota::customer::CustomerQuota;
use crate::util::EPSILON;

/// What each peer is assumed to admit, as a part of what is admitted here without a total.
const ASSUMED_PEER_RATIO: f64 = 0.5;
/// The peers' rate is averaged over this many windows, and over this time at least.
const PEER_RATE_WINDOWS: f64 = 2.0;
const PEER_RATE_MIN_SECONDS: f64 = 1.0;

impl CustomerQuota {
    /// Takes in a total of the counter. `added` is the amount that this call added,
    /// `counter_call_ratio` the share of requests that call the counter.
    pub(crate) fn reconcile(&mut self, total: f64, added: f64, now: f64, counter_call_ratio: f64) {
        self.refill(now);
        let is_first_total = self.window_started_at.is_none();
        let is_new_window = self.is_new_window(total, added, now);
        let unobserved_seconds = self.previous_window_end(now) - self.last_total_at;
        // What the peers added between the last total and the end of the previous window never
        // shows in a total: it stays assumed where few requests call the counter. Prevents part of
        // a window from being admitted twice when the window ends.
        let unobserved_ratio = if is_new_window && !is_first_total {
            (2.0 - 2.0 * counter_call_ratio).min(1.0)
        } else {
            0.0
        };
        let unobserved_units = self.peer_rate * unobserved_seconds * unobserved_ratio;
        self.replace_assumption(unobserved_units);
        if is_new_window {
            self.start_window(unobserved_seconds, now);
        }
        let peer_units = (total - self.last_total - added).max(0.0);
        self.last_total = total;
        if let Some(ceiling) = &mut self.ceiling {
            ceiling.subtract_total(peer_units + added);
        }
        if is_first_total {
            self.bucket.available_units = self.bucket.burst;
        }
        // The peers' rejected requests stay in the total until their next increment: the
        // balance may go this far below zero.
        let most_owed = self.sharing.ingress_count.min(self.bucket.burst);
        self.bucket.available_units = (self.bucket.available_units - peer_units).max(-most_owed);
        let elapsed = (now - self.last_total_at).max(0.0);
        self.last_total_at = now;
        if !is_first_total && !is_new_window {
            self.update_peer_rate(peer_units, elapsed);
        }
    }

    /// Assumes the peers' use without a total: they continue at their last rate, and admit about
    /// what this ingress admits.
    pub(crate) fn assume_peer_usage(&mut self, now: f64) {
        let elapsed = (now - self.last_total_at).max(0.0);
        self.refill(now);
        let like_here = if self.sharing.is_by_many() {
            0.0
        } else {
            ASSUMED_PEER_RATIO * (self.sharing.ingress_count - 1.0) * self.units_since_total
        };
        let assumed = f64::max(self.peer_rate * elapsed, like_here);
        let available = self.bucket.available_units;
        let more = (assumed - self.assumed_peer_units).clamp(0.0, available.max(0.0));
        self.bucket.available_units -= more;
        self.assumed_peer_units += more;
    }

    /// Totals only grow: a lower one, or one after the end of the window, belongs to a new window.
    fn is_new_window(&self, total: f64, added: f64, now: f64) -> bool {
        total + EPSILON * total.abs() + EPSILON < self.last_total + added
            || self
                .window_started_at
                .is_none_or(|start| now >= start + self.window_seconds)
    }

    fn previous_window_end(&self, now: f64) -> f64 {
        self.window_started_at.map_or(self.last_total_at, |start| {
            (start + self.window_seconds).clamp(self.last_total_at, now)
        })
    }

    /// A total replaces what was assumed of the peers, but for what it cannot show.
    fn replace_assumption(&mut self, unobserved_units: f64) {
        let without_assumption = self.bucket.available_units + self.assumed_peer_units;
        self.bucket.available_units = without_assumption.min(self.bucket.burst) - unobserved_units;
        self.assumed_peer_units = 0.0;
        self.units_since_total = 0.0;
    }

    fn start_window(&mut self, unobserved_seconds: f64, now: f64) {
        self.last_total = 0.0;
        self.window_started_at = Some(now);
        let start = WindowStart {
            sharing: self.sharing,
            has_few_requests: self.has_few_requests(),
            unobserved_peer_units: 2.0 * self.peer_rate * unobserved_seconds,
        };
        if let Some(ceiling) = &mut self.ceiling {
            ceiling.start_window(&start);
        }
        self.unreported_units = self.unreported_units.max(0.0);
    }

    fn update_peer_rate(&mut self, peer_units: f64, elapsed: f64) {
        let time_constant = (PEER_RATE_WINDOWS * self.window_seconds).max(PEER_RATE_MIN_SECONDS);
        let decayed = self.peer_rate * (-elapsed / time_constant).exp();
        self.peer_rate = (decayed + peer_units / time_constant).min(self.bucket.rate);
    }
}
