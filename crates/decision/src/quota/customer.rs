//! The quota state that this ingress keeps for one customer.

use crate::event::IncomingRequest;
use crate::quota::ceiling::Ceiling;
use crate::quota::sharing::Sharing;
use crate::quota::token_bucket::TokenBucket;
use crate::settings::Plan;
use crate::util::EPSILON;
use std::collections::VecDeque;

/// Below this many requests in a window, this ingress receives few of the customer's requests. Its
/// bucket is then less up to date than the counter's total.
const FEW_REQUESTS_THRESHOLD: f64 = 2.0;
const MIN_WINDOW_SECONDS: f64 = 0.1;
/// The longest time for which the counter keeps a key.
const MAX_WINDOW_SECONDS: f64 = 60.0;
/// The state of a customer that has been idle for this long is dropped.
pub(crate) const IDLE_TIMEOUT_SECONDS: f64 = 30.0;

/// A call to the counter whose reply is pending.
pub(crate) struct CounterCall {
    pub request: IncomingRequest,
    /// The units that the call adds to the total.
    pub amount: f64,
    /// Whether the amount includes the request's own units.
    pub includes_request: bool,
    /// Whether the request is within its quota, if that was decided before the reply; otherwise
    /// `None`.
    pub decision: Option<bool>,
}

/// The quota of one customer: a token bucket that is reconciled with the counter's totals, an
/// optional ceiling, and a concurrency limit. Times are in seconds.
#[derive(Default)]
pub(crate) struct CustomerQuota {
    /// The index of the customer's plan.
    pub plan: usize,
    /// How many ingresses share the quota.
    pub sharing: Sharing,
    /// The length of a counter window: the time to live of the customer's key on the counter.
    pub window_seconds: f64,
    pub bucket: TokenBucket,
    /// When the bucket and the ceiling were last refilled.
    pub refilled_at: f64,
    /// The hard ceiling, or `None` if the plan has none.
    pub ceiling: Option<Ceiling>,
    /// The last total of the present counter window, in units.
    pub last_total: f64,
    /// When that total was received, or when this state was created if there was none.
    pub last_total_at: f64,
    /// When the first total of the present counter window was received, or `None` before any total.
    pub window_started_at: Option<f64>,
    /// Units to be included in the next increment. Positive: units that were admitted but not added
    /// to the counter. Negative: units that were added for requests that were then rejected.
    pub unreported_units: f64,
    /// The peers' average use, in units per second. Peers are the other ingresses that share the
    /// quota.
    pub peer_rate: f64,
    /// Units already subtracted from the bucket because the peers are assumed to have used them
    /// since the last total.
    pub assumed_peer_units: f64,
    /// Units that this ingress admitted since the last total.
    pub units_since_total: f64,
    /// The calls whose replies are pending, oldest first.
    pub pending_calls: VecDeque<CounterCall>,
    /// The number of requests received, decaying exponentially with a time constant of one window.
    pub recent_requests: f64,
    /// The number of this ingress's requests for the customer that are in flight.
    pub in_flight: u32,
}

impl CustomerQuota {
    /// Returns the state before any total. The bucket starts half full, because most customers use
    /// less than half of their quota. Without a counter, each peer is assumed to use an even share
    /// of the rate.
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
            window_seconds: fill_seconds.clamp(MIN_WINDOW_SECONDS, MAX_WINDOW_SECONDS),
            bucket: TokenBucket {
                rate: plan.rate,
                burst: plan.burst,
                available_units: plan.burst / 2.0,
            },
            refilled_at: now,
            ceiling: Ceiling::for_plan(plan),
            last_total_at: now,
            peer_rate,
            ..CustomerQuota::default()
        }
    }

    /// Whether the state can be dropped: no request or counter call is in flight, and no request
    /// has arrived for [`IDLE_TIMEOUT_SECONDS`].
    pub(crate) fn is_idle(&self, now: f64) -> bool {
        self.pending_calls.is_empty()
            && self.in_flight == 0
            && now >= self.refilled_at + IDLE_TIMEOUT_SECONDS
    }

    /// Whether the customer is infrequent at this ingress: many ingresses share the quota, and this
    /// one receives few of the customer's requests.
    pub(crate) fn is_infrequent(&self) -> bool {
        self.has_few_requests() && self.sharing.has_many_ingresses()
    }

    /// Whether this ingress received few requests of the customer within the last window.
    pub(crate) fn has_few_requests(&self) -> bool {
        self.recent_requests < FEW_REQUESTS_THRESHOLD
    }

    /// Refills the bucket and the ceiling for the time since the last refill.
    pub(crate) fn refill(&mut self, now: f64) {
        let elapsed = (now - self.refilled_at).max(0.0);
        self.refilled_at = now;
        self.recent_requests *= (-elapsed / self.window_seconds).exp();
        if elapsed >= self.window_seconds && self.sharing.has_many_ingresses() {
            self.reset_window();
        }
        let overflow = self.bucket.refill(elapsed);
        let refill_shared = !self.is_infrequent();
        if let Some(ceiling) = &mut self.ceiling {
            ceiling.refill(elapsed, self.sharing, refill_shared);
        }
        // Refilled units that exceed the bucket's capacity offset unreported units: reporting those
        // as well would charge them twice. Until the bucket overflows, all unreported units are
        // reported.
        self.unreported_units -= overflow.min(self.unreported_units.max(0.0));
    }

    /// Resets the state to that before the first total, with a full bucket. Otherwise a customer
    /// whose requests rarely arrive here could stay in debt for minutes, and its increments could
    /// be empty.
    fn reset_window(&mut self) {
        self.unreported_units = 0.0;
        self.window_started_at = None;
        self.bucket.available_units = self.bucket.burst;
        self.assumed_peer_units = 0.0;
    }

    /// Whether the bucket and the ceiling admit this many units. `is_confirmed` says whether a
    /// total that includes them has been received.
    pub(crate) fn admits(&self, units: f64, is_confirmed: bool) -> bool {
        self.is_under_ceiling(units, is_confirmed) && self.bucket.admits(units)
    }

    /// Whether the ceiling admits this many units. Without a ceiling, it always does.
    pub(crate) fn is_under_ceiling(&self, units: f64, is_confirmed: bool) -> bool {
        self.ceiling
            .as_ref()
            .is_none_or(|ceiling| ceiling.admits(units, is_confirmed))
    }

    /// Whether the customer has reached this ingress's share of the plan's concurrency limit. The
    /// share is rounded up; a limit of 0 means that there is none.
    pub(crate) fn is_at_concurrency_limit(&self, max_concurrent: u32) -> bool {
        let local_max = (f64::from(max_concurrent) / self.sharing.ingress_count).ceil();
        max_concurrent > 0 && f64::from(self.in_flight) >= local_max
    }

    /// Called when a request is forwarded. Subtracts its units from the bucket and the ceiling.
    pub(crate) fn start_request(&mut self, units: f64, is_confirmed: bool) {
        self.bucket.available_units -= units;
        self.units_since_total += units;
        if let Some(ceiling) = &mut self.ceiling {
            ceiling.consume(units, is_confirmed);
        }
        self.in_flight += 1;
    }

    /// Called when a forwarded request has received its final answer.
    pub(crate) fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Subtracts the units of a request from the next increment. Called if they have been counted
    /// although the request is not forwarded.
    pub(crate) fn refund(&mut self, units: f64) {
        self.unreported_units -= units;
    }

    /// Adds units to the next increment. Unreported units are capped at the burst.
    pub(crate) fn report_later(&mut self, units: f64) {
        self.unreported_units = (self.unreported_units + units).min(self.bucket.burst);
    }

    /// Corrects the estimated units of a request. `additional_units` is the actual number minus the
    /// estimate; it is subtracted from the bucket and added to the next increment.
    pub(crate) fn correct_estimate(&mut self, additional_units: f64) {
        self.bucket.available_units -= additional_units;
        self.unreported_units += additional_units;
    }
}
