//! What this ingress knows of one customer's quota.

use crate::event::IncomingRequest;
use crate::quota::ceiling::Ceiling;
use crate::quota::sharing::Sharing;
use crate::quota::token_bucket::TokenBucket;
use crate::settings::Plan;
use crate::util::EPSILON;
use std::collections::VecDeque;

/// A customer is infrequent at this ingress below this many requests in a window, if many ingresses
/// share the quota: what is known here is older than the counter's total.
const INFREQUENT_REQUESTS_MAX: f64 = 2.0;
const WINDOW_MIN_SECONDS: f64 = 0.1;
/// The longest time to live that a counter keeps a key for.
const WINDOW_MAX_SECONDS: f64 = 60.0;
/// A quota that is idle for this long is dropped.
pub(crate) const IDLE_TIMEOUT_SECONDS: f64 = 30.0;

/// A call to the counter that has not been answered.
pub(crate) struct CounterCall {
    pub request: IncomingRequest,
    /// Units that the call adds.
    pub amount: f64,
    /// Whether the request's own units are part of the amount.
    pub includes_request: bool,
    /// The decision, if it was made before the reply: whether the request is within the quota.
    pub decision: Option<bool>,
}

/// The quota of one customer: a token bucket that is reconciled with the counter's totals. Times
/// are in seconds.
#[derive(Default)]
pub(crate) struct CustomerQuota {
    /// Index of the customer's plan.
    pub plan: usize,
    /// The ingresses that share the quota.
    pub sharing: Sharing,
    /// The counter forgets a key after this long.
    pub window_seconds: f64,
    pub bucket: TokenBucket,
    pub refilled_at: f64,
    /// The hard ceiling, if the plan has one.
    pub ceiling: Option<Ceiling>,
    /// The counter's last total, in units.
    pub last_total: f64,
    pub last_total_at: f64,
    /// When the counter's present window was first seen.
    pub window_started_at: Option<f64>,
    /// Due with the next increment: units admitted but not added (positive), or added but rejected
    /// (negative).
    pub unreported_units: f64,
    /// Units a second that the peers use.
    pub peer_rate: f64,
    /// Units that the peers are assumed to have used since the last total.
    pub assumed_peer_units: f64,
    /// Units admitted here since the last total.
    pub units_since_total: f64,
    /// Calls without a reply, oldest first.
    pub pending_calls: VecDeque<CounterCall>,
    /// Requests received here in about one window.
    pub recent_requests: f64,
    /// Requests in flight.
    pub in_flight: u32,
}

impl CustomerQuota {
    /// A quota without a total. The bucket starts half full: most customers use less than half of
    /// their quota. Where no total ever comes, the peers are assumed to use their even part of the
    /// rate.
    pub(crate) fn new(
        plan: &Plan,
        plan_index: usize,
        ingress_count: f64,
        has_counter: bool,
        now: f64,
    ) -> CustomerQuota {
        let fill_seconds = plan.burst / plan.rate.max(EPSILON);
        let peer_rate = if has_counter {
            0.0
        } else {
            plan.rate * (ingress_count - 1.0) / ingress_count
        };
        CustomerQuota {
            plan: plan_index,
            sharing: Sharing { ingress_count },
            window_seconds: fill_seconds.clamp(WINDOW_MIN_SECONDS, WINDOW_MAX_SECONDS),
            bucket: TokenBucket {
                rate: plan.rate,
                burst: plan.burst,
                available_units: plan.burst / 2.0,
            },
            refilled_at: now,
            ceiling: Ceiling::of(plan),
            last_total_at: now,
            peer_rate,
            ..CustomerQuota::default()
        }
    }

    /// Whether nothing is in flight and nothing has come for long enough to drop the quota.
    pub(crate) fn is_idle(&self, now: f64) -> bool {
        self.pending_calls.is_empty()
            && self.in_flight == 0
            && now >= self.refilled_at + IDLE_TIMEOUT_SECONDS
    }

    /// Whether few of the customer's requests come here although many ingresses share the quota.
    pub(crate) fn is_infrequent(&self) -> bool {
        self.has_few_requests() && self.sharing.is_by_many()
    }

    pub(crate) fn has_few_requests(&self) -> bool {
        self.recent_requests < INFREQUENT_REQUESTS_MAX
    }

    /// Refills the bucket and the ceiling up to `now`.
    pub(crate) fn refill(&mut self, now: f64) {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.refilled_at = now;
        self.recent_requests *= (-elapsed / self.window_seconds).exp();
        if elapsed >= self.window_seconds && self.sharing.is_by_many() {
            self.end_window();
        }
        let overflow = self.bucket.refill(elapsed);
        let refill_shared = !self.is_infrequent();
        if let Some(ceiling) = &mut self.ceiling {
            ceiling.refill(elapsed, self.sharing, refill_shared);
        }
        // Unreported units are refilled once the bucket overflows: reporting them then would charge
        // them twice. Until then all of them are reported to the peers.
        self.unreported_units -= overflow.min(self.unreported_units.max(0.0));
    }

    /// Starts over as without a total. Prevents debts of minutes and empty increments when a
    /// customer is seen rarely.
    fn end_window(&mut self) {
        self.unreported_units = 0.0;
        self.window_started_at = None;
        self.bucket.available_units = self.bucket.burst;
        self.assumed_peer_units = 0.0;
    }

    /// Whether the quota and the ceiling admit this many units. `is_confirmed`: a total has come
    /// for them.
    pub(crate) fn admits(&self, units: f64, is_confirmed: bool) -> bool {
        self.is_under_ceiling(units, is_confirmed) && self.bucket.admits(units)
    }

    /// Whether the ceiling alone admits this many units.
    pub(crate) fn is_under_ceiling(&self, units: f64, is_confirmed: bool) -> bool {
        self.ceiling
            .as_ref()
            .is_none_or(|ceiling| ceiling.admits(units, is_confirmed))
    }

    /// Whether one more request would exceed this ingress's part of the concurrency limit.
    pub(crate) fn is_at_concurrency_limit(&self, max_concurrent: u32) -> bool {
        let local_max = (f64::from(max_concurrent) / self.sharing.ingress_count).ceil();
        max_concurrent > 0 && f64::from(self.in_flight) >= local_max
    }

    /// A request is forwarded: takes its units.
    pub(crate) fn start_request(&mut self, units: f64, is_confirmed: bool) {
        self.bucket.available_units -= units;
        self.units_since_total += units;
        if let Some(ceiling) = &mut self.ceiling {
            ceiling.take(units, is_confirmed);
        }
        self.in_flight += 1;
    }

    /// A forwarded request has its final answer.
    pub(crate) fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Units within the quota were not used: they are subtracted from the next increment.
    pub(crate) fn refund(&mut self, units: f64) {
        self.unreported_units -= units;
    }

    /// Units are to be added with the next increment, up to the burst.
    pub(crate) fn report_later(&mut self, units: f64) {
        self.unreported_units = (self.unreported_units + units).min(self.bucket.burst);
    }

    /// A request took more units than estimated, or fewer: the difference goes with the next
    /// increment.
    pub(crate) fn correct_estimate(&mut self, more_units: f64) {
        self.bucket.available_units -= more_units;
        self.unreported_units += more_units;
    }
}
