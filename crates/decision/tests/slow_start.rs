//! Checks that the requests that all ingresses together forward to an endpoint that is warming up
//! do not exceed what the settings allow at its age.

mod common;
use common::*;
use roseyard_decision::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The number of endpoints in most runs.
const ENDPOINTS: u32 = 40;
/// A number of endpoints of which each ingress keeps state for only a part.
const LARGE_SERVICE_ENDPOINTS: u32 = 320;
/// One in this many endpoints starts with the run; these are the last ones.
const WARMING_UP_DIVISOR: u32 = 5;
/// One in this many endpoints restarts during the run; these are the first ones.
const RESTARTED_DIVISOR: u32 = 10;
/// The request rate over all ingresses, per endpoint.
const REQUESTS_PER_SECOND_PER_ENDPOINT: f64 = 10.0;
/// The mean load of an endpoint, relative to the capacity of a warm one. At 1, no capacity is left
/// unused.
const LOAD_RATIO: f64 = 1.0;
/// The mean of the exponentially distributed latencies.
const MEAN_LATENCY_SECONDS: f64 = 0.1;
/// The time by which each step of a run advances the clock.
const STEP_MS: u64 = 10;
/// The length of a run.
const RUN_MS: u64 = 9000;
/// The time in a run at which some ingresses restart.
const INGRESS_RESTART_AT_MS: u64 = 2500;
/// The time in a run at which some endpoints restart.
const ENDPOINT_RESTART_AT_MS: u64 = 4000;
/// The times in a run between which the request rate is 1.5 times as high.
const TRAFFIC_BURST_MS: std::ops::Range<u64> = 5000..7000;

/// One run of the simulation.
struct Run {
    endpoints: u32,
    sim: Simulation,
    rng: fastrand::Rng,
    /// When endpoints that are or were warming up started.
    started_at: BTreeMap<u32, Duration>,
    /// The attempts in flight, by the time at which they end.
    in_flight: BTreeSet<(Duration, AttemptId)>,
    /// The number of forwards that `schedule_new_attempts` has processed.
    processed_forwards: usize,
    /// The cumulative sums of the relative traffic of the ingresses.
    cumulative_traffic: Vec<f64>,
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
        // Every fifth ingress gets about five times the traffic of each of the others.
        let mut sum = 0.0;
        let cumulative_traffic = (0..ingress_count)
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
        let started_at = (endpoints - endpoints / WARMING_UP_DIVISOR..endpoints)
            .map(|id| (id, sim.now))
            .collect();
        let mut run = Run {
            endpoints,
            sim,
            rng,
            started_at,
            in_flight: BTreeSet::new(),
            processed_forwards: 0,
            cumulative_traffic,
        };
        let list = run.entries();
        run.sim
            .update_all_endpoint_lists(&EndpointListUpdate::Full(list));
        run
    }

    /// Returns the entries of the complete endpoint list.
    fn entries(&self) -> Vec<EndpointEntry> {
        (0..self.endpoints)
            .map(|id| entry(id, EndpointState::Ready, self.started_at.get(&id).copied()))
            .collect()
    }

    /// Sends a request to a random ingress, chosen in proportion to its traffic.
    fn send_request(&mut self, customer: u64) {
        let at = self.rng.f64() * self.cumulative_traffic.last().unwrap();
        let ingress = self.cumulative_traffic.partition_point(|sum| *sum < at);
        self.sim.request(ingress, 0, 2, customer);
        self.sim.end_all_calls(CallOutcome::Replied);
    }

    /// Draws a latency for each attempt that has been forwarded since the last call.
    fn schedule_new_attempts(&mut self) {
        let new_forwards: Vec<_> = self.sim.forwards[self.processed_forwards..].to_vec();
        self.processed_forwards = self.sim.forwards.len();
        if new_forwards.is_empty() {
            return;
        }
        let scheduled: BTreeSet<_> = self.in_flight.iter().map(|(_, attempt)| *attempt).collect();
        let is_unanswered = |attempt: &AttemptId| {
            let answer = self.sim.answer_of(attempt.ingress, attempt.request);
            answer.is_none()
        };
        let mut unscheduled = self.sim.attempts_in_flight();
        unscheduled.retain(|attempt| is_unanswered(attempt) && !scheduled.contains(attempt));
        for attempt in unscheduled {
            let latency = -MEAN_LATENCY_SECONDS * (1.0 - self.rng.f64()).ln();
            let ends_at = self.sim.now + Duration::from_secs_f64(latency.min(1.0));
            self.in_flight.insert((ends_at, attempt));
        }
    }

    /// Ends the attempts whose latency has passed.
    fn end_due_attempts(&mut self) {
        while let Some((ends_at, attempt)) = self.in_flight.first().copied() {
            if ends_at > self.sim.now {
                break;
            }
            self.in_flight.remove(&(ends_at, attempt));
            let key = (attempt.ingress, attempt.request);
            let record = self.sim.requests.get(&key);
            let attempt_record = record.and_then(|record| record.attempts.get(attempt.number));
            if attempt_record.is_some_and(|state| state.outcome.is_none()) {
                let AttemptId {
                    ingress,
                    request,
                    number,
                } = attempt;
                self.sim.end_attempt(ingress, request, number, Outcome::Ok);
            }
        }
    }

    /// Restarts every fifth ingress without any state. These are the ones with the most traffic.
    fn restart_ingresses(&mut self) {
        for ingress in (0..self.sim.dispatchers.len()).step_by(5) {
            self.sim.restart(ingress, 0);
            self.in_flight
                .retain(|(_, attempt)| attempt.ingress != ingress);
            let list = self.entries();
            self.sim.handle(
                ingress,
                Event::EndpointListChanged(EndpointListUpdate::Full(list)),
            );
        }
    }

    /// Restarts the first endpoints, which are warm at that time.
    fn restart_endpoints(&mut self) {
        let (now, restarted) = (self.sim.now, self.endpoints / RESTARTED_DIVISOR);
        self.started_at.extend((0..restarted).map(|id| (id, now)));
        let changed = self
            .entries()
            .into_iter()
            .filter(|e| e.endpoint.0 < restarted)
            .collect();
        self.sim
            .update_all_endpoint_lists(&EndpointListUpdate::Changes(changed));
    }

    fn run(&mut self) {
        let run_started_at = self.sim.now;
        let (mut requests_due, mut customer) = (0.0, 0);
        for step in 0..RUN_MS / STEP_MS {
            let at = step * STEP_MS;
            if at == INGRESS_RESTART_AT_MS {
                self.restart_ingresses();
            }
            if at == ENDPOINT_RESTART_AT_MS {
                self.restart_endpoints();
            }
            let rate = f64::from(self.endpoints) * REQUESTS_PER_SECOND_PER_ENDPOINT;
            let rate = if TRAFFIC_BURST_MS.contains(&at) {
                1.5 * rate
            } else {
                rate
            };
            requests_due += rate * STEP_MS as f64 / 1000.0 * 2.0 * self.rng.f64();
            while requests_due >= 1.0 {
                requests_due -= 1.0;
                customer += 1;
                self.send_request(customer);
            }
            self.schedule_new_attempts();
            self.sim.advance(ms(STEP_MS));
            self.schedule_new_attempts();
            self.end_due_attempts();
            self.sim.requests.retain(|_, r| r.answer.is_none());
        }
        assert_eq!(self.sim.now, run_started_at + ms(RUN_MS));
    }

    /// Returns the number of forwards to endpoints that were warming up at that time.
    fn forwards_to_warming_up(&self) -> usize {
        let to_warming_up = |forward: &&Forward| {
            self.started_at
                .get(&forward.endpoint)
                .is_some_and(|started_at| *started_at <= forward.at)
        };
        self.sim.forwards.iter().filter(to_warming_up).count()
    }

    /// Returns how many forwards the settings allow to an endpoint of this age within the overload
    /// window.
    fn allowed_forwards(&self, age: Duration) -> f64 {
        let limits = &self.sim.settings.endpoint_limits;
        let capacity = REQUESTS_PER_SECOND_PER_ENDPOINT / LOAD_RATIO;
        let age_ratio = (age.as_secs_f64() / limits.warm_up_duration.as_secs_f64()).min(1.0);
        let capacity_ratio =
            limits.initial_capacity_ratio + (1.0 - limits.initial_capacity_ratio) * age_ratio;
        limits.overload_multiple * capacity_ratio * capacity * limits.overload_window.as_secs_f64()
    }

    /// Returns the window in which an endpoint warming up exceeded its allowed forwards, with the
    /// margin, by the most or came closest to them. A window starts at each forward; the endpoint's
    /// age at its start determines how many are allowed.
    fn worst_window(&self) -> WindowLoad {
        let limits = &self.sim.settings.endpoint_limits;
        let mut worst: Option<WindowLoad> = None;
        for (endpoint, started_at) in &self.started_at {
            let forwards_to_endpoint = self
                .sim
                .forwards
                .iter()
                .filter(|forward| forward.endpoint == *endpoint && forward.at >= *started_at);
            let forwards: Vec<Duration> = forwards_to_endpoint.map(|forward| forward.at).collect();
            for (n, from) in forwards.iter().enumerate() {
                let within = forwards[n..]
                    .iter()
                    .take_while(|at| **at < *from + limits.overload_window);
                let window = WindowLoad {
                    forwards: within.count() as f64,
                    allowed: self.allowed_forwards(*from - *started_at),
                };
                if worst.is_none_or(|previous| {
                    window.forwards - window.allowed_with_margin()
                        > previous.forwards - previous.allowed_with_margin()
                }) {
                    worst = Some(window);
                }
            }
        }
        worst.expect("requests were forwarded to endpoints warming up")
    }
}

/// The forwards to an endpoint warming up within an overload window, and how many were allowed.
#[derive(Clone, Copy, Debug)]
struct WindowLoad {
    forwards: f64,
    allowed: f64,
}

impl WindowLoad {
    /// Returns the allowed forwards plus a margin for random fluctuation: two standard deviations
    /// and two forwards.
    fn allowed_with_margin(&self) -> f64 {
        self.allowed + 2.0 * self.allowed.sqrt() + 2.0
    }
}

/// Runs the simulation with the classes of [`settings`], once for each seed, and asserts that no
/// endpoint warming up got more than its budget.
fn assert_slow_start_budget_held(
    ingress_count: usize,
    endpoints: u32,
    seeds: std::ops::RangeInclusive<u64>,
) {
    assert_slow_start_budget_held_with(settings(1).classes, ingress_count, endpoints, seeds);
}

/// Like [`assert_slow_start_budget_held`], with other classes.
fn assert_slow_start_budget_held_with(
    classes: Vec<RequestClass>,
    ingress_count: usize,
    endpoints: u32,
    seeds: std::ops::RangeInclusive<u64>,
) {
    for seed in seeds {
        let mut run = Run::new(classes.clone(), ingress_count, endpoints, seed);
        run.run();
        let window = run.worst_window();
        let run_name = format!("{ingress_count} ingresses, {endpoints} endpoints, seed {seed}");
        assert!(
            run.forwards_to_warming_up() > 100,
            "{run_name}: too few requests were forwarded to endpoints warming up"
        );
        assert!(
            window.forwards <= window.allowed_with_margin(),
            "{run_name}: {window:?}, at most {:.1} allowed with the margin",
            window.allowed_with_margin()
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
    assert_slow_start_budget_held(400, LARGE_SERVICE_ENDPOINTS, 1..=1);
}

/// Guards against exceeding the budget with a single class. With several, the class that is
/// requested may have a lower value, and thus a lower limit, than one that never gets a request.
#[test]
fn what_20_ingresses_forward_of_the_only_class_stays_within_the_budget() {
    let mut classes = settings(1).classes;
    classes.truncate(1);
    assert_slow_start_budget_held_with(classes, 20, ENDPOINTS, 1..=8);
}
