//! One ingress: hands each event to the service that it is for. It decides nothing itself.
//!
//! Customers' quotas span services and stand above them. The cost of an event is that of the one
//! service: a service without requests is never woken.

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

/// Pause before subscribing again after a call to discovery failed.
const RESUBSCRIBE_DELAY: Duration = Duration::from_secs(1);
/// A gap this long between two events, while requests cause timers, is a stall of this ingress.
const STALL_SECONDS: f64 = 0.25;
/// Units of a request whose estimate is no number.
const DEFAULT_UNITS: f64 = 1.0;

/// The decisions of one ingress: takes events and appends actions.
pub struct Dispatcher {
    settings: Arc<Settings>,
    quotas: CustomerQuotas,
    services: ServiceTable,
    /// The service of each request of which something is still to come.
    requests: HashMap<RequestId, ServiceId>,
    resubscribe_at: Option<Duration>,
    timer: Option<Duration>,
    clock: Duration,
    /// When the last stall of this ingress ended, in seconds.
    resumed_at: f64,
    started: bool,
    /// Empty between two events; kept for its capacity.
    finished_requests: Vec<RequestId>,
}

impl Dispatcher {
    /// Checks the settings and starts without any state. The same seed and events give the same
    /// actions.
    ///
    /// # Errors
    /// Settings that an ingress cannot run with, as [`Settings::check`] finds them.
    pub fn new(settings: Settings, seed: u64) -> Result<Dispatcher, SettingsError> {
        settings.check()?;
        let settings = Arc::new(settings);
        Ok(Dispatcher {
            quotas: CustomerQuotas::new(&settings),
            services: ServiceTable::new(&settings, seed),
            settings,
            requests: HashMap::new(),
            resubscribe_at: None,
            timer: None,
            clock: Duration::ZERO,
            resumed_at: 0.0,
            started: false,
            finished_requests: Vec::new(),
        })
    }

    /// Number of services that have endpoints or requests.
    #[must_use]
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Takes one event at the time `now` and appends what is to be done. A time before that of an
    /// earlier event counts as that one's.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.advance(now);
        let is_first_event = !std::mem::replace(&mut self.started, true);
        if is_first_event && self.settings.discovery == DiscoveryMode::Subscription {
            actions.push(Action::Subscribe);
        }
        self.dispatch(event, actions);
        self.wake_due(actions);
        self.set_timer(actions);
    }

    /// While there are requests, timers of their services are due all the time: a gap is a stall
    /// of this ingress. Prevents endpoints and counter from being blamed for what waited through
    /// it.
    fn advance(&mut self, now: Duration) {
        let before = self.clock;
        self.clock = before.max(now);
        if seconds(self.clock - before) > STALL_SECONDS && !self.requests.is_empty() {
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
                self.with_request(end.request, actions, |service, state| {
                    service.on_attempt_ended(&end, state);
                });
            }
            Event::StreamStarted { request, attempt } => {
                self.with_request(request, actions, |service, state| {
                    service.on_stream_started(request, attempt, state);
                });
            }
            Event::ClientDisconnected(request) => {
                self.with_request(request, actions, |service, state| {
                    service.close(request, state);
                });
            }
            Event::EndpointListChanged(update) => self.on_endpoint_list(update),
            Event::HealthCheckEnded {
                service,
                endpoint,
                outcome,
                load,
            } => self.on_health_check(service, endpoint, outcome, load.as_ref()),
            Event::TimerExpired(_) => self.timer = None,
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
        self.with_service(request.service, actions, |service, state| {
            service.on_request(&request, state);
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
        let undecided = self.quotas.on_counter_reply(key, result, now);
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
        }) = undecided
        else {
            return;
        };
        self.with_request(request, actions, |service, state| match is_within_quota {
            Some(is_within_quota) => {
                let decision = QuotaDecision {
                    is_within_quota,
                    is_confirmed: true,
                };
                service.on_quota_decision(request, decision, state);
            }
            None => service.decide_locally(request, false, state),
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

    fn with_request(
        &mut self,
        request: RequestId,
        actions: &mut Vec<Action>,
        act: impl FnOnce(&mut Service, &mut EventContext),
    ) {
        if let Some(&service) = self.requests.get(&request) {
            self.with_service(service, actions, act);
        }
    }

    /// Runs `act` on a service, then removes its finished requests.
    fn with_service(
        &mut self,
        id: ServiceId,
        actions: &mut Vec<Action>,
        act: impl FnOnce(&mut Service, &mut EventContext),
    ) {
        let endpoint_count = self.services.endpoint_count();
        let unmeasured_in_flight = self.services.unmeasured_in_flight();
        let Some(service) = self.services.get_mut(id) else {
            return;
        };
        let mut state = EventContext {
            now: seconds(self.clock),
            resumed_at: self.resumed_at,
            quotas: &mut self.quotas,
            actions,
            request_count: self.requests.len(),
            endpoint_count,
            unmeasured_in_flight,
            finished_requests: &mut self.finished_requests,
        };
        act(service, &mut state);
        for request in self.finished_requests.drain(..) {
            self.requests.remove(&request);
        }
        self.services.after_event(id);
    }

    fn wake_due(&mut self, actions: &mut Vec<Action>) {
        let clock = self.clock;
        while let Some(service) = self.services.first_due_by(clock) {
            self.with_service(service, actions, |service, state| {
                service.run_due_timers(clock, state);
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
        if self.timer.is_none_or(|at| due < at) {
            self.timer = Some(due);
            actions.push(Action::SetTimer {
                after: due.saturating_sub(self.clock),
                tag: TimerTag(0),
            });
        }
    }
}
