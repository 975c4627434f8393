//! The entry point of the crate: passes each event to the service that it concerns.
//!
//! Customers' quotas apply across services, so the dispatcher holds them. An event is processed by
//! one service only, and a service without requests schedules no timers. The cost of an event
//! therefore does not depend on the number of services.

use crate::action::Action;
use crate::event::{
    CounterResult, EndpointListUpdate, Event, IncomingRequest, LoadReport, Outcome,
};
use crate::ids::{CounterKey, EndpointId, RequestId, ServiceId, TimerTag};
use crate::quota::{CounterDecision, CustomerQuotas};
use crate::rejection::RejectReason;
use crate::service::{EventContext, QuotaDecision, Service};
use crate::service_table::ServiceTable;
use crate::settings::{DiscoveryMode, Settings, SettingsError};
use crate::util::seconds;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Delay before subscribing again after a call to discovery has failed.
const RESUBSCRIBE_DELAY: Duration = Duration::from_secs(1);
/// A longer time between two events while there are requests counts as a stall of this ingress,
/// because the timers of requests expire more often than that.
const MIN_STALL_SECONDS: f64 = 0.25;
/// Units of a request whose own number of units is not finite.
const DEFAULT_UNITS: f64 = 1.0;

/// Makes the decisions of one ingress: takes events and appends the resulting actions.
pub struct Dispatcher {
    settings: Arc<Settings>,
    quotas: CustomerQuotas,
    services: ServiceTable,
    /// The service of each request that is not finished.
    requests: HashMap<RequestId, ServiceId>,
    resubscribe_at: Option<Duration>,
    /// When the timer that was last requested from the caller expires.
    timer_at: Option<Duration>,
    /// The time of the current event.
    clock: Duration,
    /// When the last stall of this ingress ended, in seconds.
    resumed_at: f64,
    /// Whether an event has been handled.
    has_started: bool,
    /// Empty between events; kept to reuse its allocation.
    finished_requests: Vec<RequestId>,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints or requests. The same seed and the same events result
    /// in the same actions.
    ///
    /// # Errors
    /// Returns the error of [`Settings::check`] if an ingress cannot run with the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Dispatcher, SettingsError> {
        settings.check()?;
        let settings = Arc::new(settings);
        Ok(Dispatcher {
            quotas: CustomerQuotas::new(&settings),
            services: ServiceTable::new(&settings, seed),
            settings,
            requests: HashMap::new(),
            resubscribe_at: None,
            timer_at: None,
            clock: Duration::ZERO,
            resumed_at: 0.0,
            has_started: false,
            finished_requests: Vec::new(),
        })
    }

    /// The number of services that have endpoints or requests.
    #[must_use]
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Handles an event that occurred at the time `now`, and appends the resulting actions. If
    /// `now` is before the time of an earlier event, the earlier event's time is used.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.advance_clock(now);
        let is_first_event = !std::mem::replace(&mut self.has_started, true);
        if is_first_event && self.settings.discovery == DiscoveryMode::Subscription {
            actions.push(Action::Subscribe);
        }
        self.dispatch(event, actions);
        self.run_due_services(actions);
        self.set_timer(actions);
    }

    /// Sets the clock and detects stalls of this ingress. While there are requests, timers expire
    /// frequently, so a long time without an event is a stall. Endpoints and the counter must not
    /// be considered slow because their responses waited during a stall.
    fn advance_clock(&mut self, now: Duration) {
        let previous = self.clock;
        self.clock = previous.max(now);
        if seconds(self.clock - previous) > MIN_STALL_SECONDS && !self.requests.is_empty() {
            self.resumed_at = seconds(self.clock);
        }
    }

    fn dispatch(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::RequestReceived(request) => self.on_request(request, actions),
            Event::CounterReply {
                key,
                result,
                elapsed,
            } => self.on_counter_reply(key, result, elapsed, actions),
            Event::AttemptEnded(end) => {
                self.with_request(end.request, actions, |service, context| {
                    service.on_attempt_ended(&end, context);
                });
            }
            Event::StreamStarted { request, attempt } => {
                self.with_request(request, actions, |service, context| {
                    service.on_stream_started(request, attempt, context);
                });
            }
            Event::ClientDisconnected(request) => {
                self.with_request(request, actions, |service, context| {
                    service.close(request, context);
                });
            }
            Event::EndpointListChanged(update) => self.on_endpoint_list(update),
            Event::HealthCheckEnded {
                service,
                endpoint,
                outcome,
                load,
            } => self.on_health_check(service, endpoint, outcome, load.as_ref()),
            Event::TimerExpired(_) => self.timer_at = None,
        }
    }

    fn on_request(&mut self, mut request: IncomingRequest, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&request.request) {
            return;
        }
        let has_class = request.class < self.settings.classes.len();
        let has_plan = request.plan < self.settings.plans.len();
        if !has_class || !has_plan {
            return actions.push(Action::Reject {
                request: request.request,
                retry_after: None,
                reason: RejectReason::UnknownClassOrPlan,
            });
        }
        request.units = if request.units.is_finite() {
            request.units.max(0.0)
        } else {
            DEFAULT_UNITS
        };
        self.services.get_or_create(request.service, self.clock);
        self.requests.insert(request.request, request.service);
        self.with_service(request.service, actions, |service, context| {
            service.on_request(&request, context);
        });
    }

    fn on_counter_reply(
        &mut self,
        key: CounterKey,
        result: CounterResult,
        elapsed: Duration,
        actions: &mut Vec<Action>,
    ) {
        let now = seconds(self.clock);
        let counter_decision = self.quotas.on_counter_reply(key, result, now);
        self.quotas.sampling.record_counter_latency(
            result,
            seconds(elapsed),
            now,
            self.resumed_at,
            actions,
        );
        let Some(CounterDecision {
            request,
            is_within_quota,
        }) = counter_decision
        else {
            return;
        };
        self.with_request(request, actions, |service, context| match is_within_quota {
            Some(is_within_quota) => {
                let decision = QuotaDecision {
                    is_within_quota,
                    is_confirmed: true,
                };
                service.on_quota_decision(request, decision, context);
            }
            None => service.decide_locally(request, false, context),
        });
    }

    fn on_health_check(
        &mut self,
        service: ServiceId,
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<&LoadReport>,
    ) {
        let now = seconds(self.clock);
        if let Some(service) = self.services.get_mut(service) {
            service.on_health_check(endpoint, outcome, report, now);
        }
    }

    fn on_endpoint_list(&mut self, update: EndpointListUpdate) {
        let now = self.clock;
        match update {
            EndpointListUpdate::Changes(entries) => {
                for entry in entries {
                    self.services.update_endpoint(entry, now);
                }
            }
            EndpointListUpdate::Full(entries) => self.services.replace_endpoints(entries, now),
            EndpointListUpdate::Unavailable => {
                self.resubscribe_at = Some(now + RESUBSCRIBE_DELAY);
            }
        }
    }

    /// Runs `operation` on the service of a request, unless the request is unknown.
    fn with_request(
        &mut self,
        request: RequestId,
        actions: &mut Vec<Action>,
        operation: impl FnOnce(&mut Service, &mut EventContext),
    ) {
        if let Some(&service) = self.requests.get(&request) {
            self.with_service(service, actions, operation);
        }
    }

    /// Runs `operation` on a service, then removes the service's finished requests.
    fn with_service(
        &mut self,
        id: ServiceId,
        actions: &mut Vec<Action>,
        operation: impl FnOnce(&mut Service, &mut EventContext),
    ) {
        let endpoint_count = self.services.endpoint_count();
        let unmeasured_in_flight = self.services.unmeasured_in_flight();
        let Some(service) = self.services.get_mut(id) else {
            return;
        };
        let mut context = EventContext {
            now: seconds(self.clock),
            resumed_at: self.resumed_at,
            quotas: &mut self.quotas,
            actions,
            request_count: self.requests.len(),
            endpoint_count,
            unmeasured_in_flight,
            finished_requests: &mut self.finished_requests,
        };
        operation(service, &mut context);
        for request in self.finished_requests.drain(..) {
            self.requests.remove(&request);
        }
        self.services.after_event(id);
    }

    fn run_due_services(&mut self, actions: &mut Vec<Action>) {
        let clock = self.clock;
        while let Some(service) = self.services.first_due_by(clock) {
            self.with_service(service, actions, |service, context| {
                service.run_due_timers(clock, context);
            });
        }
        if self.resubscribe_at.take_if(|at| *at <= clock).is_some() {
            actions.push(Action::Subscribe);
        }
    }

    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let first_due = self.services.next_timer();
        let Some(due) = first_due.into_iter().chain(self.resubscribe_at).min() else {
            return;
        };
        if self.timer_at.is_none_or(|at| due < at) {
            self.timer_at = Some(due);
            actions.push(Action::SetTimer {
                after: due.saturating_sub(self.clock),
                tag: TimerTag(0),
            });
        }
    }
}
