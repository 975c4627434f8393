//! One ingress with several services.

use super::fixtures::{ceiling_plan, ms, plan, settings};
use roseyard_decision::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Customers enough that no quota is in the way.
pub(crate) const CUSTOMERS: u64 = 1000;
/// Endpoints of each service in these tests.
pub(crate) const ENDPOINTS: u32 = 4;
pub(crate) const IDEMPOTENT: usize = 0;
pub(crate) const NON_IDEMPOTENT: usize = 2;
pub(crate) const PLAIN: usize = 0;
pub(crate) const CEILING: usize = 1;

/// A request, as the test sees it.
#[derive(Default)]
pub(crate) struct ServiceRequest {
    pub(crate) service: u32,
    pub(crate) attempts: Vec<u32>,
    pub(crate) in_flight: bool,
    pub(crate) served: bool,
    pub(crate) rejected: bool,
}

/// One ingress among services, with a counter that answers at once and endpoints that do as each
/// test says.
pub(crate) struct ServiceSimulation {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Duration,
    pub(crate) requests: BTreeMap<u64, ServiceRequest>,
    pub(crate) counter_totals: BTreeMap<u64, f64>,
    pub(crate) counter_replies: bool,
    pub(crate) timers: Vec<Duration>,
    pub(crate) last_id: u64,
}

pub(crate) fn endpoint(service: u32, index: u32) -> u32 {
    service * 1000 + index
}

pub(crate) fn service_entry(
    service: u32,
    index: u32,
    state: EndpointState,
    started_at: Option<Duration>,
) -> EndpointEntry {
    let id = endpoint(service, index);
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

pub(crate) fn ready(service: u32) -> Vec<EndpointEntry> {
    (0..ENDPOINTS)
        .map(|index| service_entry(service, index, EndpointState::Ready, None))
        .collect()
}

impl ServiceSimulation {
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
        let list = (1..=services).flat_map(ready).collect();
        sim.handle(Event::EndpointListChanged(EndpointListUpdate::Full(list)));
        sim
    }

    pub(crate) fn change(&mut self, entries: Vec<EndpointEntry>) {
        self.handle(Event::EndpointListChanged(EndpointListUpdate::Changes(
            entries,
        )));
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Forward {
                request, endpoint, ..
            } => {
                let record = self.requests.get_mut(&request.0).expect("a known request");
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
                    .expect("a known request")
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

    pub(crate) fn request(&mut self, service: u32, plan: usize, customer: u64) -> u64 {
        self.request_of_class(service, IDEMPOTENT, plan, customer)
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

    /// A request of a customer within its quota.
    pub(crate) fn request_within_quota(&mut self, service: u32) -> u64 {
        let customer = self.last_id % CUSTOMERS;
        self.request(service, PLAIN, customer)
    }

    /// Requests of a class that arrive at once, of customers within their quotas.
    pub(crate) fn burst(&mut self, service: u32, class: usize, count: u32) -> Vec<u64> {
        (0..count)
            .map(|_| self.request_of_class(service, class, PLAIN, self.last_id % CUSTOMERS))
            .collect()
    }

    /// How many of these requests are in flight.
    pub(crate) fn in_flight(&self, ids: &[u64]) -> usize {
        ids.iter().filter(|id| self.requests[id].in_flight).count()
    }

    pub(crate) fn end(&mut self, id: u64, outcome: Outcome, elapsed: Duration) {
        let record = self.requests.get_mut(&id).expect("a known request");
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

    /// A request that is served where it is forwarded; whether it was.
    pub(crate) fn serve(&mut self, service: u32) -> bool {
        let id = self.request_within_quota(service);
        self.advance(ms(5));
        self.end(id, Outcome::Ok, ms(5));
        self.requests[&id].served
    }

    pub(crate) fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while let Some(at) = self.timers.iter().copied().min().filter(|at| *at <= until) {
            self.timers.retain(|timer| *timer != at);
            self.now = self.now.max(at);
            self.handle(Event::TimerExpired(TimerTag(0)));
        }
        self.now = until;
    }

    /// So many of `count` requests of a service, one each 20 ms, that are served.
    pub(crate) fn served_of(&mut self, service: u32, count: u32) -> u32 {
        let mut served = 0;
        for _ in 0..count {
            served += u32::from(self.serve(service));
            self.advance(ms(15));
        }
        served
    }
}

/// Settings under which nothing but what a test does stands in the way of a request.
pub(crate) fn ample_settings() -> Settings {
    Settings {
        plans: vec![plan(100.0, 1000.0), ceiling_plan()],
        ..settings(1)
    }
}
