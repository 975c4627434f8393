//! Several ingresses that share endpoints and quotas, with their requests and their clock.

use super::counter::{CallOutcome, CounterEntry, PendingCall};
use super::fixtures::{entry, ms};
use roseyard_decision::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    Rejected,
    Failed,
    Served,
    /// The client disconnected before it got an answer.
    Disconnected,
}

/// An attempt and how it ended.
pub(crate) struct AttemptRecord {
    pub endpoint: u32,
    pub forwarded_at: Duration,
    /// `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

/// A request with its attempts and its answer.
pub(crate) struct RequestRecord {
    pub class: usize,
    pub customer: u64,
    pub units: f64,
    pub plan: usize,
    /// When the client stops waiting for an answer.
    pub deadline: Duration,
    pub attempts: Vec<AttemptRecord>,
    /// `None` while the request is open.
    pub answer: Option<Answer>,
}

/// Identifies an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub ingress: usize,
    pub request: u64,
    /// Number of the attempt within its request, from 0.
    pub number: usize,
}

/// Records that an ingress forwarded an attempt to an endpoint.
#[derive(Clone, Copy)]
pub(crate) struct Forward {
    pub ingress: usize,
    pub endpoint: u32,
    pub at: Duration,
}

/// Ingresses with their counter, requests and timers. Every action that an ingress returns is
/// checked at once.
pub(crate) struct Simulation {
    pub now: Duration,
    pub settings: Settings,
    pub dispatchers: Vec<Dispatcher>,
    /// The requests by ingress and request id.
    pub requests: BTreeMap<(usize, u64), RequestRecord>,
    pub pending_calls: Vec<PendingCall>,
    pub counter_totals: BTreeMap<u64, CounterEntry>,
    /// When each ingress learned that an endpoint is draining or removed.
    pub unready_since: BTreeMap<(usize, u32), Duration>,
    /// Endpoints that were in an endpoint list at any time.
    pub listed_endpoints: BTreeSet<u32>,
    /// The level of each customer's ceiling, in units, and the time at which it was computed. A
    /// level below zero uses the ceiling's slack.
    pub ceiling_levels: BTreeMap<u64, (f64, Duration)>,
    /// The lowest level of any ceiling so far.
    pub min_ceiling_level: f64,
    /// Whether the test fails as soon as a ceiling is exceeded. Otherwise the caller checks
    /// `min_ceiling_level`.
    pub assert_ceilings: bool,
    pub forwards: Vec<Forward>,
    pub notices: Vec<Notice>,
    pub actions: Vec<(usize, Action)>,
    /// Whether clients mark new requests as retries.
    pub is_retry: bool,
    /// The ingress of each timer, by the time at which it expires and a sequence number.
    timers: BTreeMap<(Duration, u64), usize>,
    next_id: u64,
    seed: u64,
}

fn new_dispatcher(settings: &Settings, ingress: usize, seed: u64) -> Dispatcher {
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

    /// Returns a simulation whose ingresses use consecutive seeds, starting with this one.
    pub(crate) fn seeded(
        settings: Settings,
        ingress_count: usize,
        endpoints: u32,
        seed: u64,
    ) -> Simulation {
        let dispatchers = (0..ingress_count)
            .map(|ingress| new_dispatcher(&settings, ingress, seed + ingress as u64))
            .collect();
        let mut sim = Simulation {
            now: ms(1000),
            settings,
            dispatchers,
            requests: BTreeMap::new(),
            pending_calls: Vec::new(),
            counter_totals: BTreeMap::new(),
            unready_since: BTreeMap::new(),
            listed_endpoints: BTreeSet::new(),
            ceiling_levels: BTreeMap::new(),
            min_ceiling_level: f64::MAX,
            assert_ceilings: true,
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

    /// Kills an ingress and starts it again without any state. It gets a list of this many
    /// endpoints.
    pub(crate) fn restart(&mut self, ingress: usize, endpoints: u32) {
        let seed = self.seed + 99 + ingress as u64;
        self.dispatchers[ingress] = new_dispatcher(&self.settings, ingress, seed);
        self.requests.retain(|(at, _), _| *at != ingress);
        self.pending_calls.retain(|call| call.ingress != ingress);
        self.timers.retain(|_, at| *at != ingress);
        self.unready_since.retain(|(at, _), _| *at != ingress);
        self.handle(ingress, Event::EndpointListChanged(full_list(endpoints)));
    }

    /// Reports an update of the endpoint list to all ingresses.
    pub(crate) fn update_all_endpoint_lists(&mut self, update: &EndpointListUpdate) {
        for ingress in 0..self.dispatchers.len() {
            self.handle(ingress, Event::EndpointListChanged(update.clone()));
        }
    }

    /// Reports an event to one ingress, then checks and records its actions.
    pub(crate) fn handle(&mut self, ingress: usize, event: Event) {
        if let Event::EndpointListChanged(
            EndpointListUpdate::Changes(entries) | EndpointListUpdate::Full(entries),
        ) = &event
        {
            for entry in entries {
                let endpoint = entry.endpoint.0;
                self.listed_endpoints.insert(endpoint);
                match entry.state {
                    EndpointState::Ready => self.unready_since.remove(&(ingress, endpoint)),
                    _ => self.unready_since.insert((ingress, endpoint), self.now),
                };
            }
        }
        let mut actions = Vec::new();
        self.dispatchers[ingress].handle(self.now, event, &mut actions);
        for action in actions {
            self.check_action(ingress, &action);
            self.actions.push((ingress, action));
        }
    }

    pub(super) fn set_timer(&mut self, ingress: usize, after: Duration) {
        self.next_id += 1;
        let at = self.now + after.max(self.settings.tick);
        self.timers.insert((at, self.next_id), ingress);
    }

    /// Advances the clock and reports each timer that expires in the meantime.
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

    /// Sends a request of one unit and returns its id.
    pub(crate) fn request(
        &mut self,
        ingress: usize,
        class: usize,
        plan: usize,
        customer: u64,
    ) -> u64 {
        self.request_with_time_left(ingress, class, plan, customer, ms(1500))
    }

    /// Sends a request of one unit whose client waits for `time_left`, and returns its id.
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

    /// Sends a request and returns its id. The customers of different plans are distinct.
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

    /// Sends a request while the counter replies, and serves it after 2 ms if it was forwarded.
    /// Returns whether it was.
    pub(crate) fn try_serve(&mut self, ingress: usize, plan: usize, customer: u64) -> bool {
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
