//! Admission by customer quota. A customer's quota applies to all services and ingresses together.
//!
//! For each sampled request, the ingress increments its customer's key on the counter by the
//! request's units ([`CustomerQuotas::admit`]). The returned total is reconciled with the local
//! bucket ([`reconciliation`]), which then decides. Without a total, the ingress decides from its
//! local state alone ([`CustomerQuotas::decide_locally`]).

mod admission_odds;
mod ceiling;
mod counter_sampling;
mod customer;
mod customer_table;
mod reconciliation;
mod sharing;
mod token_bucket;

use self::admission_odds::AdmissionOdds;
use self::counter_sampling::CounterSampling;
use self::customer::{CounterCall, CustomerQuota};
use self::customer_table::CustomerTable;
use crate::action::Action;
use crate::event::{CounterResult, IncomingRequest};
use crate::ids::{CounterKey, CustomerId, RequestId};
use crate::settings::Settings;
use crate::util::duration;
use fastrand::Rng;
use std::sync::Arc;

/// The increment of an infrequent customer is divided by the call ratio to account for the requests
/// that did not call the counter. The divisor is at least this ratio.
const MIN_EXTRAPOLATED_CALL_RATIO: f64 = 0.25;

/// How the quota of a new request is decided.
pub(crate) enum QuotaCheck {
    /// The counter has been called. The request waits up to `wait_seconds` for the total.
    AwaitCounter { wait_seconds: f64 },
    /// The caller decides without a total, with [`CustomerQuotas::decide_locally`].
    DecideLocally,
    /// The request is rejected: its customer has reached the plan's concurrency limit.
    ConcurrencyLimit,
}

/// The result of a counter call that ended before its request was decided.
pub(crate) struct CounterDecision {
    pub request: RequestId,
    /// Whether the request is within its quota according to the total, or `None` if the call
    /// returned no total.
    pub is_within_quota: Option<bool>,
}

/// The quotas of all customers, and the sampling of counter calls.
pub(crate) struct CustomerQuotas {
    settings: Arc<Settings>,
    customers: CustomerTable,
    odds: AdmissionOdds,
    pub sampling: CounterSampling,
}

impl CustomerQuotas {
    pub(crate) fn new(settings: &Arc<Settings>) -> CustomerQuotas {
        CustomerQuotas {
            settings: Arc::clone(settings),
            customers: CustomerTable::default(),
            odds: AdmissionOdds::new(settings.plans.len()),
            sampling: CounterSampling::new(settings),
        }
    }

    /// Returns the customer's quota state, or `None` if the customer is not active here.
    pub(crate) fn get(&self, customer: CustomerId) -> Option<&CustomerQuota> {
        self.customers.get(customer)
    }

    pub(crate) fn get_mut(&mut self, customer: CustomerId) -> Option<&mut CustomerQuota> {
        self.customers.get_mut(customer)
    }

    /// Checks the concurrency limit of a new request's customer, then calls the counter or leaves
    /// the decision to the local state.
    pub(crate) fn admit(
        &mut self,
        request: &IncomingRequest,
        rng: &mut Rng,
        now: f64,
        actions: &mut Vec<Action>,
    ) -> QuotaCheck {
        let plan = &self.settings.plans[request.plan];
        let ingress_count = request.ingress_count.clamp(1, self.settings.ingress_count);
        let ingress_count = f64::from(ingress_count);
        let has_quota = plan.rate > 0.0 || plan.ceiling_rate > 0.0;
        let has_counter = self.settings.counter.is_some() && has_quota;
        let customer = self.customers.get_or_create(request.customer, now, || {
            CustomerQuota::new(plan, request.plan, ingress_count, has_counter, now)
        });
        customer.sharing.ingress_count = customer.sharing.ingress_count.max(ingress_count);
        if customer.is_at_concurrency_limit(plan.max_concurrent) {
            return QuotaCheck::ConcurrencyLimit;
        }
        customer.refill(now);
        customer.recent_requests += 1.0;
        let is_sampled = rng.f64() < self.sampling.counter_call_ratio;
        if !has_counter || !is_sampled {
            return QuotaCheck::DecideLocally;
        }
        let over_quota_is_free = plan.over_quota_cost <= 0.0;
        if self.sampling.is_reduced()
            && customer.can_skip_counter(request.units, over_quota_is_free)
        {
            return QuotaCheck::DecideLocally;
        }
        actions.push(Action::IncrementCounter {
            key: CounterKey(request.customer.0),
            amount: customer.start_call(request, self.sampling.counter_call_ratio),
            time_to_live: duration(customer.window_seconds),
        });
        QuotaCheck::AwaitCounter {
            wait_seconds: self.sampling.wait_seconds,
        }
    }

    /// Decides without a total whether the request is admitted. `is_unreported` says that no
    /// counter call was made for the request.
    pub(crate) fn decide_locally(
        &mut self,
        request: &IncomingRequest,
        is_unreported: bool,
        now: f64,
    ) -> bool {
        let Some(customer) = self.customers.get_mut(request.customer) else {
            return false;
        };
        let units = request.units;
        customer.subtract_assumed_peer_use(now);
        let is_infrequent = customer.is_infrequent() && self.settings.counter.is_some();
        let over_quota_cost = self.settings.plans[customer.plan].over_quota_cost;
        let is_likely_within_quota = !customer.sharing.has_many_ingresses()
            || self
                .odds
                .favours_admission(customer.plan, request.is_retry, over_quota_cost);
        // Requests that cost nothing over the quota are limited only by the ceiling and by load
        // shedding.
        let over_quota_is_free = over_quota_cost <= 0.0;
        let is_within_quota = customer.is_under_ceiling(units, false)
            && (over_quota_is_free || is_likely_within_quota && customer.admits(units, false));
        let mut pending = customer.pending_calls.iter_mut();
        if let Some(call) = pending.find(|call| call.request.request == request.request) {
            call.decision = Some(is_within_quota);
            if is_within_quota && !call.includes_request {
                customer.unreported_units += units;
            }
        } else if is_within_quota && is_unreported && !is_infrequent {
            customer.report_later(units);
        }
        is_within_quota
    }

    /// Handles the end of a counter call. Returns the request with its decision, or `None` if the
    /// request has already been decided.
    pub(crate) fn on_counter_reply(
        &mut self,
        key: CounterKey,
        result: CounterResult,
        now: f64,
    ) -> Option<CounterDecision> {
        let customer = self.customers.get_mut(CustomerId(key.0))?;
        let call = customer.pending_calls.pop_front()?;
        let units = call.request.units;
        let mut is_within_quota = call.decision;
        match result {
            CounterResult::Total(total) if total.is_finite() => {
                let call_ratio = self.sampling.counter_call_ratio;
                customer.reconcile(total, call.amount, now, call_ratio);
                is_within_quota = is_within_quota.or(Some(customer.admits(units, true)));
                let has_units = customer.bucket.admits(units);
                self.odds
                    .record(customer.plan, call.request.is_retry, has_units);
            }
            CounterResult::NotAdded => customer.report_later(call.amount),
            // The amount may have been added, and is assumed to be.
            CounterResult::Total(_) | CounterResult::Unknown => {}
        }
        let is_refundable = call.includes_request && result != CounterResult::Unknown;
        // The units of a rejected request are removed from the total with the next increment. For
        // an infrequent customer that would be too late to be of use.
        if is_within_quota == Some(false) && is_refundable && !customer.is_infrequent() {
            customer.refund(units);
        }
        let is_undecided = call.decision.is_none();
        if is_within_quota == Some(true) && is_undecided && !call.includes_request {
            customer.unreported_units += units;
        }
        is_undecided.then_some(CounterDecision {
            request: call.request.request,
            is_within_quota,
        })
    }
}

impl CustomerQuota {
    /// Whether a request can do without a counter call while the counter is overloaded, because a
    /// total would not change the decision. Either the bucket rejects the request anyway and there
    /// are fewer unreported units than the request takes, or the customer is infrequent, has no
    /// ceiling and costs nothing over its quota.
    fn can_skip_counter(&self, units: f64, over_quota_is_free: bool) -> bool {
        let is_certain_rejection = self.bucket.available_units + self.assumed_peer_units < 0.0
            && self.unreported_units < units;
        let needs_no_total = over_quota_is_free && self.ceiling.is_none() && self.is_infrequent();
        is_certain_rejection || needs_no_total
    }

    /// Records a counter call for the request and returns the amount that it adds. The amount omits
    /// the units of a request that the bucket would reject: they would stay in the total until this
    /// ingress's next increment and use up quota that the customer's requests need at other
    /// ingresses. An infrequent customer's request is always included.
    fn start_call(&mut self, request: &IncomingRequest, counter_call_ratio: f64) -> f64 {
        let is_infrequent = self.is_infrequent();
        let includes_request = self.bucket.has_units(request.units) || is_infrequent;
        let own_units = if includes_request { request.units } else { 0.0 };
        let due_units = self.unreported_units + own_units;
        let requests_per_call = if is_infrequent {
            1.0 / counter_call_ratio.max(MIN_EXTRAPOLATED_CALL_RATIO)
        } else {
            1.0
        };
        let amount = due_units.max(0.0) * requests_per_call;
        self.unreported_units = due_units.min(0.0);
        self.pending_calls.push_back(CounterCall {
            request: *request,
            amount,
            includes_request,
            decision: None,
        });
        amount
    }
}
