//! Runs the same scenarios with the settings of several deployments. A further deployment only
//! needs an entry in [`DEPLOYMENTS`].

mod common;
use common::*;
use roseyard_decision::*;
use std::time::Duration;

/// Every outcome of a counter call.
const CALL_OUTCOMES: [CallOutcome; 4] = [
    CallOutcome::Replied,
    CallOutcome::LostBeforeAdding,
    CallOutcome::LostAfterAdding,
    CallOutcome::NotAdded,
];

/// The properties in which the deployments differ.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    ingress_count: usize,
    counter: bool,
    ceiling: bool,
    /// Whether the units of requests are estimates, which responses correct.
    has_estimates: bool,
    zones: u16,
    hedging: bool,
    health_checks: bool,
    drain_grace_ms: u64,
}

/// Few ingresses and endpoints in one zone, without hedging.
const SMALL: Deployment = Deployment {
    ingress_count: 2,
    counter: true,
    ceiling: false,
    has_estimates: false,
    zones: 1,
    hedging: false,
    health_checks: true,
    drain_grace_ms: 2000,
};

/// Few ingresses and endpoints in two zones, with estimated units, a ceiling and hedging.
const WITH_ESTIMATES: Deployment = Deployment {
    ingress_count: 3,
    ceiling: true,
    has_estimates: true,
    zones: 2,
    hedging: true,
    drain_grace_ms: 1000,
    ..SMALL
};

const DEPLOYMENTS: [Deployment; 6] = [
    SMALL,
    WITH_ESTIMATES,
    Deployment {
        ingress_count: 2,
        hedging: false,
        health_checks: false,
        ..WITH_ESTIMATES
    },
    Deployment {
        ingress_count: 12,
        ..WITH_ESTIMATES
    },
    Deployment {
        ingress_count: 300,
        ceiling: true,
        ..SMALL
    },
    // A deployment without a counter.
    Deployment {
        ingress_count: 12,
        counter: false,
        zones: 3,
        hedging: true,
        health_checks: false,
        drain_grace_ms: 0,
        ..SMALL
    },
];

impl Deployment {
    fn settings(self) -> Settings {
        let mut settings = settings(self.ingress_count as u32);
        settings.classes[0].latency_objective = ms(400);
        settings.classes[2].latency_objective = ms(1000);
        settings.classes[2].priority_weight = 3.0;
        if !self.counter {
            settings.counter = None;
        }
        if !self.ceiling {
            settings.plans[1] = plan(10.0, 20.0);
        }
        settings.permissions.hedging = self.hedging;
        settings.permissions.health_checks = self.health_checks;
        settings.endpoint_limits.drain_grace = ms(self.drain_grace_ms);
        settings
    }
}

/// The outcomes of attempts, of which four in nine are served.
const OUTCOMES: [Outcome; 9] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
];

/// Runs random traffic with faults: endpoints drain, are removed, restart and change zones;
/// attempts fail, time out or never end; the counter fails in every possible way; ingresses restart
/// and clients disconnect. `Simulation` checks every action against the rules: each request gets
/// one answer, a non-idempotent request is not executed twice, a request with an idempotency key is
/// retried only in its scope and window, a second attempt is in flight only if hedging is
/// permitted, nothing is forwarded to an endpoint after the drain grace, and no ceiling is
/// exceeded.
fn run_deployment(deployment: Deployment, seed: u64) -> Simulation {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sim = Simulation::seeded(deployment.settings(), deployment.ingress_count, 6, seed);
    for _ in 0..1500 {
        let (ingress, class) = (rng.usize(0..deployment.ingress_count), rng.usize(0..4));
        let (plan, customer) = (rng.usize(0..2), rng.u64(0..4));
        let units = if deployment.has_estimates {
            f64::from(rng.u32(1..=3))
        } else {
            1.0
        };
        let time_left = ms(rng.u64(100..1900));
        sim.request_with_units(ingress, class, plan, customer, units, time_left);
        sim.advance(ms(rng.u64(0..15)));
        while sim.pending_calls.len() > rng.usize(0..10) {
            sim.end_nth_call(rng.usize(0..20), CALL_OUTCOMES[rng.usize(0..8) / 2]);
        }
        let actual_units = deployment.has_estimates.then(|| f64::from(rng.u32(1..=8)));
        sim.end_nth_attempt_with_units(
            rng.usize(0..30),
            OUTCOMES[rng.usize(0..OUTCOMES.len())],
            actual_units,
        );
        match rng.usize(0..60) {
            0 | 1 => change_random_endpoint(&mut sim, &mut rng, deployment, ingress),
            2 => sim.disconnect_client(rng.usize(0..30)),
            3 => sim.restart(ingress, 6),
            4 => sim.counter_totals.clear(),
            _ => {}
        }
    }
    sim.finish();
    sim
}

/// Changes the state, start time and zone of a random endpoint in the endpoint list of one ingress
/// or of all.
fn change_random_endpoint(
    sim: &mut Simulation,
    rng: &mut fastrand::Rng,
    deployment: Deployment,
    ingress: usize,
) {
    let state_index = rng.usize(0..6).saturating_sub(3);
    let states = [
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ];
    let state = states[state_index.min(2)];
    let mut changed = entry(rng.u32(0..6), state, rng.bool().then_some(sim.now));
    changed.zone = rng.u16(0..deployment.zones);
    let ingresses = if rng.bool() {
        0..deployment.ingress_count
    } else {
        ingress..ingress + 1
    };
    for ingress in ingresses {
        let update = EndpointListUpdate::Changes(vec![changed]);
        sim.handle(ingress, Event::EndpointListChanged(update));
    }
}

#[test]
fn the_rules_hold_in_every_deployment() {
    for deployment in DEPLOYMENTS {
        for seed in 0..12 {
            println!("{deployment:?}, seed {seed}");
            let sim = run_deployment(deployment, seed);
            // The customers exceed their quotas; most deployments forward a third of the requests.
            assert!(
                sim.forwards.len() > 250,
                "{deployment:?}: {} of 1500 requests were forwarded",
                sim.forwards.len()
            );
        }
    }
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_is_answered_once_and_never_retried() {
    for deployment in DEPLOYMENTS {
        for outcome in [Outcome::Reset, Outcome::Error, Outcome::Timeout] {
            let mut sim = Simulation::new(deployment.settings(), deployment.ingress_count, 6);
            // One ingress of many may reject its first requests, because the requests of all
            // ingresses together must not overload the endpoints.
            let mut requests = (1..200).map(|customer| {
                let id = sim.request(0, 2, 0, customer);
                sim.end_all_calls(CallOutcome::Replied);
                sim.advance(ms(50));
                (id, sim.attempt_count(0, id))
            });
            let (id, _) = requests
                .find(|(_, attempts)| *attempts == 1)
                .expect("one of the requests is forwarded");
            sim.end_attempt(0, id, 0, outcome);
            sim.advance(Duration::from_secs(3));
            assert_eq!(
                (sim.attempt_count(0, id), sim.answer_of(0, id)),
                (1, Some(Answer::Failed)),
                "{deployment:?}, {outcome:?}"
            );
        }
    }
}
