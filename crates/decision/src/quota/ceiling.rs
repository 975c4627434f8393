//! The hard ceiling on a customer's use. All ingresses together must never exceed it.
//!
//! The ceiling is split into two allowances. The local allowance is divided evenly among the
//! ingresses, and each spends its part without asking the counter. The shared allowance is spent
//! only on requests with a total from the counter, since the total includes what the other
//! ingresses added.

use crate::quota::sharing::Sharing;
use crate::settings::Plan;

/// The shared part of a ceiling. With one half, a single ingress out of up to four that receives
/// totals can admit a full quota under a ceiling of 1.6 times the quota.
const SHARED_RATIO_FEW_INGRESSES: f64 = 0.5;
/// The shared part if many ingresses share the quota. Each of them rarely receives totals, so most
/// of the ceiling has to be available without one.
const SHARED_RATIO_MANY_INGRESSES: f64 = 0.25;
/// The part of the ceiling's slack that is used. The rest covers rounding on the counter.
const SLACK_USED_RATIO: f64 = 0.8;

/// The ceiling of one customer and what remains of it, in units. Both allowances start empty,
/// because this ingress may have spent them before a restart.
pub(crate) struct Ceiling {
    /// Units per second.
    rate: f64,
    /// The capacity that is split into the two allowances, in units.
    depth: f64,
    local_allowance: f64,
    shared_allowance: f64,
}

/// What determines the shared allowance at the start of a new counter window.
pub(crate) struct WindowStart {
    pub sharing: Sharing,
    /// Whether this ingress receives few of the customer's requests. If so, the allowance must not
    /// start empty.
    pub has_few_requests: bool,
    /// Units that the peers may have used and that no total has shown.
    pub unobserved_peer_units: f64,
}

impl Ceiling {
    /// Returns the ceiling of a customer on this plan, or `None` if the plan has no ceiling.
    pub(crate) fn for_plan(plan: &Plan) -> Option<Ceiling> {
        (plan.ceiling_rate > 0.0).then_some(Ceiling {
            rate: plan.ceiling_rate,
            depth: plan.ceiling_burst + plan.ceiling_slack * SLACK_USED_RATIO,
            local_allowance: 0.0,
            shared_allowance: 0.0,
        })
    }

    /// Refills the local allowance, and the shared one if `refill_shared` is set.
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

    /// Limits the shared allowance at the start of a counter window to half of its capacity. The
    /// other half covers use around the boundary between two windows and all local allowances.
    ///
    /// If few ingresses share the quota, the minimum granted to an ingress with few requests is
    /// divided among them, and an ingress keeps what is left of its allowance minus the peers'
    /// unobserved use. Otherwise the same allowance could be spent again in each window.
    pub(crate) fn start_window(&mut self, start: &WindowStart) {
        let half = self.depth * shared_ratio(start.sharing) / 2.0;
        let remaining = self.shared_allowance - start.unobserved_peer_units;
        let (divisor, kept_units) = if start.sharing.has_many_ingresses() {
            (1.0, 0.0)
        } else {
            (start.sharing.ingress_count, remaining)
        };
        let min_allowance = if start.has_few_requests {
            half / divisor
        } else {
            0.0
        };
        self.shared_allowance = kept_units.clamp(min_allowance, half);
    }

    /// Subtracts units that a total shows to be used, by this ingress or its peers.
    pub(crate) fn subtract_total(&mut self, units: f64) {
        self.shared_allowance -= units;
    }

    /// Whether the ceiling admits this many units. `is_confirmed` says whether a total that
    /// includes them has been received.
    pub(crate) fn admits(&self, units: f64, is_confirmed: bool) -> bool {
        self.local_allowance >= units || self.is_shared_allowance_available(is_confirmed)
    }

    /// Subtracts admitted units from an allowance.
    pub(crate) fn consume(&mut self, units: f64, is_confirmed: bool) {
        if self.is_shared_allowance_available(is_confirmed) {
            return;
        }
        self.local_allowance -= units;
        if is_confirmed {
            // `subtract_total` has already subtracted them from the shared allowance.
            self.shared_allowance += units;
        }
    }

    /// A confirmed request's units are already subtracted, so the balance only has to be
    /// non-negative.
    fn is_shared_allowance_available(&self, is_confirmed: bool) -> bool {
        is_confirmed && self.shared_allowance >= 0.0
    }
}

fn shared_ratio(sharing: Sharing) -> f64 {
    if sharing.has_many_ingresses() {
        SHARED_RATIO_MANY_INGRESSES
    } else {
        SHARED_RATIO_FEW_INGRESSES
    }
}
