//! Ingresses of one tier, their requests and their clock.

use super::counter::{CallOutcome, CounterEntry, PendingCall};
use super::fixtures::{entry, ms};
use roseyard_decision::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The final answer that a client got.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    Rejected,
    Failed,
    Served,
    Disconnected,
}

pub(crate) struct AttemptRecord {
    pub endpoint: u32,
    pub forwarded_at: Duration,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
}

pub(crate) struct RequestRecord {
    pub class: usize,
    pub customer: u64,
    pub units: f64,
    pub plan: usize,
    pub deadline: Duration,
    pub attempts: Vec<AttemptRecord>,
    pub answer: Option<Answer>,
}

/// One attempt of a request at an ingress.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub ingress: usize,
    pub request: u64,
    pub number: usize,
}

/// An attempt that was forwarded.
#[derive(Clone, Copy)]
pub(crate) struct Forward {
    pub ingress: usize,
    pub endpoint: u32,
    pub at: Duration,
}

/// Ingresses, the numbers on a counter and what is in flight; every action is checked as it comes.
pub(crate) struct Simulation {
    pub now: Duration,
    pub settings: Settings,
    pub dispatchers: Vec<Dispatcher>,
    /// By ingress and id.
    pub requests: BTreeMap<(usize, u64), RequestRecord>,
    pub pending_calls: Vec<PendingCall>,
    pub counter_totals: BTreeMap<u64, CounterEntry>,
    /// Since when each ingress knows of an endpoint that is draining or removed.
    pub unready_since: BTreeMap<(usize, u32), Duration>,
    pub listed: BTreeSet<u32>,
    /// What remains under each customer's ceiling, and when that was.
    pub ceilings: BTreeMap<u64, (f64, Duration)>,
    pub lowest_ceiling: f64,
    /// Whether a ceiling that is exceeded is a failure at once, or only noted in `lowest_ceiling`.
    pub strict: bool,
    pub forwards: Vec<Forward>,
    pub notices: Vec<Notice>,
    pub actions: Vec<(usize, Action)>,
    /// Whether the requests that come are clients' retries.
    pub is_retry: bool,
    timers: BTreeMap<(Duration, u64), usize>,
    next_id: u64,
    seed: u64,
}

fn start(settings: &Settings, ingress: usize, seed: u64) -> Dispatcher {
    let settings = Settings {
        ingress_index: ingress as u32,
        ..settings.clone()
    };
    Dispatcher::new(settings, seed).unwrap()
}

fn full_list(endpoints: u32) -> EndpointListUpdate {
    let ready = |id| entry(id, EndpointState::Ready, None);
    EndpointListUpdate::Full((0..endpoints).map(ready).collect())
}

impl Simulation {
    pub(crate) fn new(settings: Settings, ingress_count: usize, endpoints: u32) -> Simulation {
        Simulation::seeded(settings, ingress_count, endpoints, 0)
    }

    /// One whose ingresses use seeds from this one on.
    pub(crate) fn seeded(
        settings: Settings,
        ingress_count: usize,
        endpoints: u32,
        seed: u64,
    ) -> Simulation {
        let dispatchers = (0..ingress_count)
            .map(|ingress| start(&settings, ingress, seed + ingress as u64))
            .collect();
        let mut sim = Simulation {
            now: ms(1000),
            settings,
            dispatchers,
            requests: BTreeMap::new(),
            pending_calls: Vec::new(),
            counter_totals: BTreeMap::new(),
            unready_since: BTreeMap::new(),
            listed: BTreeSet::new(),
            ceilings: BTreeMap::new(),
            lowest_ceiling: f64::MAX,
            strict: true,
            forwards: Vec::new(),
            notices: Vec::new(),
            actions: Vec::new(),
            is_retry: false,
            timers: BTreeMap::new(),
            next_id: 1,
            seed,
        };
        sim.update_all_endpoint_lists(&full_list(endpoints));
        sim
    }

    /// An ingress is killed and starts again without any state.
    pub(crate) fn restart(&mut self, ingress: usize, endpoints: u32) {
        let seed = self.seed + 99 + ingress as u64;
        self.dispatchers[ingress] = start(&self.settings, ingress, seed);
        self.requests.retain(|(at, _), _| *at != ingress);
        self.pending_calls.retain(|call| call.ingress != ingress);
        self.timers.retain(|_, at| *at != ingress);
        self.unready_since.retain(|(at, _), _| *at != ingress);
        self.handle(ingress, Event::EndpointListChanged(full_list(endpoints)));
    }

    /// All ingresses get an update of the endpoint list.
    pub(crate) fn update_all_endpoint_lists(&mut self, update: &EndpointListUpdate) {
        for ingress in 0..self.dispatchers.len() {
            self.handle(ingress, Event::EndpointListChanged(update.clone()));
        }
    }

    /// One ingress handles an event; its actions are checked and recorded.
    pub(crate) fn handle(&mut self, ingress: usize, event: Event) {
        if let Event::EndpointListChanged(
            EndpointListUpdate::Changes(entries) | EndpointListUpdate::Full(entries),
        ) = &event
        {
            for entry in entries {
                let endpoint = entry.endpoint.0;
                self.listed.insert(endpoint);
                match entry.state {
                    EndpointState::Ready => self.unready_since.remove(&(ingress, endpoint)),
                    _ => self.unready_since.insert((ingress, endpoint), self.now),
                };
            }
        }
        let mut actions = Vec::new();
        self.dispatchers[ingress].handle(self.now, event, &mut actions);
        for action in actions {
            self.check(ingress, &action);
            self.actions.push((ingress, action));
        }
    }

    pub(super) fn set_timer(&mut self, ingress: usize, after: Duration) {
        self.next_id += 1;
        let at = self.now + after.max(self.settings.tick);
        self.timers.insert((at, self.next_id), ingress);
    }

    /// Lets time pass; timers expire as they are due.
    pub(crate) fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while let Some((&(at, sequence), &ingress)) =
            self.timers.first_key_value().filter(|(k, _)| k.0 <= until)
        {
            self.timers.remove(&(at, sequence));
            self.now = self.now.max(at);
            self.handle(ingress, Event::TimerExpired(TimerTag(0)));
        }
        self.now = until;
    }

    /// A request of one unit arrives; returns its id.
    pub(crate) fn request(
        &mut self,
        ingress: usize,
        class: usize,
        plan: usize,
        customer: u64,
    ) -> u64 {
        self.request_with_time_left(ingress, class, plan, customer, ms(1500))
    }

    pub(crate) fn request_with_time_left(
        &mut self,
        ingress: usize,
        class: usize,
        plan: usize,
        customer: u64,
        time_left: Duration,
    ) -> u64 {
        self.request_with_units(ingress, class, plan, customer, 1.0, time_left)
    }

    pub(crate) fn request_with_units(
        &mut self,
        ingress: usize,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
        time_left: Duration,
    ) -> u64 {
        self.next_id += 1;
        let id = self.next_id;
        let customer = customer + 1000 * plan as u64;
        let record = RequestRecord {
            class,
            customer,
            units,
            plan,
            deadline: self.now + time_left,
            attempts: Vec::new(),
            answer: None,
        };
        self.requests.insert((ingress, id), record);
        let incoming = IncomingRequest {
            service: ServiceId(0),
            request: RequestId(id),
            class,
            plan,
            customer: CustomerId(customer),
            units,
            ingress_count: self.dispatchers.len() as u32,
            time_left,
            is_retry: self.is_retry,
        };
        self.handle(ingress, Event::RequestReceived(incoming));
        id
    }

    pub(crate) fn answer_of(&self, ingress: usize, request: u64) -> Option<Answer> {
        self.requests[&(ingress, request)].answer
    }

    pub(crate) fn attempt_count(&self, ingress: usize, request: u64) -> usize {
        self.requests[&(ingress, request)].attempts.len()
    }

    /// One request with a counter that replies; whether it was forwarded.
    pub(crate) fn is_forwarded(&mut self, ingress: usize, plan: usize, customer: u64) -> bool {
        let id = self.request(ingress, 0, plan, customer);
        self.end_all_calls(CallOutcome::Replied);
        let forwarded = self.attempt_count(ingress, id) > 0;
        if forwarded {
            self.advance(ms(2));
            self.end_attempt(ingress, id, 0, Outcome::Ok);
        }
        forwarded
    }
}
