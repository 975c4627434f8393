//! Random legal event orders against the rules; `common::World` checks each action.

mod common;
use common::*;
use proptest::prelude::*;
use roseyard_decision::*;

#[derive(Clone, Debug)]
enum Step {
    Request(usize, usize, usize, u64),
    Count(usize, u8),
    End(usize, u8),
    Advance(u64),
    Endpoint(usize, u32, u8),
    Gone(usize),
    Restart(usize),
    Junk(usize, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3usize, 0..4usize, 0..3usize, 0..3u64).prop_map(|(g, c, p, k)| Step::Request(g, c, p, k)),
        6 => (0..50usize, 0..6u8).prop_map(|(i, m)| Step::Count(i, m)),
        5 => (0..50usize, 0..10u8).prop_map(|(i, o)| Step::End(i, o)),
        5 => (1..400u64).prop_map(Step::Advance),
        1 => (0..3usize, 0..6u32, 0..3u8).prop_map(|(g, s, x)| Step::Endpoint(g, s, x)),
        1 => (0..50usize).prop_map(Step::Gone),
        1 => (0..3usize).prop_map(Step::Restart),
        1 => (0..3usize, 0..6u8).prop_map(|(g, x)| Step::Junk(g, x)),
    ]
}

fn junk(w: &mut World, g: usize, kind: u8) {
    let nan = f64::NAN;
    let end = AttemptEnd {
        request: RequestId(u64::MAX),
        attempt: 9,
        endpoint: EndpointId(77),
        outcome: Outcome::Ok,
        elapsed: ms(1),
        finished: true,
        true_units: Some(nan),
        load: Some(LoadReport {
            in_flight: Some(nan),
            queued: Some(-1.0),
            ..Default::default()
        }),
    };
    let event = match kind {
        0 => Event::AttemptEnded(end),
        1 => Event::ClientDisconnected(RequestId(u64::MAX)),
        2 => Event::CounterReply {
            key: CounterKey(5),
            result: CounterResult::Total(nan),
            elapsed: ms(1),
        },
        3 => Event::TimerExpired(TimerTag(12345)),
        4 => {
            let (service, endpoint) = (ServiceId(0), EndpointId(88));
            Event::HealthCheckEnded {
                service,
                endpoint,
                outcome: Outcome::Ok,
                load: None,
            }
        }
        _ => Event::StreamStarted {
            request: RequestId(u64::MAX),
            attempt: 3,
        },
    };
    w.tell(g, event);
}

fn run(steps: &[Step], settings: Settings, checked_ceiling: bool) -> World {
    let mut w = World::new(settings, 3, 5);
    for s in steps {
        match s {
            Step::Request(g, c, p, k) => {
                let _ = w.request(
                    *g,
                    *c,
                    if checked_ceiling { 1 } else { *p },
                    *k % if checked_ceiling { 1 } else { 3 },
                );
            }
            Step::Count(i, m) => w.count(
                *i,
                [
                    CountMode::Answered,
                    CountMode::Answered,
                    CountMode::Answered,
                    CountMode::LostBefore,
                    CountMode::LostAfter,
                    CountMode::Refused,
                ][usize::from(*m)],
            ),
            Step::End(i, o) => w.end(
                *i,
                [
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
                ][usize::from(*o)],
            ),
            Step::Advance(t) => w.advance(ms(*t)),
            Step::Endpoint(g, s, x) => {
                let state = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][usize::from(*x)];
                let e = entry(*s, state, Some(w.now));
                w.tell(
                    *g,
                    Event::EndpointListChanged(EndpointListUpdate::Changes(vec![e])),
                );
            }
            Step::Gone(i) => w.client_gone(*i),
            Step::Restart(g) => w.restart(*g, 5),
            Step::Junk(g, x) => junk(&mut w, *g, *x),
        }
    }
    w.finish();
    w
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
    fn every_rule_holds_for_any_event_order(steps in prop::collection::vec(step(), 1..250)) {
        run(&steps, settings(3), false);
    }

    #[test]
    fn without_second_copies_one_attempt_is_out_at_most(steps in prop::collection::vec(step(), 1..250)) {
        let mut s = settings(3);
        s.permissions.hedging = false;
        run(&steps, s, false);
    }

    #[test]
    fn a_flood_on_one_ceiling_never_passes_it(steps in prop::collection::vec(step(), 1..400)) {
        run(&steps, settings(3), true);
    }

    #[test]
    fn same_events_give_same_actions(steps in prop::collection::vec(step(), 1..150)) {
        let (a, b) = (run(&steps, settings(3), false), run(&steps, settings(3), false));
        prop_assert_eq!(a.actions, b.actions);
    }

    #[test]
    fn a_site_without_a_counter_keeps_the_rules(steps in prop::collection::vec(step(), 1..200)) {
        let mut s = settings(3);
        s.counter = None;
        let w = run(&steps, s, false);
        let counted = w.actions.iter().any(|(_, a)| matches!(a, Action::IncrementCounter { .. }));
        prop_assert!(!counted);
    }
}
