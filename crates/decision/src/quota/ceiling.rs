//! The hard ceiling of a customer's use, which must never be exceeded over all ingresses.
//!
//! It is divided in two: each ingress spends an even part of the local allowance without a total
//! from the counter; the shared allowance is spent only on a confirmed total, which holds what all
//! the other ingresses added.

use crate::quota::sharing::Sharing;
use crate::settings::Plan;

/// The shared part of a ceiling. One half lets a single informed ingress of up to four admit a full
/// quota under a ceiling of 1.6 quotas.
const SHARED_RATIO: f64 = 0.5;
/// The shared part where totals come rarely and most of the ceiling must do without them.
const SHARED_RATIO_OF_MANY: f64 = 0.25;
/// The part of the ceiling's slack that is used; the rest covers rounding on the counter.
const SLACK_USED_RATIO: f64 = 0.8;

/// What remains under the ceiling, in units. Both allowances start empty: before a restart this
/// ingress may have spent them.
pub(crate) struct Ceiling {
    rate: f64,
    depth: f64,
    local_allowance: f64,
    shared_allowance: f64,
}

/// What the start of a new counter window does to the shared allowance.
pub(crate) struct WindowStart {
    pub sharing: Sharing,
    /// Few requests come here, so that the allowance must not start empty.
    pub has_few_requests: bool,
    /// What the peers may have used that no total showed, in units.
    pub unobserved_peer_units: f64,
}

impl Ceiling {
    /// The plan's ceiling, if it has one.
    pub(crate) fn of(plan: &Plan) -> Option<Ceiling> {
        (plan.ceiling_rate > 0.0).then_some(Ceiling {
            rate: plan.ceiling_rate,
            depth: plan.ceiling_burst + plan.ceiling_slack * SLACK_USED_RATIO,
            local_allowance: 0.0,
            shared_allowance: 0.0,
        })
    }

    /// Refills the local allowance and, where totals are current, the shared one.
    pub(crate) fn refill(&mut self, elapsed_seconds: f64, sharing: Sharing, refill_shared: bool) {
        let shared_ratio = shared_ratio(sharing);
        let ingress_count = sharing.ingress_count;
        let local_rate = self.rate * (1.0 - shared_ratio) / ingress_count;
        let local_depth = self.depth * (1.0 - shared_ratio) / ingress_count;
        self.local_allowance =
            (self.local_allowance + local_rate * elapsed_seconds).min(local_depth);
        if refill_shared {
            self.shared_allowance = (self.shared_allowance
                + self.rate * shared_ratio * elapsed_seconds)
                .min(self.depth * shared_ratio);
        }
    }

    /// Limits the shared allowance at the start of a counter window to half of its depth: an edge
    /// between two windows and all local allowances fill the rest. Few ingresses divide what is
    /// granted at least, and keep what is left less the peers' unobserved use: otherwise each new
    /// window would spend it once more.
    pub(crate) fn start_window(&mut self, start: &WindowStart) {
        let half = self.depth * shared_ratio(start.sharing) / 2.0;
        let remaining = self.shared_allowance - start.unobserved_peer_units;
        let (divisor, kept) = if start.sharing.is_by_many() {
            (1.0, 0.0)
        } else {
            (start.sharing.ingress_count, remaining)
        };
        let least = if start.has_few_requests {
            half / divisor
        } else {
            0.0
        };
        self.shared_allowance = kept.clamp(least, half);
    }

    /// Subtracts units that a total of the counter shows.
    pub(crate) fn subtract_total(&mut self, units: f64) {
        self.shared_allowance -= units;
    }

    /// Whether this many units stay under the ceiling. `is_confirmed`: a total has come for them.
    pub(crate) fn admits(&self, units: f64, is_confirmed: bool) -> bool {
        self.local_allowance >= units || self.is_shared_available(is_confirmed)
    }

    /// Takes admitted units from an allowance.
    pub(crate) fn take(&mut self, units: f64, is_confirmed: bool) {
        if self.is_shared_available(is_confirmed) {
            return;
        }
        self.local_allowance -= units;
        if is_confirmed {
            // The total has taken them from the shared allowance already.
            self.shared_allowance += units;
        }
    }

    fn is_shared_available(&self, is_confirmed: bool) -> bool {
        is_confirmed && self.shared_allowance >= 0.0
    }
}

fn shared_ratio(sharing: Sharing) -> f64 {
    if sharing.is_by_many() {
        SHARED_RATIO_OF_MANY
    } else {
        SHARED_RATIO
    }
}
