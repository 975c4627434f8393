//! What a service does when its timers are due.

use crate::action::Action;
use crate::ids::{EndpointId, RequestId};
use crate::load_shedding::MAX_OBJECTIVE_RATIO;
use crate::rejection::RejectReason;
use crate::service::hedging::{self, HedgeDecision, HedgeInput};
use crate::service::state::{EventContext, Service, Timer};
use crate::util::duration;
use std::time::Duration;

/// Time between two rounds of maintenance while there are requests.
const MAINTENANCE_INTERVAL_SECONDS: f64 = 0.05;

impl Service {
    /// Handles all timers that are due.
    pub(crate) fn run_due_timers(&mut self, clock: Duration, state: &mut EventContext) {
        while let Some(timer) = self.timers.pop_due(clock) {
            match timer {
                Timer::CounterWait(id) => self.on_counter_wait_timer(id, state),
                Timer::Hedge(id) => self.on_hedge_timer(id, state),
                Timer::Deadline(id) => self.on_deadline_timer(id, state),
                Timer::Maintenance => self.on_maintenance_timer(state),
            }
        }
    }

    fn on_counter_wait_timer(&mut self, id: RequestId, state: &mut EventContext) {
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.is_awaiting_counter && !request.is_closed) {
            self.decide_locally(id, false, state);
        }
    }

    fn on_deadline_timer(&mut self, id: RequestId, state: &mut EventContext) {
        let request = self.requests.get(&id);
        let Some(request) = request.filter(|r| !r.is_closed && !r.is_streaming) else {
            return;
        };
        if request.attempts.is_empty() {
            return self.finish_unserved(id, RejectReason::DeadlineExceeded, state);
        }
        // Once an attempt has been made, a client whose deadline has passed is not told to retry.
        state.actions.push(Action::Fail { request: id });
        self.close(id, state);
    }

    /// A request has waited for its hedge delay.
    fn on_hedge_timer(&mut self, id: RequestId, state: &mut EventContext) {
        let now = state.now;
        self.upstream
            .detect_unresponsive(state.resumed_at, now, state.actions);
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
                    return self.forward(id, endpoint, state);
                }
            }
            HedgeDecision::CancelAndRetry => {
                return state.actions.push(Action::Cancel {
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
            is_endpoint_lost: self.upstream.is_lost(endpoint),
            is_busy: self.is_too_busy_to_hedge(class, now),
            is_budget_available: self.retry_budget.is_available(),
            now,
        }
    }

    fn is_too_busy_to_hedge(&self, class: usize, now: f64) -> bool {
        let ratio_max = hedging::HEDGE_LOAD_RATIO_MAX * MAX_OBJECTIVE_RATIO;
        self.upstream.latency.objective_ratio() > ratio_max
            || self.upstream.shed_load(class, 1.0, now).is_some()
    }

    pub(super) fn on_maintenance_timer(&mut self, state: &mut EventContext) {
        let now = state.now;
        self.upstream
            .detect_unresponsive(state.resumed_at, now, state.actions);
        self.upstream.maintain(now, &mut self.rng, state.actions);
        self.is_maintenance_scheduled = !self.requests.is_empty();
        if self.is_maintenance_scheduled {
            self.timers.set(
                duration(now + MAINTENANCE_INTERVAL_SECONDS),
                Timer::Maintenance,
            );
        }
    }
}
