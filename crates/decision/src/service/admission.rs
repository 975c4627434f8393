//! The admission of a request: by its customer's quota, by the service's load, by its endpoints.

use crate::event::IncomingRequest;
use crate::ids::RequestId;
use crate::load_shedding;
use crate::quota::QuotaCheck;
use crate::rejection::{RejectReason, ShedLoad};
use crate::service::hedging::HEDGE_DELAY_MEAN_LATENCIES;
use crate::service::request::Request;
use crate::service::state::{EventContext, Service, Timer};
use crate::util::{duration, seconds};

/// A request is answered this many ticks before its client gives up.
const DEADLINE_MARGIN_TICKS: f64 = 2.0;
/// The sample that decides for a fraction of one request is held for this many mean latencies.
const SAMPLE_HELD_MEAN_LATENCIES: f64 = HEDGE_DELAY_MEAN_LATENCIES;

/// Whether a request is within its quota.
#[derive(Clone, Copy)]
pub(crate) struct QuotaDecision {
    pub is_within_quota: bool,
    /// Whether the counter's total has decided.
    pub is_confirmed: bool,
}

impl Service {
    /// A request has arrived.
    pub(crate) fn on_request(&mut self, incoming: &IncomingRequest, state: &mut EventContext) {
        let id = incoming.request;
        let deadline = self.deadline(incoming, state.now);
        self.requests.insert(id, Request::new(incoming, deadline));
        self.timers.set(duration(deadline), Timer::Deadline(id));
        self.upstream.health_checks.earn();
        if !self.is_maintenance_scheduled {
            self.on_maintenance_timer(state);
        }
        let quota_check = state
            .quotas
            .admit(incoming, &mut self.rng, state.now, state.actions);
        match quota_check {
            QuotaCheck::AwaitCounter { wait_seconds } => self
                .timers
                .set(duration(state.now + wait_seconds), Timer::CounterWait(id)),
            QuotaCheck::DecideLocally => self.decide_locally(id, true, state),
            QuotaCheck::ConcurrencyLimit => {
                self.finish_unserved(id, RejectReason::ConcurrencyLimit, state);
            }
        }
    }

    /// Some ticks before the client gives up. Where a late response earns nothing, it is the
    /// latency objective: what is in flight later only takes capacity from other requests.
    fn deadline(&self, incoming: &IncomingRequest, now: f64) -> f64 {
        let class = &self.settings.classes[incoming.class];
        let margin = DEADLINE_MARGIN_TICKS * seconds(self.settings.tick);
        let mut deadline = now + seconds(incoming.time_left) - margin;
        if class.late_weight_ratio <= 0.0 && class.objective_work_factor <= 0.0 {
            deadline = deadline.min(now + seconds(class.latency_objective));
        }
        deadline.max(now)
    }

    /// Decides without the counter's total. `is_unreported`: no counter call is out for it.
    pub(crate) fn decide_locally(
        &mut self,
        id: RequestId,
        is_unreported: bool,
        state: &mut EventContext,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_within_quota =
            state
                .quotas
                .decide_locally(&request.incoming, is_unreported, state.now);
        let decision = QuotaDecision {
            is_within_quota,
            is_confirmed: false,
        };
        self.on_quota_decision(id, decision, state);
    }

    /// The quota has decided: forwards the request, or rejects it.
    pub(crate) fn on_quota_decision(
        &mut self,
        id: RequestId,
        decision: QuotaDecision,
        state: &mut EventContext,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !std::mem::take(&mut request.is_awaiting_counter) {
            return;
        }
        let IncomingRequest {
            customer,
            units,
            class,
            ..
        } = request.incoming;
        if request.is_closed {
            let quota = state.quotas.get_mut(customer);
            if let Some(quota) = quota.filter(|_| decision.is_within_quota) {
                quota.refund(units);
            }
            return self.remove_if_finished(id, state);
        }
        let endpoint = self.upstream.choose(request, state.now, &mut self.rng);
        let shed_load = self.shed_load(class, state);
        let quota = state.quotas.get_mut(customer);
        let Some(quota) = quota.filter(|_| decision.is_within_quota) else {
            return self.finish_unserved(id, RejectReason::OverQuota, state);
        };
        let reason = match (endpoint, shed_load) {
            (Some(endpoint), None) => {
                quota.start_request(units, decision.is_confirmed);
                self.retry_budget.earn();
                return self.forward(id, endpoint, state);
            }
            (None, _) => RejectReason::NoEndpoint,
            (Some(_), Some(load)) => RejectReason::Overloaded(load),
        };
        quota.refund(units);
        self.finish_unserved(id, reason, state);
    }

    /// The load for which a new request of the class is to be rejected, if it is too high. The
    /// sample is held for a few responses: drawn for each request, all ingresses would fill up to
    /// the next whole one.
    fn shed_load(&mut self, class: usize, state: &EventContext) -> Option<ShedLoad> {
        let now = state.now;
        let hold_seconds = SAMPLE_HELD_MEAN_LATENCIES * self.upstream.latency.mean(class);
        let shedder = &mut self.upstream.load_shedder;
        shedder
            .sample
            .renew_if_expired(now, hold_seconds, &mut self.rng);
        let sample = shedder.sample.value;
        let shed_load = self.upstream.shed_load(class, sample, now);
        shed_load.filter(|_| !self.may_measure_latency(state) && !self.is_only_request(state))
    }

    /// Whether it finds out how a service responds that has not responded yet: one request at a
    /// time, while the ingress has few such requests in flight.
    fn may_measure_latency(&self, state: &EventContext) -> bool {
        !self.upstream.latency.is_measured()
            && self.attempts_in_flight == 0
            && load_shedding::may_measure_latency(
                state.unmeasured_in_flight,
                state.endpoint_count,
                self.settings.ingress_count,
            )
    }

    /// Whether it is the only request here, and the ingress as a whole is idle.
    fn is_only_request(&self, state: &EventContext) -> bool {
        self.requests.len() == 1
            && self.upstream.load_shedder.is_ingress_idle(
                state.request_count as f64 - 1.0,
                state.endpoint_count,
                self.settings.ingress_count,
            )
    }
}
