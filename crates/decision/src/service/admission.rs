//! Admission of requests: by the customer's quota, the service's load and the eligible endpoints.

use crate::event::IncomingRequest;
use crate::ids::RequestId;
use crate::load_shedding;
use crate::quota::QuotaCheck;
use crate::rejection::{RejectReason, ShedLoad};
use crate::service::hedging::HEDGE_DELAY_MEAN_LATENCIES;
use crate::service::request::Request;
use crate::service::state::{EventContext, Service, Timer};
use crate::util::{duration, seconds};

/// A request is answered this many ticks before its client stops waiting.
const DEADLINE_MARGIN_TICKS: f64 = 2.0;
/// How long the random number that decides about the fractional part of the concurrency limit is
/// held, in mean latencies.
const SAMPLE_HOLD_MEAN_LATENCIES: f64 = HEDGE_DELAY_MEAN_LATENCIES;

/// Whether a request is within its customer's quota, and how that was decided.
#[derive(Clone, Copy)]
pub(crate) struct QuotaDecision {
    pub is_within_quota: bool,
    /// Whether the decision is based on the counter's total. If not, it was made locally.
    pub is_confirmed: bool,
}

impl Service {
    /// Called when a request has arrived.
    pub(crate) fn on_request(&mut self, incoming: &IncomingRequest, context: &mut EventContext) {
        let id = incoming.request;
        let deadline = self.deadline(incoming, context.now);
        self.requests.insert(id, Request::new(incoming, deadline));
        self.timers.set(duration(deadline), Timer::Deadline(id));
        self.upstream.health_checks.earn();
        if !self.is_maintenance_scheduled {
            self.on_maintenance_timer(context);
        }
        let quota_check =
            context
                .quotas
                .admit(incoming, &mut self.rng, context.now, context.actions);
        match quota_check {
            QuotaCheck::AwaitCounter { wait_seconds } => self
                .timers
                .set(duration(context.now + wait_seconds), Timer::CounterWait(id)),
            QuotaCheck::DecideLocally => self.decide_locally(id, true, context),
            QuotaCheck::ConcurrencyLimit => {
                self.finish_unserved(id, RejectReason::ConcurrencyLimit, context);
            }
        }
    }

    /// Returns when the request times out: shortly before its client stops waiting, or at the
    /// latency objective if a late response earns nothing. A later response would only take
    /// capacity from other requests.
    fn deadline(&self, incoming: &IncomingRequest, now: f64) -> f64 {
        let class = &self.settings.classes[incoming.class];
        let margin = DEADLINE_MARGIN_TICKS * seconds(self.settings.tick);
        let mut deadline = now + seconds(incoming.time_left) - margin;
        if class.late_weight_ratio <= 0.0 && class.objective_work_factor <= 0.0 {
            deadline = deadline.min(now + seconds(class.latency_objective));
        }
        deadline.max(now)
    }

    /// Makes the quota decision of a request without the counter's total. `is_unreported` tells
    /// whether the counter was not called for the request, so that its units are yet to be
    /// reported.
    pub(crate) fn decide_locally(
        &mut self,
        id: RequestId,
        is_unreported: bool,
        context: &mut EventContext,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_within_quota =
            context
                .quotas
                .decide_locally(&request.incoming, is_unreported, context.now);
        let decision = QuotaDecision {
            is_within_quota,
            is_confirmed: false,
        };
        self.on_quota_decision(id, decision, context);
    }

    /// Called when the quota decision of a request has been made. Forwards or rejects the request.
    pub(crate) fn on_quota_decision(
        &mut self,
        id: RequestId,
        decision: QuotaDecision,
        context: &mut EventContext,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !std::mem::take(&mut request.is_quota_decision_pending) {
            return;
        }
        let IncomingRequest {
            customer,
            units,
            class,
            ..
        } = request.incoming;
        if request.is_closed {
            let quota = context.quotas.get_mut(customer);
            if let Some(quota) = quota.filter(|_| decision.is_within_quota) {
                quota.refund(units);
            }
            return self.remove_if_finished(id, context);
        }
        let endpoint = self.upstream.choose(request, context.now, &mut self.rng);
        let shed_load = self.shed_load(class, context);
        let quota = context.quotas.get_mut(customer);
        let Some(quota) = quota.filter(|_| decision.is_within_quota) else {
            return self.finish_unserved(id, RejectReason::OverQuota, context);
        };
        let reason = match (endpoint, shed_load) {
            (Some(endpoint), None) => {
                quota.start_request(units, decision.is_confirmed);
                self.retry_budget.earn();
                return self.forward(id, endpoint, context);
            }
            (None, _) => RejectReason::NoEndpoint,
            (Some(_), Some(load)) => RejectReason::Overloaded(load),
        };
        quota.refund(units);
        self.finish_unserved(id, reason, context);
    }

    /// Returns the load if it is too high for a new request of the class. The random number for the
    /// fractional part of the limit is held for a few mean latencies: if a new number were drawn
    /// for each request, one of them would soon be admitted, and every ingress would in effect
    /// round its limit up.
    fn shed_load(&mut self, class: usize, context: &EventContext) -> Option<ShedLoad> {
        let now = context.now;
        let hold_seconds = SAMPLE_HOLD_MEAN_LATENCIES * self.upstream.latency.mean(class);
        let shedder = &mut self.upstream.load_shedder;
        shedder
            .sample
            .renew_if_expired(now, hold_seconds, &mut self.rng);
        let sample = shedder.sample.value;
        let shed_load = self.upstream.shed_load(class, sample, now);
        shed_load.filter(|_| !self.may_measure_latency(context) && !self.is_only_request(context))
    }

    /// Whether a request may be forwarded to measure the latency of a service that has not
    /// responded yet. Only one request at a time may, and only while the ingress has few such
    /// requests in flight.
    fn may_measure_latency(&self, context: &EventContext) -> bool {
        !self.upstream.latency.is_measured()
            && self.attempts_in_flight == 0
            && load_shedding::may_measure_latency(
                context.unmeasured_in_flight,
                context.endpoint_count,
                self.settings.ingress_count,
            )
    }

    /// Whether the request is the only one of this service, and the ingress is nearly idle.
    fn is_only_request(&self, context: &EventContext) -> bool {
        self.requests.len() == 1
            && self.upstream.load_shedder.is_ingress_idle(
                context.request_count as f64 - 1.0,
                context.endpoint_count,
                self.settings.ingress_count,
            )
    }
}
