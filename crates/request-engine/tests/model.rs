//! Tests the engine with random event sequences and with all event sequences of a fixed length. The
//! outputs are checked against a reference model that records for each request the attempts,
//! whether one may have been executed, and the responses.

mod common;
#[path = "model/harness.rs"]
mod harness;

use common::ms;
use harness::{Harness, IDEMPOTENT, NON_IDEMPOTENT, WITH_IDEMPOTENCY_KEY};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseyard_decision::*;
use roseyard_request_engine::*;

/// The seed of the random sequences, which proptest prints with each failure.
const SEED: u64 = 20_261_201;
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
            Step::CounterReply(kind) => self.reply_to_increment(kind),
            Step::HealthCheck(is_healthy) => {
                if let Some(endpoint) = self.health_checks.pop() {
                    let load = LoadReport {
                        utilisation: Some(0.3),
                        ..LoadReport::default()
                    };
                    let outcome = if is_healthy {
                        Outcome::Ok
                    } else {
                        Outcome::Timeout
                    };
                    self.engine.on_health_check_ended(
                        endpoint,
                        outcome,
                        Some(load).filter(|_| is_healthy),
                    );
                    self.carry_out_outputs();
                }
            }
            Step::ChangeEndpoint(n, state) => {
                // No endpoint is removed, since a uid that is added again would get another id.
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

/// Runs all sequences of five events with one request of each class and four endpoints in two
/// cells.
#[test]
fn every_sequence_of_five_events_obeys_the_rules() {
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
