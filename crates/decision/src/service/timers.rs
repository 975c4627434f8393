//! Handlers of a service's timers.

use crate::action::Action;
use crate::ids::{EndpointId, RequestId};
use crate::load_shedding::MAX_OBJECTIVE_RATIO;
use crate::rejection::RejectReason;
use crate::service::hedging::{self, HedgeDecision, HedgeInput};
use crate::service::state::{EventContext, Service, Timer};
use crate::util::duration;
use std::time::Duration;

/// Interval between two rounds of maintenance while the service has requests.
const MAINTENANCE_INTERVAL_SECONDS: f64 = 0.05;

impl Service {
    /// Handles all timers that have expired by the time `clock`.
    pub(crate) fn run_due_timers(&mut self, clock: Duration, context: &mut EventContext) {
        while let Some(timer) = self.timers.pop_due(clock) {
            match timer {
                Timer::CounterWait(id) => self.on_counter_wait_timer(id, context),
                Timer::Hedge(id) => self.on_hedge_timer(id, context),
                Timer::Deadline(id) => self.on_deadline_timer(id, context),
                Timer::Maintenance => self.on_maintenance_timer(context),
            }
        }
    }

    fn on_counter_wait_timer(&mut self, id: RequestId, context: &mut EventContext) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.is_quota_decision_pending && !request.is_closed) {
            self.decide_locally(id, false, context);
        }
    }

    fn on_deadline_timer(&mut self, id: RequestId, context: &mut EventContext) {
        let request = self.requests.get(&id);
        let Some(request) = request.filter(|r| !r.is_closed && !r.is_streaming) else {
            return;
        };
        if request.attempts.is_empty() {
            return self.finish_unserved(id, RejectReason::DeadlineExceeded, context);
        }
        // A request that timed out after it was forwarded fails instead of being rejected, so that
        // its client is not told to retry.
        context.actions.push(Action::Fail { request: id });
        self.close(id, context);
    }

    /// Called when a request has not been answered within its hedge delay.
    fn on_hedge_timer(&mut self, id: RequestId, context: &mut EventContext) {
        let now = context.now;
        self.upstream
            .detect_unresponsive(context.resumed_at, now, context.actions);
        let request = self.requests.get(&id);
        let Some(request) = request.filter(|r| !r.is_closed && !r.is_streaming) else {
            return;
        };
        let Some(last) = request.attempts.last().filter(|last| last.is_in_flight) else {
            return;
        };
        let class = request.incoming.class;
        let mean_latency = self.upstream.latency.mean(class);
        if now + mean_latency >= request.deadline {
            return;
        }
        let input = self.hedge_input(class, last.endpoint, now);
        match hedging::decide(request, &self.settings, &input) {
            HedgeDecision::Hedge => {
                let endpoint = self.upstream.choose(request, now, &mut self.rng);
                if let Some(endpoint) = endpoint {
                    self.retry_budget.spend_hedge();
                    return self.forward(id, endpoint, context);
                }
            }
            HedgeDecision::CancelAndRetry => {
                return context.actions.push(Action::Cancel {
                    request: id,
                    attempt: request.attempts.len() as u16 - 1,
                });
            }
            HedgeDecision::Wait => {}
        }
        self.timers
            .set(duration(now + mean_latency), Timer::Hedge(id));
    }

    fn hedge_input(&self, class: usize, endpoint: EndpointId, now: f64) -> HedgeInput {
        HedgeInput {
            is_endpoint_unavailable: self.upstream.is_unavailable(endpoint),
            is_busy: self.is_too_busy_to_hedge(class, now),
            is_budget_available: self.retry_budget.is_available(),
            now,
        }
    }

    /// Whether the load of the service is too high for hedged requests of the class.
    fn is_too_busy_to_hedge(&self, class: usize, now: f64) -> bool {
        let max_ratio = hedging::MAX_HEDGE_LOAD_RATIO * MAX_OBJECTIVE_RATIO;
        self.upstream.latency.objective_ratio() > max_ratio
            || self.upstream.shed_load(class, 1.0, now).is_some()
    }

    /// Runs a round of maintenance, and schedules the next one if the service has requests. Also
    /// called when a request arrives while no round is scheduled.
    pub(super) fn on_maintenance_timer(&mut self, context: &mut EventContext) {
        let now = context.now;
        self.upstream
            .detect_unresponsive(context.resumed_at, now, context.actions);
        self.upstream.maintain(now, &mut self.rng, context.actions);
        self.is_maintenance_scheduled = !self.requests.is_empty();
        if self.is_maintenance_scheduled {
            self.timers.set(
                duration(now + MAINTENANCE_INTERVAL_SECONDS),
                Timer::Maintenance,
            );
        }
    }
}
