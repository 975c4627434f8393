//! One ingress with several services, each with its own endpoints.

use super::fixtures::{ceiling_plan, ms, plan, settings};
use roseyard_decision::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of customers that requests within quota rotate through. With so many, none of them
/// exceeds its quota.
pub(crate) const CUSTOMERS: u64 = 1000;
/// The number of endpoints of each service.
pub(crate) const ENDPOINTS_PER_SERVICE: u32 = 4;
/// Indices in the classes of [`settings`].
pub(crate) const IDEMPOTENT_CLASS: usize = 0;
pub(crate) const NON_IDEMPOTENT_CLASS: usize = 2;
/// Indices in the plans of [`high_quota_settings`].
pub(crate) const QUOTA_PLAN: usize = 0;
pub(crate) const CEILING_PLAN: usize = 1;

/// The state of a request.
#[derive(Default)]
pub(crate) struct ServiceRequest {
    pub(crate) service: u32,
    /// The endpoint of each attempt.
    pub(crate) attempts: Vec<u32>,
    pub(crate) in_flight: bool,
    pub(crate) served: bool,
    /// Whether the request was rejected or failed.
    pub(crate) rejected: bool,
}

/// One ingress with its services, requests and timers. The counter replies at once, and the test
/// decides how attempts end.
pub(crate) struct ServiceSimulation {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Duration,
    pub(crate) requests: BTreeMap<u64, ServiceRequest>,
    pub(crate) counter_totals: BTreeMap<u64, f64>,
    /// Whether the counter replies; otherwise its calls stay pending.
    pub(crate) counter_replies: bool,
    pub(crate) timers: Vec<Duration>,
    pub(crate) last_id: u64,
}

/// Returns the id of the endpoint with this index within its service.
pub(crate) fn endpoint_id(service: u32, index: u32) -> u32 {
    service * 1000 + index
}

pub(crate) fn service_entry(
    service: u32,
    index: u32,
    state: EndpointState,
    started_at: Option<Duration>,
) -> EndpointEntry {
    let id = endpoint_id(service, index);
    EndpointEntry {
        endpoint: EndpointId(id),
        service: ServiceId(service),
        zone: 0,
        cell: 0,
        state,
        weight: 1.0,
        rank: u64::from(id),
        started_at,
    }
}

/// Returns entries for all endpoints of a service.
pub(crate) fn ready_entries(service: u32) -> Vec<EndpointEntry> {
    (0..ENDPOINTS_PER_SERVICE)
        .map(|index| service_entry(service, index, EndpointState::Ready, None))
        .collect()
}

impl ServiceSimulation {
    /// Returns an ingress with services 1 to `services`, whose endpoints are all ready.
    pub(crate) fn new(settings: Settings, services: u32) -> ServiceSimulation {
        let mut sim = ServiceSimulation {
            dispatcher: Dispatcher::new(settings, 11).unwrap(),
            now: ms(1000),
            requests: BTreeMap::new(),
            counter_totals: BTreeMap::new(),
            counter_replies: true,
            timers: Vec::new(),
            last_id: 0,
        };
        let list = (1..=services).flat_map(ready_entries).collect();
        sim.handle(Event::EndpointListChanged(EndpointListUpdate::Full(list)));
        sim
    }

    /// Reports changed entries of the endpoint list to the ingress.
    pub(crate) fn change_endpoints(&mut self, entries: Vec<EndpointEntry>) {
        self.handle(Event::EndpointListChanged(EndpointListUpdate::Changes(
            entries,
        )));
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Forward {
                request, endpoint, ..
            } => {
                let record = self
                    .requests
                    .get_mut(&request.0)
                    .expect("the request was sent by this simulation");
                assert_eq!(
                    endpoint.0 / 1000,
                    record.service,
                    "forwarded to an endpoint of another service"
                );
                record.attempts.push(endpoint.0);
                record.in_flight = true;
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.requests
                    .get_mut(&request.0)
                    .expect("the request was sent by this simulation")
                    .rejected = true;
            }
            Action::IncrementCounter { key, amount, .. } if self.counter_replies => {
                let total = self.counter_totals.entry(key.0).or_default();
                *total += amount;
                let result = CounterResult::Total(*total);
                self.handle(Event::CounterReply {
                    key,
                    result,
                    elapsed: ms(1),
                });
            }
            Action::SetTimer { after, .. } => self.timers.push(self.now + after.max(ms(1))),
            _ => {}
        }
    }

    /// Sends an idempotent request and returns its id.
    pub(crate) fn request(&mut self, service: u32, plan: usize, customer: u64) -> u64 {
        self.request_of_class(service, IDEMPOTENT_CLASS, plan, customer)
    }

    fn request_of_class(&mut self, service: u32, class: usize, plan: usize, customer: u64) -> u64 {
        self.last_id += 1;
        let record = ServiceRequest {
            service,
            ..ServiceRequest::default()
        };
        self.requests.insert(self.last_id, record);
        let incoming = IncomingRequest {
            request: RequestId(self.last_id),
            service: ServiceId(service),
            class,
            plan,
            customer: CustomerId(customer),
            units: 1.0,
            ingress_count: 1,
            time_left: ms(1500),
            is_retry: false,
        };
        self.handle(Event::RequestReceived(incoming));
        self.last_id
    }

    /// Sends an idempotent request of a customer within its quota and returns its id.
    pub(crate) fn request_within_quota(&mut self, service: u32) -> u64 {
        let customer = self.last_id % CUSTOMERS;
        self.request(service, QUOTA_PLAN, customer)
    }

    /// Sends requests of a class at the same time, for customers within their quotas, and returns
    /// their ids.
    pub(crate) fn send_burst(&mut self, service: u32, class: usize, count: u32) -> Vec<u64> {
        (0..count)
            .map(|_| self.request_of_class(service, class, QUOTA_PLAN, self.last_id % CUSTOMERS))
            .collect()
    }

    /// Returns how many of these requests are in flight.
    pub(crate) fn count_in_flight(&self, ids: &[u64]) -> usize {
        ids.iter().filter(|id| self.requests[id].in_flight).count()
    }

    /// Ends the last attempt of a request. If none is in flight, nothing happens.
    pub(crate) fn end_attempt(&mut self, id: u64, outcome: Outcome, elapsed: Duration) {
        let record = self
            .requests
            .get_mut(&id)
            .expect("the request was sent by this simulation");
        if !std::mem::take(&mut record.in_flight) {
            return;
        }
        record.served = outcome == Outcome::Ok;
        let attempt = record.attempts.len() as u16 - 1;
        let endpoint = EndpointId(record.attempts[usize::from(attempt)]);
        let end = AttemptEnd {
            request: RequestId(id),
            attempt,
            endpoint,
            outcome,
            elapsed,
            is_request_finished: record.served || record.rejected,
            true_units: None,
            load: None,
        };
        self.handle(Event::AttemptEnded(end));
    }

    /// Sends a request and serves it after 5 ms if it was forwarded. Returns whether it was served.
    pub(crate) fn serve(&mut self, service: u32) -> bool {
        let id = self.request_within_quota(service);
        self.advance(ms(5));
        self.end_attempt(id, Outcome::Ok, ms(5));
        self.requests[&id].served
    }

    /// Advances the clock and reports each timer that expires in the meantime.
    pub(crate) fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while let Some(at) = self.timers.iter().copied().min().filter(|at| *at <= until) {
            self.timers.retain(|timer| *timer != at);
            self.now = self.now.max(at);
            self.handle(Event::TimerExpired(TimerTag(0)));
        }
        self.now = until;
    }

    /// Sends `count` requests to a service, one every 20 ms, and returns how many are served.
    pub(crate) fn count_served(&mut self, service: u32, count: u32) -> u32 {
        let mut served = 0;
        for _ in 0..count {
            served += u32::from(self.serve(service));
            self.advance(ms(15));
        }
        served
    }
}

/// Returns settings whose first plan has a quota that these tests never reach. Its second plan is
/// [`ceiling_plan`].
pub(crate) fn high_quota_settings() -> Settings {
    Settings {
        plans: vec![plan(100.0, 1000.0), ceiling_plan()],
        ..settings(1)
    }
}
