//! Reconciles a customer's bucket with the totals of the counter, which all ingresses increment.
//! What a total contains beyond this ingress's own increments is the peers' use. Between totals,
//! the peers' use is estimated.

use crate::quota::ceiling::WindowStart;
use crate::quota::customer::CustomerQuota;
use crate::util::EPSILON;

/// Each peer is assumed to admit this share of what this ingress has admitted since the last total.
const ASSUMED_PEER_RATIO: f64 = 0.5;
/// The peers' rate is averaged over this many counter windows, but at least over
/// [`MIN_PEER_RATE_SECONDS`].
const PEER_RATE_WINDOWS: f64 = 2.0;
const MIN_PEER_RATE_SECONDS: f64 = 1.0;

impl CustomerQuota {
    /// Updates the state with a total of the counter. `added` is the amount that the call added,
    /// and `counter_call_ratio` is the share of requests that call the counter.
    pub(crate) fn reconcile(&mut self, total: f64, added: f64, now: f64, counter_call_ratio: f64) {
        self.refill(now);
        let is_first_total = self.window_started_at.is_none();
        let is_new_window = self.is_new_window(total, added, now);
        let unobserved_seconds = self.previous_window_end(now) - self.last_total_at;
        // No total will show what the peers added between the last total and the end of the
        // previous window. If only some requests call the counter, their estimated use stays
        // subtracted. Otherwise part of the quota could be admitted twice when the window ends.
        let unobserved_ratio = if is_new_window && !is_first_total {
            (2.0 - 2.0 * counter_call_ratio).min(1.0)
        } else {
            0.0
        };
        let unobserved_units = self.peer_rate * unobserved_seconds * unobserved_ratio;
        self.replace_assumed_use(unobserved_units);
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
        // The total includes the peers' rejected requests until the peers' next increments, so the
        // debt that a total can cause is limited.
        let max_debt = self.sharing.ingress_count.min(self.bucket.burst);
        self.bucket.available_units = (self.bucket.available_units - peer_units).max(-max_debt);
        let elapsed = (now - self.last_total_at).max(0.0);
        self.last_total_at = now;
        if !is_first_total && !is_new_window {
            self.update_peer_rate(peer_units, elapsed);
        }
    }

    /// Subtracts the estimated use of the peers since the last total from the bucket. The estimate
    /// is the higher of two: the peers continue at their average rate, or each admits a fixed share
    /// of what this ingress admitted. At most the available units are subtracted.
    pub(crate) fn subtract_assumed_peer_use(&mut self, now: f64) {
        let elapsed = (now - self.last_total_at).max(0.0);
        self.refill(now);
        let estimate_from_local_use = if self.sharing.has_many_ingresses() {
            0.0
        } else {
            ASSUMED_PEER_RATIO * (self.sharing.ingress_count - 1.0) * self.units_since_total
        };
        let assumed = f64::max(self.peer_rate * elapsed, estimate_from_local_use);
        let available = self.bucket.available_units;
        let additional_units = (assumed - self.assumed_peer_units).clamp(0.0, available.max(0.0));
        self.bucket.available_units -= additional_units;
        self.assumed_peer_units += additional_units;
    }

    /// Whether a total belongs to a new counter window. Totals only grow within a window, so a
    /// lower total, or one that arrives after the end of the window, starts a new one.
    fn is_new_window(&self, total: f64, added: f64, now: f64) -> bool {
        total + EPSILON * total.abs() + EPSILON < self.last_total + added
            || self
                .window_started_at
                .is_none_or(|start| now >= start + self.window_seconds)
    }

    /// Returns when the previous window ended, between the time of the last total and `now`.
    fn previous_window_end(&self, now: f64) -> f64 {
        self.window_started_at.map_or(self.last_total_at, |start| {
            (start + self.window_seconds).clamp(self.last_total_at, now)
        })
    }

    /// Discards the estimated use of the peers, because a total has been received. Only
    /// `unobserved_units`, which no total shows, stay subtracted.
    fn replace_assumed_use(&mut self, unobserved_units: f64) {
        let without_assumed_use = self.bucket.available_units + self.assumed_peer_units;
        self.bucket.available_units = without_assumed_use.min(self.bucket.burst) - unobserved_units;
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
        let time_constant = (PEER_RATE_WINDOWS * self.window_seconds).max(MIN_PEER_RATE_SECONDS);
        let decayed = self.peer_rate * (-elapsed / time_constant).exp();
        self.peer_rate = (decayed + peer_units / time_constant).min(self.bucket.rate);
    }
}
