//! Endpoints that are warming up get the sum of what all ingresses forward: it is compared with
//! what the settings allow an endpoint of that age.

mod common;
use common::*;
use roseyard_decision::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Endpoints of an ordinary run.
const ENDPOINTS: u32 = 40;
/// Endpoints of a run in which an ingress keeps a state for a part of them only.
const MORE_THAN_KNOWN_ENDPOINTS: u32 = 320;
/// The last fifth of them start warming up, ...
const WARMING_UP_DIVISOR: u32 = 5;
/// ... and a tenth, others, are started anew in the middle.
const RESTARTED_DIVISOR: u32 = 10;
/// Requests a second of all ingresses together, for each endpoint.
const REQUESTS_PER_SECOND_PER_ENDPOINT: f64 = 10.0;
/// Of what a warm endpoint bears, so much falls to each on the mean: all of it, which leaves the
/// least capacity.
const LOAD_RATIO: f64 = 1.0;
/// Mean latency of all responses.
const MEAN_LATENCY_SECONDS: f64 = 0.1;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 9000;
/// Ingresses are started anew then, ...
const INGRESSES_RESTART_MS: u64 = 2500;
/// ... endpoints then, ...
const ENDPOINTS_RESTART_MS: u64 = 4000;
/// ... and the traffic is half as much again between these times.
const BURST_MS: std::ops::Range<u64> = 5000..7000;

/// One run of a tier; what each endpoint got, and when each started.
struct Run {
    endpoints: u32,
    sim: Simulation,
    rng: fastrand::Rng,
    started: BTreeMap<u32, Duration>,
    /// Attempts that are in flight, by when they end.
    in_flight: BTreeSet<(Duration, AttemptId)>,
    /// Forwards that have been seen.
    seen_forwards: usize,
    /// The ingresses' parts of the traffic, summed up.
    parts: Vec<f64>,
}

impl Run {
    fn new(classes: Vec<RequestClass>, ingress_count: usize, endpoints: u32, seed: u64) -> Run {
        let settings = Settings {
            endpoint_limits: EndpointLimits {
                overload_multiple: 3.0,
                initial_capacity_ratio: 0.15,
                ..settings(1).endpoint_limits
            },
            classes,
            ..settings(ingress_count as u32)
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        // Some see several times the mean.
        let mut sum = 0.0;
        let parts = (0..ingress_count)
            .map(|ingress| {
                sum += if ingress % 5 == 0 {
                    4.0
                } else {
                    0.3 + rng.f64()
                };
                sum
            })
            .collect();
        let sim = Simulation::seeded(settings, ingress_count, 0, 1000 * seed);
        let started = (endpoints - endpoints / WARMING_UP_DIVISOR..endpoints)
            .map(|s| (s, sim.now))
            .collect();
        let mut run = Run {
            endpoints,
            sim,
            rng,
            started,
            in_flight: BTreeSet::new(),
            seen_forwards: 0,
            parts,
        };
        let list = run.list();
        run.sim
            .update_all_endpoint_lists(&EndpointListUpdate::Full(list));
        run
    }

    fn list(&self) -> Vec<EndpointEntry> {
        (0..self.endpoints)
            .map(|s| entry(s, EndpointState::Ready, self.started.get(&s).copied()))
            .collect()
    }

    /// A request comes at one of the ingresses, by their parts of the traffic.
    fn request(&mut self, customer: u64) {
        let at = self.rng.f64() * self.parts.last().unwrap();
        let ingress = self.parts.partition_point(|sum| *sum < at);
        self.sim.request(ingress, 0, 2, customer);
        self.sim.end_all_calls(CallOutcome::Replied);
    }

    /// New forwards get a latency of their own.
    fn start_new_attempts(&mut self) {
        let new: Vec<_> = self.sim.forwards[self.seen_forwards..].to_vec();
        self.seen_forwards = self.sim.forwards.len();
        if new.is_empty() {
            return;
        }
        let known: BTreeSet<_> = self.in_flight.iter().map(|(_, attempt)| *attempt).collect();
        let is_unanswered = |attempt: &AttemptId| {
            let answer = self.sim.answer_of(attempt.ingress, attempt.request);
            answer.is_none()
        };
        let mut open = self.sim.attempts_in_flight();
        open.retain(|attempt| is_unanswered(attempt) && !known.contains(attempt));
        for attempt in open {
            let latency = -MEAN_LATENCY_SECONDS * (1.0 - self.rng.f64()).ln();
            let ends_at = self.sim.now + Duration::from_secs_f64(latency.min(1.0));
            self.in_flight.insert((ends_at, attempt));
        }
    }

    fn end_due(&mut self) {
        while let Some((ends_at, attempt)) = self.in_flight.first().copied() {
            if ends_at > self.sim.now {
                break;
            }
            self.in_flight.remove(&(ends_at, attempt));
            let key = (attempt.ingress, attempt.request);
            let record = self.sim.requests.get(&key);
            let state = record.and_then(|record| record.attempts.get(attempt.number));
            if state.is_some_and(|state| state.outcome.is_none()) {
                let AttemptId {
                    ingress,
                    request,
                    number,
                } = attempt;
                self.sim.end_attempt(ingress, request, number, Outcome::Ok);
            }
        }
    }

    /// A fifth of the ingresses are started anew, with no memory; the busiest is among them.
    fn restart_ingresses(&mut self) {
        for ingress in (0..self.sim.dispatchers.len()).step_by(5) {
            self.sim.restart(ingress, 0);
            self.in_flight
                .retain(|(_, attempt)| attempt.ingress != ingress);
            let list = self.list();
            self.sim.handle(
                ingress,
                Event::EndpointListChanged(EndpointListUpdate::Full(list)),
            );
        }
    }

    fn restart_endpoints(&mut self) {
        let (now, restarted) = (self.sim.now, self.endpoints / RESTARTED_DIVISOR);
        self.started.extend((0..restarted).map(|s| (s, now)));
        let changed = self
            .list()
            .into_iter()
            .filter(|e| e.endpoint.0 < restarted)
            .collect();
        self.sim
            .update_all_endpoint_lists(&EndpointListUpdate::Changes(changed));
    }

    fn run(&mut self) {
        let begun = self.sim.now;
        let (mut due, mut customer) = (0.0, 0);
        for step in 0..RUN_MS / STEP_MS {
            let at = step * STEP_MS;
            if at == INGRESSES_RESTART_MS {
                self.restart_ingresses();
            }
            if at == ENDPOINTS_RESTART_MS {
                self.restart_endpoints();
            }
            let rate = f64::from(self.endpoints) * REQUESTS_PER_SECOND_PER_ENDPOINT;
            let rate = if BURST_MS.contains(&at) {
                1.5 * rate
            } else {
                rate
            };
            due += rate * STEP_MS as f64 / 1000.0 * 2.0 * self.rng.f64();
            while due >= 1.0 {
                due -= 1.0;
                customer += 1;
                self.request(customer);
            }
            self.start_new_attempts();
            self.sim.advance(ms(STEP_MS));
            self.start_new_attempts();
            self.end_due();
            self.sim.requests.retain(|_, r| r.answer.is_none());
        }
        assert_eq!(self.sim.now, begun + ms(RUN_MS));
    }

    /// Forwards to endpoints that were warming up then.
    fn forwards_to_warming_up(&self) -> usize {
        let to_warming_up = |forward: &&Forward| {
            self.started
                .get(&forward.endpoint)
                .is_some_and(|started| *started <= forward.at)
        };
        self.sim.forwards.iter().filter(to_warming_up).count()
    }

    /// What the settings allow an endpoint of this age within the window.
    fn allowed(&self, age: Duration) -> f64 {
        let rules = &self.sim.settings.endpoint_limits;
        let capacity = REQUESTS_PER_SECOND_PER_ENDPOINT / LOAD_RATIO;
        let warmed = (age.as_secs_f64() / rules.warm_up_duration.as_secs_f64()).min(1.0);
        let warmth = rules.initial_capacity_ratio + (1.0 - rules.initial_capacity_ratio) * warmed;
        rules.overload_multiple * warmth * capacity * rules.overload_window.as_secs_f64()
    }

    /// Of all windows of endpoints warming up, each beginning with a forward and compared with the
    /// warm-up ratio of its beginning, the one that is furthest beyond what chance may add.
    fn worst(&self) -> WindowLoad {
        let rules = &self.sim.settings.endpoint_limits;
        let mut worst: Option<WindowLoad> = None;
        for (endpoint, started) in &self.started {
            let to_it = self
                .sim
                .forwards
                .iter()
                .filter(|forward| forward.endpoint == *endpoint && forward.at >= *started);
            let forwards: Vec<Duration> = to_it.map(|forward| forward.at).collect();
            for (n, from) in forwards.iter().enumerate() {
                let within = forwards[n..]
                    .iter()
                    .take_while(|at| **at < *from + rules.overload_window);
                let window = WindowLoad {
                    forwards: within.count() as f64,
                    allowed: self.allowed(*from - *started),
                };
                if worst.is_none_or(|sim| {
                    window.forwards - window.allowed_with_chance()
                        > sim.forwards - sim.allowed_with_chance()
                }) {
                    worst = Some(window);
                }
            }
        }
        worst.expect("an endpoint warming up got something")
    }
}

/// What an endpoint warming up got within the window, and what the settings allowed it.
#[derive(Clone, Copy, Debug)]
struct WindowLoad {
    forwards: f64,
    allowed: f64,
}

impl WindowLoad {
    /// What is allowed, and what may be chance.
    fn allowed_with_chance(&self) -> f64 {
        self.allowed + 2.0 * self.allowed.sqrt() + 2.0
    }
}

/// Runs so many ingresses and endpoints, each by a seed of its own.
fn assert_slow_start_budget_held(
    ingress_count: usize,
    endpoints: u32,
    seeds: std::ops::RangeInclusive<u64>,
) {
    assert_slow_start_budget_held_with(settings(1).classes, ingress_count, endpoints, seeds);
}

fn assert_slow_start_budget_held_with(
    classes: Vec<RequestClass>,
    ingress_count: usize,
    endpoints: u32,
    seeds: std::ops::RangeInclusive<u64>,
) {
    for seed in seeds {
        let mut run = Run::new(classes.clone(), ingress_count, endpoints, seed);
        run.run();
        let window = run.worst();
        let what = format!("{ingress_count} ingresses, {endpoints} endpoints, seed {seed}");
        assert!(
            run.forwards_to_warming_up() > 100,
            "{what}: endpoints warming up carry their part"
        );
        assert!(
            window.forwards <= window.allowed_with_chance(),
            "{what}: {window:?}, {:.1} with chance",
            window.allowed_with_chance()
        );
    }
}

#[test]
fn what_20_ingresses_forward_to_an_endpoint_warming_up_stays_within_its_budget() {
    assert_slow_start_budget_held(20, ENDPOINTS, 1..=8);
}

#[test]
fn what_25_ingresses_forward_to_an_endpoint_warming_up_stays_within_its_budget() {
    assert_slow_start_budget_held(25, ENDPOINTS, 1..=8);
}

#[test]
fn what_30_ingresses_forward_to_an_endpoint_warming_up_stays_within_its_budget() {
    assert_slow_start_budget_held(30, ENDPOINTS, 1..=8);
}

#[test]
fn what_400_ingresses_forward_to_an_endpoint_warming_up_of_a_large_service_stays_within_its_budget()
{
    assert_slow_start_budget_held(400, MORE_THAN_KNOWN_ENDPOINTS, 1..=1);
}

/// Guards against: more than the budget, where no class is ranked below one that is never requested.
#[test]
fn what_20_ingresses_forward_of_the_only_class_stays_within_the_budget() {
    let mut classes = settings(1).classes;
    classes.truncate(1);
    assert_slow_start_budget_held_with(classes, 20, ENDPOINTS, 1..=8);
}
