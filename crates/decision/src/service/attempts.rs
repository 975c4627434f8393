//! The attempts of a request: forwarding, their outcomes, and retries.

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
    /// Starts the request's next attempt at the endpoint and sets its hedge timer. Does nothing if
    /// the request or the endpoint is unknown.
    pub(super) fn forward(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        context: &mut EventContext,
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
        if !balancer.record_forward(endpoint, key, class, context.now) {
            return;
        }
        request.attempts.push(Attempt {
            endpoint,
            forwarded_at: context.now,
            is_in_flight: true,
            provably_not_executed: false,
        });
        self.attempts_in_flight += 1;
        context.actions.push(Action::Forward {
            request: id,
            endpoint,
            deadline: duration(request.deadline),
        });
        let mean_latency = self.upstream.latency.mean(class);
        let delay = hedge_delay_seconds(&self.settings, class, mean_latency);
        self.timers
            .set(duration(context.now + delay), Timer::Hedge(id));
    }

    /// Called when an attempt has ended. Records its outcome, then closes or retries the request.
    pub(crate) fn on_attempt_ended(&mut self, end: &AttemptEnd, context: &mut EventContext) {
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
        self.upstream.record_outcome(
            endpoint,
            incoming.class,
            end,
            context.now,
            context.resumed_at,
        );
        self.upstream
            .record_load_report(endpoint, end.load.as_ref(), context.now);
        let true_units = end.true_units.filter(|units| units.is_finite());
        let additional_units = true_units.map_or(0.0, |units| units.max(0.0) - incoming.units);
        if let Some(quota) = context.quotas.get_mut(incoming.customer) {
            quota.correct_estimate(additional_units);
        }
        if end.is_request_finished || end.outcome == Outcome::Ok {
            return self.close(end.request, context);
        }
        self.retry_or_finish(end.request, context);
        self.remove_if_finished(end.request, context);
    }

    /// Retries an open request that has no attempt in flight, or ends it if its deadline, the retry
    /// budget or the endpoints do not permit a retry.
    fn retry_or_finish(&mut self, id: RequestId, context: &mut EventContext) {
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
        let has_time_to_retry = context.now + mean_latency < request.deadline;
        if has_time_to_retry && self.retry_budget.is_available() {
            let endpoint = self.upstream.choose(request, context.now, &mut self.rng);
            if let Some(endpoint) = endpoint {
                self.retry_budget.spend_retry(not_executed);
                return self.forward(id, endpoint, context);
            }
        }
        self.finish_unserved(id, RejectReason::AttemptsFailed, context);
    }

    /// Called when a streamed response has started. Cancels the request's other attempts.
    pub(crate) fn on_stream_started(
        &mut self,
        id: RequestId,
        attempt: u16,
        context: &mut EventContext,
    ) {
        let Some(request) = self.open_request(id) else {
            return;
        };
        request.is_streaming |= usize::from(attempt) < request.attempts.len();
        self.cancel_attempts_except(id, Some(attempt), context);
    }
}
