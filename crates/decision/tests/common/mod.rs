//! Drives gateways through legal event orders and checks the five rules on every action.
#![allow(dead_code)]

use roseyard_decision::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: ms(500),
        objective_per_work: 0.0,
        deadline: ms(2000),
        priority_weight: 1.0,
        late_weight_ratio: 0.2,
        idempotency,
        streamed: false,
    }
}

pub(crate) fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        max_concurrent: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        priority_factor: 1.0,
        over_quota_weight_ratio: 0.0,
        over_quota_cost: 1.0,
    }
}

pub(crate) fn ceiling_plan() -> Plan {
    Plan {
        ceiling_rate: 16.0,
        ceiling_burst: 32.0,
        ceiling_slack: 3.2,
        ..plan(10.0, 20.0)
    }
}

/// Classes: 0 safe, 1 keyed in a cell, 2 unsafe, 3 keyed everywhere. Plans: 0 plain, 1 with a
/// ceiling, 2 open.
pub(crate) fn settings(ingress_count: u32) -> Settings {
    let keyed = |group| {
        class(Idempotency::IdempotencyKey {
            group,
            window: ms(400),
        })
    };
    Settings {
        ingress_count,
        ingress_index: 0,
        zone: 0,
        tick: ms(1),
        classes: vec![
            class(Idempotency::Idempotent),
            keyed(DeduplicationScope::Cell),
            class(Idempotency::NonIdempotent),
            keyed(DeduplicationScope::All),
        ],
        plans: vec![
            plan(5.0, 10.0),
            ceiling_plan(),
            Plan {
                max_concurrent: 4,
                ..plan(0.0, 0.0)
            },
        ],
        counter: Some(CounterSettings { timeout: ms(60) }),
        load_reports_on_health_check: false,
        discovery: DiscoveryMode::Push,
        permissions: Permissions {
            max_attempts: 4,
            cancel: true,
            hedging: true,
            health_checks: false,
            retry_after: true,
            max_retry_after: ms(1000),
        },
        endpoint_limits: EndpointLimits {
            initial_capacity_ratio: 0.25,
            warm_up_duration: ms(10_000),
            overload_multiple: 2.0,
            overload_window: ms(2000),
            drain_grace: ms(500),
        },
    }
}

pub(crate) fn entry(id: u32, state: EndpointState, started_at: Option<Duration>) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(id),
        service: ServiceId(0),
        zone: 0,
        cell: (id % 2) as u16,
        state,
        weight: 1.0,
        rank: u64::from(id),
        started_at,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    Refused,
    Failed,
    Served,
    Gone,
}

pub(crate) struct Open {
    pub endpoint: u32,
    pub sent: Duration,
    pub closed: Option<Outcome>,
}

pub(crate) struct Track {
    pub class: usize,
    pub customer: u64,
    pub units: f64,
    pub plan: usize,
    pub deadline: Duration,
    pub attempts: Vec<Open>,
    pub answer: Option<Answer>,
}

pub(crate) struct PendingCount {
    pub dispatcher: usize,
    pub name: CounterKey,
    pub add: f64,
    pub lifetime: Duration,
    pub at: Duration,
}

/// Gateways, the numbers on a counter and what is out; every action is checked as it comes.
pub(crate) struct World {
    pub now: Duration,
    pub settings: Settings,
    pub ingress_count: Vec<Dispatcher>,
    pub requests: BTreeMap<(usize, u64), Track>,
    pub counts: Vec<PendingCount>,
    pub numbers: BTreeMap<u64, (f64, Duration)>,
    pub told_out: BTreeMap<(usize, u32), Duration>,
    pub known: BTreeSet<u32>,
    pub ceilings: BTreeMap<u64, (f64, Duration)>,
    pub lowest_ceiling: f64,
    /// Is a ceiling that was passed a failure at once, or just noted in `lowest_ceiling`?
    pub strict: bool,
    pub sends: Vec<(usize, u32, Duration)>,
    pub notices: Vec<Notice>,
    pub actions: Vec<(usize, Action)>,
    /// Are the requests that come clients' repeats?
    pub is_retry: bool,
    timers: BTreeMap<(Duration, u64), usize>,
    next: u64,
    seed: u64,
}

fn start(settings: &Settings, g: usize, seed: u64) -> Dispatcher {
    Dispatcher::new(
        Settings {
            ingress_index: g as u32,
            ..settings.clone()
        },
        seed,
    )
    .unwrap()
}

impl World {
    pub(crate) fn new(settings: Settings, ingress_count: usize, endpoints: u32) -> World {
        World::seeded(settings, ingress_count, endpoints, 0)
    }

    /// One whose gateways draw by this seed.
    pub(crate) fn seeded(
        settings: Settings,
        ingress_count: usize,
        endpoints: u32,
        seed: u64,
    ) -> World {
        let gates = (0..ingress_count)
            .map(|g| start(&settings, g, seed + g as u64))
            .collect();
        let mut w = World {
            now: ms(1000),
            settings,
            ingress_count: gates,
            requests: BTreeMap::new(),
            counts: Vec::new(),
            numbers: BTreeMap::new(),
            told_out: BTreeMap::new(),
            known: BTreeSet::new(),
            ceilings: BTreeMap::new(),
            lowest_ceiling: f64::MAX,
            strict: true,
            sends: Vec::new(),
            notices: Vec::new(),
            actions: Vec::new(),
            is_retry: false,
            timers: BTreeMap::new(),
            next: 1,
            seed,
        };
        let list: Vec<_> = (0..endpoints)
            .map(|s| entry(s, EndpointState::Ready, None))
            .collect();
        w.tell_all(&EndpointListUpdate::Full(list));
        w
    }

    /// A gateway is killed and starts again with no memory.
    pub(crate) fn restart(&mut self, g: usize, endpoints: u32) {
        self.ingress_count[g] = start(&self.settings, g, self.seed + 99 + g as u64);
        self.requests.retain(|(gate, _), _| *gate != g);
        self.counts.retain(|c| c.dispatcher != g);
        self.timers.retain(|_, gate| *gate != g);
        self.told_out.retain(|(gate, _), _| *gate != g);
        let list = (0..endpoints)
            .map(|s| entry(s, EndpointState::Ready, None))
            .collect();
        self.tell(
            g,
            Event::EndpointListChanged(EndpointListUpdate::Full(list)),
        );
    }

    /// All gateways hear of the list.
    pub(crate) fn tell_all(&mut self, update: &EndpointListUpdate) {
        for g in 0..self.ingress_count.len() {
            self.tell(g, Event::EndpointListChanged(update.clone()));
        }
    }

    pub(crate) fn tell(&mut self, g: usize, event: Event) {
        if let Event::EndpointListChanged(
            EndpointListUpdate::Changes(e) | EndpointListUpdate::Full(e),
        ) = &event
        {
            for e in e {
                self.known.insert(e.endpoint.0);
                match e.state {
                    EndpointState::Ready => self.told_out.remove(&(g, e.endpoint.0)),
                    _ => self.told_out.insert((g, e.endpoint.0), self.now),
                };
            }
        }
        let mut out = Vec::new();
        self.ingress_count[g].handle(self.now, event, &mut out);
        for action in out {
            self.check(g, &action);
            self.actions.push((g, action));
        }
    }

    fn check(&mut self, g: usize, action: &Action) {
        match action {
            Action::Forward {
                request,
                endpoint,
                deadline,
            } => self.check_send(g, request.0, endpoint.0, *deadline),
            Action::Reject { request, .. } => {
                let idempotency = self.requests[&(g, request.0)].class;
                let r = &self.requests[&(g, request.0)];
                let ran = r.attempts.iter().any(|a| !proves_unrun(a.closed));
                let may = match self.settings.classes[idempotency].idempotency {
                    Idempotency::Idempotent
                    | Idempotency::IdempotencyKey {
                        group: DeduplicationScope::All,
                        ..
                    } => true,
                    _ => !ran,
                };
                assert!(may, "rule 2: refused although an attempt may have run");
                self.answer(g, request.0, Answer::Refused);
            }
            Action::Fail { request } => self.answer(g, request.0, Answer::Failed),
            Action::Cancel { request, attempt } => {
                if let Some(r) = self.requests.get(&(g, request.0)) {
                    assert!(
                        usize::from(*attempt) < r.attempts.len(),
                        "cancelled an attempt never made"
                    );
                }
            }
            Action::IncrementCounter {
                key: name,
                amount: add,
                time_to_live: lifetime,
            } => {
                assert!(add.is_finite() && *add >= 0.0, "adds never go below zero");
                let (name, add, lifetime) = (*name, *add, *lifetime);
                self.counts.push(PendingCount {
                    dispatcher: g,
                    name,
                    add,
                    lifetime,
                    at: self.now,
                });
            }
            Action::SetTimer { after, .. } => {
                self.next += 1;
                self.timers
                    .insert((self.now + (*after).max(self.settings.tick), self.next), g);
            }
            Action::Log(notice) => self.notices.push(*notice),
            Action::CheckHealth { .. } => {
                assert!(
                    self.settings.permissions.health_checks,
                    "probed without permission"
                )
            }
            Action::Subscribe | Action::FetchEndpointList => {}
        }
    }

    fn check_send(&mut self, g: usize, request: u64, endpoint: u32, deadline: Duration) {
        assert!(
            self.known.contains(&endpoint),
            "sent to a server never listed"
        );
        let grace = self.settings.endpoint_limits.drain_grace;
        if let Some(told) = self.told_out.get(&(g, endpoint)) {
            assert!(
                self.now <= *told + grace,
                "rule 3: sent to a server told draining or gone"
            );
        }
        let now = self.now;
        let r = self
            .requests
            .get_mut(&(g, request))
            .expect("sent an unknown request");
        assert!(r.answer.is_none(), "rule 1: sent after the final answer");
        assert!(deadline <= r.deadline, "an attempt outlives its request");
        if !self.settings.permissions.hedging {
            assert!(
                r.attempts.iter().all(|a| a.closed.is_some()),
                "two attempts out at once"
            );
        }
        if let Some(first) = r.attempts.iter().find(|a| !proves_unrun(a.closed)) {
            match self.settings.classes[r.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("rule 2: an unsafe request repeated"),
                Idempotency::IdempotencyKey { group, window } => {
                    let same =
                        group == DeduplicationScope::All || first.endpoint % 2 == endpoint % 2;
                    assert!(
                        same && now <= first.sent + window,
                        "rule 2: a keyed repeat outside its group"
                    );
                }
            }
        }
        let first = r.attempts.is_empty();
        r.attempts.push(Open {
            endpoint,
            sent: now,
            closed: None,
        });
        let (customer, units, plan) = (r.customer, r.units, &self.settings.plans[r.plan]);
        if first && plan.ceiling_rate > 0.0 {
            let (level, at) = self
                .ceilings
                .get(&customer)
                .copied()
                .unwrap_or((plan.ceiling_burst, now));
            let refill = (now - at).as_secs_f64() * plan.ceiling_rate;
            let level = (level + refill).min(plan.ceiling_burst) - units;
            self.ceilings.insert(customer, (level, now));
            self.lowest_ceiling = self.lowest_ceiling.min(level);
            let held = level >= -plan.ceiling_slack - 1e-6;
            assert!(held || !self.strict, "rule 5: ceiling passed");
        }
        self.sends.push((g, endpoint, now));
    }

    pub(crate) fn answer(&mut self, g: usize, request: u64, answer: Answer) {
        let r = self
            .requests
            .get_mut(&(g, request))
            .expect("answered an unknown request");
        assert!(r.answer.is_none(), "rule 1: answered twice");
        assert!(
            self.now <= r.deadline,
            "rule 1: answered after the client gave up"
        );
        r.answer = Some(answer);
    }

    pub(crate) fn request(&mut self, g: usize, class: usize, plan: usize, customer: u64) -> u64 {
        self.request_for(g, class, plan, customer, ms(1500))
    }

    pub(crate) fn request_for(
        &mut self,
        g: usize,
        class: usize,
        plan: usize,
        customer: u64,
        left: Duration,
    ) -> u64 {
        self.request_of(g, class, plan, customer, 1.0, left)
    }

    /// One of so many units.
    pub(crate) fn request_of(
        &mut self,
        g: usize,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
        left: Duration,
    ) -> u64 {
        self.next += 1;
        let (id, customer_id) = (self.next, customer + 1000 * plan as u64);
        let track = Track {
            class,
            customer: customer_id,
            units,
            plan,
            deadline: self.now + left,
            attempts: Vec::new(),
            answer: None,
        };
        self.requests.insert((g, id), track);
        let event = IncomingRequest {
            service: ServiceId(0),
            request: RequestId(id),
            class,
            plan,
            customer: CustomerId(customer_id),
            units,
            ingress_count: self.ingress_count.len() as u32,
            time_left: left,
            is_retry: self.is_retry,
        };
        self.tell(g, Event::RequestReceived(event));
        id
    }

    /// Ends the n-th counter call that is out, in the order of the calls to its name.
    pub(crate) fn count(&mut self, index: usize, mode: CountMode) {
        if self.counts.is_empty() {
            return;
        }
        let chosen = &self.counts[index % self.counts.len()];
        let (g, name) = (chosen.dispatcher, chosen.name);
        let first = self
            .counts
            .iter()
            .position(|c| c.dispatcher == g && c.name == name)
            .unwrap();
        let call = self.counts.remove(first);
        let number = self
            .numbers
            .entry(name.0)
            .or_insert((0.0, self.now + call.lifetime));
        if self.now >= number.1 {
            *number = (0.0, self.now + call.lifetime);
        }
        if matches!(mode, CountMode::Answered | CountMode::LostAfter) {
            number.0 += call.add;
        }
        let result = match mode {
            CountMode::Answered => CounterResult::Total(number.0),
            CountMode::LostBefore | CountMode::LostAfter => CounterResult::Unknown,
            CountMode::Refused => CounterResult::NotAdded,
        };
        self.tell(
            g,
            Event::CounterReply {
                key: name,
                result,
                elapsed: self.now - call.at,
            },
        );
    }

    pub(crate) fn count_all(&mut self, mode: CountMode) {
        while !self.counts.is_empty() {
            self.count(0, mode);
        }
    }

    /// Ends the n-th attempt that is out.
    pub(crate) fn end(&mut self, index: usize, outcome: Outcome) {
        self.end_some(index, outcome, None);
    }

    /// The same, with true units told where it is served.
    pub(crate) fn end_some(&mut self, index: usize, outcome: Outcome, units: Option<f64>) {
        let open: Vec<_> = self
            .requests
            .iter()
            .flat_map(|(k, r)| r.attempts.iter().enumerate().map(move |(n, a)| (*k, n, a)))
            .filter(|(_, _, a)| a.closed.is_none())
            .map(|(k, n, _)| (k, n))
            .collect();
        if !open.is_empty() {
            let (key, n) = open[index % open.len()];
            self.end_telling(
                key.0,
                key.1,
                n,
                outcome,
                units.filter(|_| outcome == Outcome::Ok),
            );
        }
    }

    pub(crate) fn end_attempt(&mut self, g: usize, request: u64, n: usize, outcome: Outcome) {
        self.end_telling(g, request, n, outcome, None);
    }

    /// Ends an attempt whose answer tells true units.
    pub(crate) fn end_telling(
        &mut self,
        g: usize,
        request: u64,
        n: usize,
        outcome: Outcome,
        units: Option<f64>,
    ) {
        let now = self.now;
        let r = self.requests.get_mut(&(g, request)).unwrap();
        r.attempts[n].closed = Some(outcome);
        let (endpoint, elapsed) = (r.attempts[n].endpoint, now - r.attempts[n].sent);
        if outcome == Outcome::Ok && r.answer.is_none() {
            r.answer = Some(Answer::Served);
        }
        let end = AttemptEnd {
            request: RequestId(request),
            attempt: n as u16,
            endpoint: EndpointId(endpoint),
            outcome,
            elapsed,
            finished: r.answer.is_some(),
            true_units: units,
            load: None,
        };
        self.tell(g, Event::AttemptEnded(end));
    }

    pub(crate) fn client_gone(&mut self, index: usize) {
        let open: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, r)| r.answer.is_none())
            .map(|(k, _)| *k)
            .collect();
        if !open.is_empty() {
            let key = open[index % open.len()];
            self.requests.get_mut(&key).unwrap().answer = Some(Answer::Gone);
            self.tell(key.0, Event::ClientDisconnected(RequestId(key.1)));
        }
    }

    pub(crate) fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while let Some((&(at, seq), &g)) =
            self.timers.first_key_value().filter(|(k, _)| k.0 <= until)
        {
            self.timers.remove(&(at, seq));
            self.now = self.now.max(at);
            self.tell(g, Event::TimerExpired(TimerTag(0)));
        }
        self.now = until;
    }

    /// Runs past every deadline; every request must have its one answer by then.
    pub(crate) fn finish(&mut self) {
        self.advance(ms(5000));
        for ((g, id), r) in &self.requests {
            assert!(
                r.answer.is_some(),
                "rule 1: request {id} at gateway {g} has no answer"
            );
        }
    }

    pub(crate) fn answer_of(&self, g: usize, id: u64) -> Option<Answer> {
        self.requests[&(g, id)].answer
    }

    pub(crate) fn sent(&self, g: usize, id: u64) -> usize {
        self.requests[&(g, id)].attempts.len()
    }

    /// One request through an answering counter; was it sent on?
    pub(crate) fn passes(&mut self, g: usize, plan: usize, customer: u64) -> bool {
        let id = self.request(g, 0, plan, customer);
        self.count_all(CountMode::Answered);
        let sent = self.sent(g, id) > 0;
        if sent {
            self.advance(ms(2));
            self.end_attempt(g, id, 0, Outcome::Ok);
        }
        sent
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum CountMode {
    Answered,
    LostBefore,
    LostAfter,
    Refused,
}

fn proves_unrun(o: Option<Outcome>) -> bool {
    matches!(
        o,
        Some(Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotStarted)
    )
}
