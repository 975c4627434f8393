//! Runs random sequences of events. `common::Simulation` checks every action against the rules.

mod common;
use common::*;
use proptest::prelude::*;
use roseyard_decision::*;

const INGRESSES: usize = 3;
/// The outcomes of counter calls, of which half get a reply.
const CALL_OUTCOMES: [CallOutcome; 6] = [
    CallOutcome::Replied,
    CallOutcome::Replied,
    CallOutcome::Replied,
    CallOutcome::LostBeforeAdding,
    CallOutcome::LostAfterAdding,
    CallOutcome::NotAdded,
];
/// The outcomes of attempts, of which three in ten are served.
const OUTCOMES: [Outcome; 10] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotStarted,
];
const ENDPOINT_STATES: [EndpointState; 3] = [
    EndpointState::Ready,
    EndpointState::Draining,
    EndpointState::Removed,
];

/// One step of a sequence. An `index` selects among the calls, attempts or requests that are open.
#[derive(Clone, Debug)]
enum Step {
    Request {
        ingress: usize,
        class: usize,
        plan: usize,
        customer: u64,
    },
    EndCall {
        index: usize,
        outcome: u8,
    },
    EndAttempt {
        index: usize,
        outcome: u8,
    },
    Advance(u64),
    ChangeEndpoint {
        ingress: usize,
        endpoint: u32,
        state: u8,
    },
    DisconnectClient(usize),
    Restart(usize),
    UnexpectedEvent {
        ingress: usize,
        kind: u8,
    },
}

/// Generates steps; the numbers before `=>` are relative frequencies.
fn step() -> impl Strategy<Value = Step> {
    let request = (0..INGRESSES, 0..4usize, 0..3usize, 0..3u64);
    prop_oneof![
        6 => request.prop_map(|(ingress, class, plan, customer)| Step::Request {
            ingress,
            class,
            plan,
            customer,
        }),
        6 => (0..50usize, 0..6u8).prop_map(|(index, outcome)| Step::EndCall { index, outcome }),
        5 => (0..50usize, 0..10u8).prop_map(|(index, outcome)| Step::EndAttempt { index, outcome }),
        5 => (1..400u64).prop_map(Step::Advance),
        1 => (0..INGRESSES, 0..6u32, 0..3u8).prop_map(|(ingress, endpoint, state)| {
            Step::ChangeEndpoint { ingress, endpoint, state }
        }),
        1 => (0..50usize).prop_map(Step::DisconnectClient),
        1 => (0..INGRESSES).prop_map(Step::Restart),
        1 => (0..INGRESSES, 0..6u8).prop_map(|(ingress, kind)| Step::UnexpectedEvent {
            ingress,
            kind,
        }),
    ]
}

/// Returns an event about an unknown request, endpoint or key, or with numbers that are not valid.
fn unexpected_event(kind: u8) -> Event {
    let nan = f64::NAN;
    match kind {
        0 => Event::AttemptEnded(AttemptEnd {
            request: RequestId(u64::MAX),
            attempt: 9,
            endpoint: EndpointId(77),
            outcome: Outcome::Ok,
            elapsed: ms(1),
            is_request_finished: true,
            true_units: Some(nan),
            load: Some(LoadReport {
                in_flight: Some(nan),
                queued: Some(-1.0),
                ..Default::default()
            }),
        }),
        1 => Event::ClientDisconnected(RequestId(u64::MAX)),
        2 => Event::CounterReply {
            key: CounterKey(5),
            result: CounterResult::Total(nan),
            elapsed: ms(1),
        },
        3 => Event::TimerExpired(TimerTag(12345)),
        4 => Event::HealthCheckEnded {
            service: ServiceId(0),
            endpoint: EndpointId(88),
            outcome: Outcome::Ok,
            load: None,
        },
        _ => Event::StreamStarted {
            request: RequestId(u64::MAX),
            attempt: 3,
        },
    }
}

/// Runs the steps. With `use_single_ceiling`, all requests are from one customer, whose plan has a
/// ceiling.
fn run(steps: &[Step], settings: Settings, use_single_ceiling: bool) -> Simulation {
    let mut sim = Simulation::new(settings, INGRESSES, 5);
    for step in steps {
        match *step {
            Step::Request {
                ingress,
                class,
                plan,
                customer,
            } => {
                let plan = if use_single_ceiling { 1 } else { plan };
                let customer = if use_single_ceiling { 0 } else { customer };
                sim.request(ingress, class, plan, customer);
            }
            Step::EndCall { index, outcome } => {
                sim.end_nth_call(index, CALL_OUTCOMES[usize::from(outcome)]);
            }
            Step::EndAttempt { index, outcome } => {
                sim.end_nth_attempt(index, OUTCOMES[usize::from(outcome)]);
            }
            Step::Advance(milliseconds) => sim.advance(ms(milliseconds)),
            Step::ChangeEndpoint {
                ingress,
                endpoint,
                state,
            } => {
                let state = ENDPOINT_STATES[usize::from(state)];
                let changed = entry(endpoint, state, Some(sim.now));
                let update = EndpointListUpdate::Changes(vec![changed]);
                sim.handle(ingress, Event::EndpointListChanged(update));
            }
            Step::DisconnectClient(index) => sim.disconnect_client(index),
            Step::Restart(ingress) => sim.restart(ingress, 5),
            Step::UnexpectedEvent { ingress, kind } => sim.handle(ingress, unexpected_event(kind)),
        }
    }
    sim.finish();
    sim
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 150,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_rules_hold_for_any_order_of_events(steps in prop::collection::vec(step(), 1..250)) {
        run(&steps, settings(3), false);
    }

    #[test]
    fn without_hedging_at_most_one_attempt_is_in_flight(
        steps in prop::collection::vec(step(), 1..250),
    ) {
        let mut settings = settings(3);
        settings.permissions.hedging = false;
        run(&steps, settings, false);
    }

    #[test]
    fn a_flood_does_not_exceed_a_ceiling(steps in prop::collection::vec(step(), 1..400)) {
        run(&steps, settings(3), true);
    }

    #[test]
    fn the_same_events_lead_to_the_same_actions(steps in prop::collection::vec(step(), 1..150)) {
        let first = run(&steps, settings(3), false);
        let second = run(&steps, settings(3), false);
        prop_assert_eq!(first.actions, second.actions);
    }

    #[test]
    fn the_rules_hold_without_a_counter(steps in prop::collection::vec(step(), 1..200)) {
        let mut settings = settings(3);
        settings.counter = None;
        let sim = run(&steps, settings, false);
        let is_call = |action: &Action| matches!(action, Action::IncrementCounter { .. });
        let calls_counter = sim.actions.iter().any(|(_, action)| is_call(action));
        prop_assert!(!calls_counter);
    }
}
