//! The engine under random sequences and all short sequences of events. Its outputs are checked
//! against a reference that records for each request what was forwarded where, what may have been
//! executed, and what was answered.

mod common;

use common::{ms, settings, WINDOW};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseyard_decision::*;
use roseyard_request_engine::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Seed of the random sequences; the runner prints it with every failure.
const SEED: u64 = 20_261_201;
const START: Duration = Duration::from_secs(86_400);
const IDEMPOTENT: usize = 0;
const WITH_IDEMPOTENCY_KEY: usize = 1;
const NON_IDEMPOTENT: usize = 2;

/// What the reference records of a request.
#[derive(Default)]
struct ReferenceRequest {
    class: usize,
    is_cancelled: bool,
    responses: usize,
    attempts: u16,
    in_flight: Option<(u16, EndpointId)>,
    /// Cell of the first attempt that may have been executed, and when that was forwarded.
    executed: Option<(u16, Duration)>,
    forwarded_at: Duration,
}

struct Harness {
    engine: RequestEngine<u64, u64, u64>,
    now: Duration,
    references: BTreeMap<u64, ReferenceRequest>,
    keys: BTreeMap<u64, Key>,
    calls: Vec<(CounterKey, f64)>,
    health_checks: Vec<EndpointId>,
    totals: BTreeMap<u64, f64>,
    revision: u64,
    states: BTreeMap<u16, EndpointRecordState>,
}

impl Harness {
    fn new(endpoints: u16) -> Harness {
        let engine = RequestEngine::new(
            settings(),
            7,
            EngineLimits {
                requests: 40,
                bytes: 1000,
            },
        )
        .unwrap();
        let mut harness = Harness {
            engine,
            now: START,
            references: BTreeMap::new(),
            keys: BTreeMap::new(),
            calls: Vec::new(),
            health_checks: Vec::new(),
            totals: BTreeMap::new(),
            revision: 0,
            states: (0..endpoints)
                .map(|n| (n, EndpointRecordState::Serving))
                .collect(),
        };
        harness.apply_list();
        harness
    }

    fn apply_list(&mut self) {
        self.revision += 1;
        let endpoints = self.states.iter().map(|(n, state)| EndpointRecord {
            uid: format!("s-{n}"),
            address: format!("127.0.0.1:{}", 7000 + n),
            zone: String::new(),
            cell: n / 2,
            state: *state,
            weight: 1.0,
            started_at_unix_ms: 0.0,
        });
        let list = EndpointListMessage {
            revision: self.revision,
            is_full: true,
            endpoints: endpoints.collect(),
            unreadable: 0,
        };
        self.engine.apply_endpoint_list(&list, &[], |_| None);
        self.carry_out_outputs();
    }

    fn cell(endpoint: EndpointId) -> u16 {
        // Ids follow the order of the list, from 1; a cell has two endpoints.
        (endpoint.0 as u16 - 1) / 2
    }

    fn submit(&mut self, class: usize) {
        let id = self.references.len() as u64;
        let submission = Submission {
            service: ServiceId(0),
            owner: id,
            class,
            plan: 0,
            customer: CustomerId(id % 3),
            units: 1.0,
            ingress_count: 2,
            time_left: ms(2000),
            is_retry: false,
            command: id,
            bytes: 20,
        };
        let open = self.engine.open();
        match self.engine.submit(submission) {
            Ok(key) => {
                self.keys.insert(id, key);
                self.references.insert(
                    id,
                    ReferenceRequest {
                        class,
                        ..ReferenceRequest::default()
                    },
                );
            }
            Err(AtCapacity) => assert!(open >= 40, "rejected at {open}"),
        }
        self.carry_out_outputs();
    }

    fn cancel(&mut self, id: u64) {
        let reference = self.references.get_mut(&id).unwrap();
        reference.is_cancelled |= reference.responses == 0;
        self.engine.cancel_request(self.keys[&id]);
        self.carry_out_outputs();
    }

    fn end_attempt(&mut self, id: u64, outcome: Outcome) {
        let key = self.keys[&id];
        let reference = self.references.get_mut(&id).unwrap();
        let Some((attempt, endpoint)) = reference.in_flight.take() else {
            return;
        };
        let not_executed = matches!(
            outcome,
            Outcome::ConnectFailed | Outcome::Overloaded | Outcome::NotStarted
        );
        if !not_executed && reference.executed.is_none() {
            reference.executed = Some((Harness::cell(endpoint), reference.forwarded_at));
        }
        let value = (outcome == Outcome::Ok).then_some(id);
        self.engine.on_attempt_ended(
            key,
            attempt,
            AttemptResult {
                outcome,
                value,
                true_units: None,
                load: None,
            },
            self.now,
        );
        // The same end again, and that of another attempt, are ignored.
        self.engine.on_attempt_ended(
            key,
            attempt,
            AttemptResult {
                outcome: Outcome::Ok,
                value: Some(99),
                true_units: None,
                load: None,
            },
            self.now,
        );
        self.engine.on_attempt_ended(
            key,
            attempt + 1,
            AttemptResult::of(Outcome::Overloaded),
            self.now,
        );
        self.carry_out_outputs();
    }

    fn reply_from_counter(&mut self, kind: u8) {
        if self.calls.is_empty() {
            return;
        }
        let (key, amount) = self.calls.remove(0);
        let result = match kind {
            0 => CounterResult::NotAdded,
            1 => CounterResult::Unknown,
            _ => CounterResult::Total({
                let total = self.totals.entry(key.0).or_default();
                *total += amount;
                *total
            }),
        };
        self.engine.on_counter_reply(key, result, ms(1));
        self.carry_out_outputs();
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        while self.engine.due().is_some_and(|due| due <= self.now) {
            self.engine.on_due();
            self.carry_out_outputs();
        }
    }

    /// Carries out all outputs, and checks them against the reference.
    fn carry_out_outputs(&mut self) {
        while let Some(output) = self.engine.poll(self.now) {
            match output {
                Output::Forward {
                    request,
                    attempt,
                    endpoint,
                    deadline,
                } => {
                    let id = *self.engine.command(request).unwrap();
                    let reference = self.references.get_mut(&id).unwrap();
                    assert!(
                        reference.in_flight.is_none(),
                        "a second attempt while one is in flight"
                    );
                    assert!(
                        reference.responses == 0 && !reference.is_cancelled,
                        "an attempt for a finished request"
                    );
                    assert_eq!(attempt, reference.attempts);
                    assert!(attempt < 4 && deadline > self.now);
                    if let Some((cell, since)) = reference.executed {
                        match reference.class {
                            IDEMPOTENT => {}
                            WITH_IDEMPOTENCY_KEY => assert!(
                                Harness::cell(endpoint) == cell && self.now - since <= WINDOW,
                                "a retry outside of the idempotency key's cell or window"
                            ),
                            _ => panic!(
                                "a non-idempotent request that may have been executed was retried"
                            ),
                        }
                    }
                    if !self.engine.may_write(request, attempt, deadline, self.now) {
                        self.engine.on_attempt_ended(
                            request,
                            attempt,
                            AttemptResult::of(Outcome::NotStarted),
                            self.now,
                        );
                        reference.attempts += 1;
                        continue;
                    }
                    assert_eq!(
                        self.states[&(endpoint.0 as u16 - 1)],
                        EndpointRecordState::Serving,
                        "written to a draining endpoint"
                    );
                    reference.attempts += 1;
                    reference.in_flight = Some((attempt, endpoint));
                    reference.forwarded_at = self.now;
                }
                Output::Cancel { request, attempt } => {
                    let Some(id) = self.engine.command(request).copied() else {
                        continue;
                    };
                    let reference = self.references.get_mut(&id).unwrap();
                    if reference.in_flight.is_some_and(|(n, _)| n == attempt) {
                        let (_, endpoint) = reference.in_flight.take().unwrap();
                        reference.executed = reference
                            .executed
                            .or(Some((Harness::cell(endpoint), reference.forwarded_at)));
                        self.engine.on_attempt_ended(
                            request,
                            attempt,
                            AttemptResult::of(Outcome::Cancelled),
                            self.now,
                        );
                    }
                }
                Output::Respond { owner, response } => {
                    let reference = self.references.get_mut(&owner).unwrap();
                    reference.responses += 1;
                    assert!(
                        reference.responses == 1 && !reference.is_cancelled,
                        "more than one final response"
                    );
                    match response {
                        Response::Served(value) => assert_eq!(value, owner, "another's value"),
                        Response::Rejected(_) => assert!(
                            reference.class == IDEMPOTENT
                                || reference.executed.is_none() && reference.in_flight.is_none(),
                            "rejected though it may have been executed"
                        ),
                        Response::Failed => {}
                    }
                }
                Output::IncrementCounter { key, amount, .. } => self.calls.push((key, amount)),
                Output::CheckHealth { endpoint } => self.health_checks.push(endpoint),
                Output::FetchEndpointList | Output::Log(_) => {}
            }
        }
    }

    /// Stops, ends the attempts in flight, and counts the responses.
    fn stop(mut self) {
        self.engine.stop();
        self.carry_out_outputs();
        for (id, reference) in &self.references {
            assert_eq!(
                reference.responses,
                usize::from(!reference.is_cancelled),
                "final responses of request {id}"
            );
        }
        let in_flight: Vec<u64> = self
            .references
            .iter()
            .filter(|(_, reference)| reference.in_flight.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in in_flight {
            self.end_attempt(id, Outcome::Timeout);
        }
        assert_eq!(self.engine.open(), 0, "every request is removed");
        let before = self.references.len();
        self.submit_after_stop();
        assert_eq!(self.references.len(), before);
    }

    fn submit_after_stop(&mut self) {
        let submission = Submission {
            service: ServiceId(0),
            owner: 1 << 40,
            class: IDEMPOTENT,
            plan: 0,
            customer: CustomerId(1),
            units: 1.0,
            ingress_count: 2,
            time_left: ms(2000),
            is_retry: false,
            command: 0,
            bytes: 1,
        };
        assert_eq!(
            self.engine.submit(submission),
            Err(AtCapacity),
            "rejected after the stop"
        );
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit(usize),
    Cancel(usize),
    EndAttempt(usize, u8),
    CounterReply(u8),
    HealthCheck(bool),
    ChangeEndpoint(u16, u8),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0usize..3).prop_map(Step::Submit),
        1 => (0usize..64).prop_map(Step::Cancel),
        6 => (0usize..64, 0u8..7).prop_map(|(n, o)| Step::EndAttempt(n, o)),
        6 => (0u8..8).prop_map(Step::CounterReply),
        2 => any::<bool>().prop_map(Step::HealthCheck),
        1 => (0u16..6, 0u8..3).prop_map(|(n, s)| Step::ChangeEndpoint(n, s)),
        4 => (1u64..400).prop_map(Step::Advance),
    ]
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Ok,
];

impl Harness {
    fn run(&mut self, step: Step) {
        let in_flight: Vec<u64> = self
            .references
            .iter()
            .filter(|(_, reference)| reference.in_flight.is_some())
            .map(|(id, _)| *id)
            .collect();
        match step {
            Step::Submit(class) => self.submit(class),
            Step::Cancel(n) => {
                if let Some(id) = self.keys.keys().nth(n % self.keys.len().max(1)).copied() {
                    self.cancel(id);
                }
            }
            Step::EndAttempt(n, outcome) => {
                if let Some(id) = in_flight.get(n % in_flight.len().max(1)) {
                    self.end_attempt(*id, OUTCOMES[usize::from(outcome) % 7]);
                }
            }
            Step::CounterReply(kind) => self.reply_from_counter(kind),
            Step::HealthCheck(good) => {
                if let Some(endpoint) = self.health_checks.pop() {
                    let load = LoadReport {
                        utilisation: Some(0.3),
                        ..LoadReport::default()
                    };
                    let outcome = if good { Outcome::Ok } else { Outcome::Timeout };
                    self.engine.on_health_check_ended(
                        endpoint,
                        outcome,
                        Some(load).filter(|_| good),
                    );
                    self.carry_out_outputs();
                }
            }
            Step::ChangeEndpoint(n, state) => {
                // No endpoint is removed: a uid that comes back would get another id.
                let endpoint_state = self.states.get_mut(&n).unwrap();
                *endpoint_state = [
                    EndpointRecordState::Serving,
                    EndpointRecordState::Draining,
                    EndpointRecordState::Draining,
                ][usize::from(state)];
                self.apply_list();
            }
            Step::Advance(time) => self.advance(ms(time)),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    #[test]
    fn each_request_gets_one_response_and_is_retried_only_as_its_class_allows(
        steps in prop::collection::vec(step(), 1..160),
    ) {
        let mut harness = Harness::new(6);
        for step in steps {
            harness.run(step);
        }
        harness.stop();
    }
}

/// Every sequence of five events for one request of each class, with four endpoints in two cells.
#[test]
fn every_short_sequence_keeps_the_rules() {
    let choices = [
        Step::EndAttempt(0, 0),
        Step::EndAttempt(0, 2),
        Step::EndAttempt(0, 3),
        Step::EndAttempt(0, 4),
        Step::Cancel(0),
        Step::CounterReply(1),
        Step::CounterReply(7),
        Step::ChangeEndpoint(0, 1),
        Step::Advance(300),
    ];
    let mut sequences = 0u64;
    for class in [IDEMPOTENT, WITH_IDEMPOTENCY_KEY, NON_IDEMPOTENT] {
        for sequence in 0..choices.len().pow(5) {
            let mut harness = Harness::new(4);
            harness.submit(class);
            let mut remaining = sequence;
            for _ in 0..5 {
                harness.run(choices[remaining % choices.len()]);
                remaining /= choices.len();
            }
            harness.stop();
            sequences += 1;
        }
    }
    assert_eq!(sequences, 3 * 9u64.pow(5));
}
