//! The state of one service, and the context of the events that it handles.

use crate::action::Action;
use crate::event::{EndpointEntry, LoadReport, Outcome};
use crate::ids::{EndpointId, RequestId};
use crate::quota::CustomerQuotas;
use crate::service::request::Request;
use crate::service::retry::RetryBudget;
use crate::service::upstream::Upstream;
use crate::settings::Settings;
use crate::util::timer_queue::TimerQueue;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The state of the ingress that a service needs to handle an event. Times are in seconds.
pub(crate) struct EventContext<'a> {
    /// Time of the event.
    pub now: f64,
    /// When the last stall of this ingress ended; 0 if there was none.
    pub resumed_at: f64,
    /// The quotas of all customers.
    pub quotas: &'a mut CustomerQuotas,
    /// The actions that the caller has to carry out, to which the service appends.
    pub actions: &'a mut Vec<Action>,
    /// Number of requests of all services.
    pub request_count: usize,
    /// Number of endpoints of all services.
    pub endpoint_count: usize,
    /// Number of attempts in flight at all services that have not responded yet.
    pub unmeasured_in_flight: usize,
    /// Requests that the service has removed, for the dispatcher to remove as well.
    pub finished_requests: &'a mut Vec<RequestId>,
}

/// A timer of a service.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// The request stops waiting for the counter and its quota is decided locally.
    CounterWait(RequestId),
    /// The request may be hedged.
    Hedge(RequestId),
    /// The request times out.
    Deadline(RequestId),
    /// The next round of maintenance is due.
    Maintenance,
}

/// The requests and endpoints of one service.
pub(crate) struct Service {
    pub(super) settings: Arc<Settings>,
    pub(super) rng: fastrand::Rng,
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) attempts_in_flight: usize,
    pub(super) upstream: Upstream,
    pub(super) retry_budget: RetryBudget,
    pub(super) timers: TimerQueue<Timer>,
    pub(super) is_maintenance_scheduled: bool,
}

impl Service {
    pub(crate) fn new(settings: &Arc<Settings>, seed: u64, now: f64) -> Service {
        Service {
            settings: Arc::clone(settings),
            rng: fastrand::Rng::with_seed(seed),
            requests: BTreeMap::new(),
            attempts_in_flight: 0,
            upstream: Upstream::new(settings, now),
            retry_budget: RetryBudget::default(),
            timers: TimerQueue::default(),
            is_maintenance_scheduled: false,
        }
    }

    /// The number of listed endpoints, or of known endpoints if that is greater: an endpoint that
    /// is no longer listed stays known until its last attempt has ended.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.upstream.balancer.table.len()
    }

    /// The number of attempts in flight if the service has not responded yet, and 0 otherwise.
    pub(crate) fn unmeasured_in_flight(&self) -> usize {
        if self.upstream.latency.is_measured() {
            0
        } else {
            self.attempts_in_flight
        }
    }

    /// Whether the service has neither endpoints nor requests.
    pub(crate) fn is_unused(&self) -> bool {
        self.endpoint_count() == 0 && self.requests.is_empty()
    }

    /// When the next timer of the service expires; `None` if no timer is set.
    pub(crate) fn next_timer(&self) -> Option<Duration> {
        self.timers.first_due()
    }

    /// Returns the request, or `None` if it is closed or unknown.
    pub(super) fn open_request(&mut self, id: RequestId) -> Option<&mut Request> {
        let request = self.requests.get_mut(&id);
        request.filter(|request| !request.is_closed)
    }

    /// Called when a health check has ended.
    pub(crate) fn on_health_check(
        &mut self,
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<&LoadReport>,
        now: f64,
    ) {
        self.upstream
            .on_health_check(endpoint, outcome, report, now);
    }

    /// Called when an entry of the endpoint list has changed.
    pub(crate) fn update_endpoint(&mut self, entry: &EndpointEntry, now: f64) {
        let table = &mut self.upstream.balancer.table;
        table.update(entry, now, &mut self.rng);
    }

    /// Called when a complete endpoint list has arrived.
    pub(crate) fn replace_endpoints(&mut self, entries: &[EndpointEntry], now: f64) {
        let table = &mut self.upstream.balancer.table;
        table.replace(entries, now, &mut self.rng);
    }
}
