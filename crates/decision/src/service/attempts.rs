//! The attempts of a request: forwarded, ended, retried.

use crate::action::Action;
use crate::endpoint::AttemptKey;
use crate::event::{AttemptEnd, Outcome};
use crate::ids::{EndpointId, RequestId};
use crate::rejection::RejectReason;
use crate::service::hedging::hedge_delay_seconds;
use crate::service::request::Attempt;
use crate::service::state::{EventContext, Service, Timer};
use crate::util::duration;

impl Service {
    pub(super) fn forward(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        state: &mut EventContext,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let class = request.incoming.class;
        let key = AttemptKey {
            request: id,
            attempt: request.attempts.len() as u16,
        };
        let balancer = &mut self.upstream.balancer;
        if !balancer.record_forward(endpoint, key, class, state.now) {
            return;
        }
        request.attempts.push(Attempt {
            endpoint,
            forwarded_at: state.now,
            is_in_flight: true,
            provably_not_executed: false,
        });
        self.attempts_in_flight += 1;
        state.actions.push(Action::Forward {
            request: id,
            endpoint,
            deadline: duration(request.deadline),
        });
        let mean_latency = self.upstream.latency.mean(class);
        let delay = hedge_delay_seconds(&self.settings, class, mean_latency);
        self.timers
            .set(duration(state.now + delay), Timer::Hedge(id));
    }

    /// An attempt has ended: learns from its outcome, then closes the request or retries it.
    pub(crate) fn on_attempt_ended(&mut self, end: &AttemptEnd, state: &mut EventContext) {
        let Some(request) = self.requests.get_mut(&end.request) else {
            return;
        };
        let attempts = &mut request.attempts;
        let Some(attempt) = attempts
            .get_mut(usize::from(end.attempt))
            .filter(|attempt| attempt.is_in_flight)
        else {
            return;
        };
        attempt.is_in_flight = false;
        self.attempts_in_flight -= 1;
        attempt.provably_not_executed = end.outcome.is_provably_not_executed();
        let endpoint = attempt.endpoint;
        let incoming = &request.incoming;
        self.upstream
            .record_outcome(endpoint, incoming.class, end, state.now, state.resumed_at);
        self.upstream
            .record_load_report(endpoint, end.load.as_ref(), state.now);
        let true_units = end.true_units.filter(|units| units.is_finite());
        let more_units = true_units.map_or(0.0, |units| units.max(0.0) - incoming.units);
        if let Some(quota) = state.quotas.get_mut(incoming.customer) {
            quota.correct_estimate(more_units);
        }
        if end.is_request_finished || end.outcome == Outcome::Ok {
            return self.close(end.request, state);
        }
        self.retry_or_finish(end.request, state);
        self.remove_if_finished(end.request, state);
    }

    /// Retries a request that has no attempt in flight, if its deadline and the budget allow it.
    fn retry_or_finish(&mut self, id: RequestId, state: &mut EventContext) {
        let Some(request) = self
            .requests
            .get(&id)
            .filter(|request| !request.is_closed && !request.has_attempt_in_flight())
        else {
            return;
        };
        let last = request.attempts.last();
        let not_executed = last.is_some_and(|attempt| attempt.provably_not_executed);
        let mean_latency = self.upstream.latency.mean(request.incoming.class);
        let is_in_time = state.now + mean_latency < request.deadline;
        if is_in_time && self.retry_budget.is_available() {
            let endpoint = self.upstream.choose(request, state.now, &mut self.rng);
            if let Some(endpoint) = endpoint {
                self.retry_budget.spend_retry(not_executed);
                return self.forward(id, endpoint, state);
            }
        }
        self.finish_unserved(id, RejectReason::AttemptsFailed, state);
    }

    /// A streamed response has started: other attempts are cancelled.
    pub(crate) fn on_stream_started(
        &mut self,
        id: RequestId,
        attempt: u16,
        state: &mut EventContext,
    ) {
        let Some(request) = self.open_request(id) else {
            return;
        };
        request.is_streaming |= usize::from(attempt) < request.attempts.len();
        self.cancel_attempts_except(id, Some(attempt), state);
    }
}
