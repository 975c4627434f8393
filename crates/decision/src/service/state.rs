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

/// What a service needs of the ingress while it handles an event. Times are in seconds.
pub(crate) struct EventContext<'a> {
    pub now: f64,
    /// When this ingress's last stall ended.
    pub resumed_at: f64,
    pub quotas: &'a mut CustomerQuotas,
    pub actions: &'a mut Vec<Action>,
    /// Requests of all services.
    pub request_count: usize,
    /// Endpoints of all services.
    pub endpoint_count: usize,
    /// Attempts in flight at all services that have not responded yet.
    pub unmeasured_in_flight: usize,
    /// Requests of which nothing more is to come.
    pub finished_requests: &'a mut Vec<RequestId>,
}

/// What a service waits for.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// The counter has not answered in time.
    CounterWait(RequestId),
    Hedge(RequestId),
    Deadline(RequestId),
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

    /// Its endpoints: those that are listed, or those that have a state if these are more.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.upstream.balancer.table.len()
    }

    /// Its attempts in flight, if it has not responded yet; else none.
    pub(crate) fn unmeasured_in_flight(&self) -> usize {
        if self.upstream.latency.is_measured() {
            0
        } else {
            self.attempts_in_flight
        }
    }

    /// Whether it has neither endpoints nor requests.
    pub(crate) fn is_unused(&self) -> bool {
        self.endpoint_count() == 0 && self.requests.is_empty()
    }

    /// When it is to be woken.
    pub(crate) fn next_timer(&self) -> Option<Duration> {
        self.timers.first_due()
    }

    pub(super) fn open_request(&mut self, id: RequestId) -> Option<&mut Request> {
        let request = self.requests.get_mut(&id);
        request.filter(|request| !request.is_closed)
    }

    /// A health check has ended.
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

    /// An entry of the endpoint list has changed.
    pub(crate) fn update_endpoint(&mut self, entry: &EndpointEntry, now: f64) {
        let table = &mut self.upstream.balancer.table;
        table.update(entry, now, &mut self.rng);
    }

    /// A complete endpoint list has come.
    pub(crate) fn replace_endpoints(&mut self, entries: &[EndpointEntry], now: f64) {
        let table = &mut self.upstream.balancer.table;
        table.replace(entries, now, &mut self.rng);
    }
}
