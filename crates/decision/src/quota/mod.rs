//! Customers' quotas, over all ingresses and services: which requests are admitted, with the
//! counter's totals and without.
//!
//! A request's units go with one increment to its customer's key on the counter
//! ([`CustomerQuotas::admit`]). The total that comes back is reconciled with the bucket
//! ([`reconciliation`]) and decides. Without a total the bucket decides alone
//! ([`CustomerQuotas::decide_locally`]).

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

/// An infrequent customer's increment counts also for its requests that did not call the counter:
/// for those of a call ratio of this at least.
const EXTRAPOLATED_CALL_RATIO_MIN: f64 = 0.25;

/// What the quota answers to a new request.
pub(crate) enum QuotaCheck {
    /// The counter is called; its total is awaited for this long.
    AwaitCounter { wait_seconds: f64 },
    /// To be decided without a total.
    DecideLocally,
    /// The customer has as many requests in flight as its plan allows.
    ConcurrencyLimit,
}

/// A request whose counter call has ended before it was decided.
pub(crate) struct CounterDecision {
    pub request: RequestId,
    /// Whether the request is within its quota by the total; none where no total came.
    pub is_within_quota: Option<bool>,
}

/// All customers' quotas, and how the counter answers.
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

    pub(crate) fn get(&self, customer: CustomerId) -> Option<&CustomerQuota> {
        self.customers.get(customer)
    }

    pub(crate) fn get_mut(&mut self, customer: CustomerId) -> Option<&mut CustomerQuota> {
        self.customers.get_mut(customer)
    }

    /// A request has arrived: calls the counter or leaves the decision to the bucket.
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

    /// Decides without a total whether the request is admitted. `is_unreported`: no call is out
    /// for it.
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
        customer.assume_peer_usage(now);
        let is_infrequent = customer.is_infrequent() && self.settings.counter.is_some();
        let over_quota_cost = self.settings.plans[customer.plan].over_quota_cost;
        let is_likely_within = !customer.sharing.is_by_many()
            || self
                .odds
                .favours_admission(customer.plan, request.is_retry, over_quota_cost);
        // What costs nothing beyond the quota is limited by its ceiling and the load alone.
        let over_quota_is_free = over_quota_cost <= 0.0;
        let is_within_quota = customer.is_under_ceiling(units, false)
            && (over_quota_is_free || is_likely_within && customer.admits(units, false));
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

    /// A counter call has ended. Returns its request where that is still to be decided.
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
                let has_available = customer.bucket.admits(units);
                self.odds
                    .record(customer.plan, call.request.is_retry, has_available);
            }
            CounterResult::NotAdded => customer.report_later(call.amount),
            // The amount may have been added: taken as added.
            CounterResult::Total(_) | CounterResult::Unknown => {}
        }
        let may_be_added = call.includes_request && result != CounterResult::Unknown;
        // A rejected request's units leave the total with the next increment, which for an
        // infrequent customer comes too late.
        if is_within_quota == Some(false) && may_be_added && !customer.is_infrequent() {
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
    /// Whether a total would change nothing for a request, so that an overloaded counter is not
    /// called for it: the bucket rejects it anyway and nothing is to be reported to the peers, or
    /// it is an infrequent customer's and costs nothing beyond the quota.
    fn can_skip_counter(&self, units: f64, over_quota_is_free: bool) -> bool {
        let is_hopeless = self.bucket.available_units + self.assumed_peer_units < 0.0
            && self.unreported_units < units;
        let needs_no_total = over_quota_is_free && self.ceiling.is_none() && self.is_infrequent();
        is_hopeless || needs_no_total
    }

    /// Starts a counter call for the request and returns the amount that it adds. The units of a
    /// request that the bucket would reject are left out: they would stay in the total until this
    /// ingress's next increment and take capacity from the customer's requests elsewhere.
    fn start_call(&mut self, request: &IncomingRequest, counter_call_ratio: f64) -> f64 {
        let is_infrequent = self.is_infrequent();
        let includes_request = self.bucket.has_available(request.units) || is_infrequent;
        let own_units = if includes_request { request.units } else { 0.0 };
        let due = self.unreported_units + own_units;
        let requests_per_call = if is_infrequent {
            1.0 / counter_call_ratio.max(EXTRAPOLATED_CALL_RATIO_MIN)
        } else {
            1.0
        };
        let amount = due.max(0.0) * requests_per_call;
        self.unreported_units = due.min(0.0);
        self.pending_calls.push_back(CounterCall {
            request: *request,
            amount,
            includes_request,
            decision: None,
        });
        amount
    }
}
