//! Endpoints that fail, do not respond, drain, warm up or are overloaded.

mod common;
use common::*;
use roseyard_decision::*;

#[test]
fn an_unresponsive_endpoint_is_ejected_and_logged() {
    let mut sim = Simulation::new(settings(1), 1, 5);
    run_steady_requests(&mut sim, 0, 100, &[]);
    let before = sim.forwards.len();
    run_steady_requests(&mut sim, 0, 200, &[3]);
    let to_unresponsive = sim.forwards[before..]
        .iter()
        .filter(|forward| forward.endpoint == 3)
        .count();
    assert!(
        to_unresponsive <= 16,
        "{to_unresponsive} of 800 requests were forwarded to the unresponsive endpoint"
    );
    assert!(sim
        .notices
        .contains(&Notice::EndpointUnresponsive(EndpointId(3))));
}

#[test]
fn of_classes_with_equal_value_the_one_with_the_shorter_latency_objective_is_rejected_first() {
    // With the same number of requests in flight, a request with an objective of 1 s can be in time
    // while one with an objective of 400 ms is late. A common limit would be wrong for one class.
    let forwarded_of = |class: usize| {
        let mut settings = settings(1);
        settings.classes[0].latency_objective = ms(400);
        settings.classes[2].latency_objective = ms(1000);
        let mut sim = Simulation::new(settings, 1, 5);
        run_steady_requests(&mut sim, 0, 100, &[]);
        run_steady_requests(&mut sim, 2, 100, &[]);
        let before = sim.forwards.len();
        for k in 0..400 {
            sim.request(0, class, 0, 50_000 + k);
            sim.end_all_calls(CallOutcome::Replied);
        }
        sim.forwards.len() - before
    };
    let (short_objective, long_objective) = (forwarded_of(0), forwarded_of(2));
    assert!(
        short_objective >= 10,
        "{short_objective} of 400 simultaneous requests were forwarded"
    );
    assert!(
        long_objective >= 2 * short_objective && long_objective < 400,
        "of 400 simultaneous requests, {long_objective} with the longer objective \
         and {short_objective} with the shorter one were forwarded"
    );
}

#[test]
fn an_endpoint_that_fails_fast_does_not_attract_all_requests() {
    let mut sim = Simulation::new(settings(1), 1, 5);
    let before = sim.forwards.len();
    for k in 0..200 {
        for j in 0..3 {
            let id = sim.request(0, 2, 0, 20_000 + 3 * k + j);
            sim.end_all_calls(CallOutcome::Replied);
            for n in 0..4 {
                if sim.attempt_count(0, id) == n + 1
                    && sim.requests[&(0, id)].attempts[n].endpoint == 2
                {
                    sim.end_attempt(0, id, n, Outcome::ConnectFailed);
                }
            }
        }
        sim.advance(ms(120));
        for _ in 0..3 {
            sim.end_nth_attempt(0, Outcome::Ok);
        }
    }
    let to_failing = sim.forwards[before..]
        .iter()
        .filter(|forward| forward.endpoint == 2)
        .count();
    assert!(
        to_failing <= 20,
        "{to_failing} attempts were forwarded to the failing endpoint"
    );
}

#[test]
fn nothing_is_forwarded_to_a_draining_or_removed_endpoint() {
    let mut sim = Simulation::new(settings(1), 1, 3);
    let draining = vec![entry(0, EndpointState::Draining, None)];
    sim.handle(
        0,
        Event::EndpointListChanged(EndpointListUpdate::Changes(draining)),
    );
    sim.handle(
        0,
        Event::EndpointListChanged(EndpointListUpdate::Full(vec![entry(
            1,
            EndpointState::Ready,
            None,
        )])),
    );
    let before = sim.forwards.len();
    run_steady_requests(&mut sim, 0, 50, &[]);
    assert!(sim.forwards[before..]
        .iter()
        .all(|forward| forward.endpoint == 1));
}

#[test]
fn an_endpoint_warming_up_gets_no_more_than_its_budget() {
    let mut sim = Simulation::new(settings(1), 1, 5);
    run_steady_requests(&mut sim, 0, 150, &[]);
    // Its listed weight is high, so that the balancer would prefer it without the budget.
    let warming = EndpointEntry {
        weight: 20.0,
        ..entry(4, EndpointState::Ready, Some(sim.now))
    };
    sim.handle(
        0,
        Event::EndpointListChanged(EndpointListUpdate::Changes(vec![warming])),
    );
    let before = sim.forwards.len();
    run_steady_requests(&mut sim, 0, 100, &[]);
    let forwards = &sim.forwards[before..];
    let to_warming = forwards
        .iter()
        .filter(|forward| forward.endpoint == 4)
        .count() as f64;
    let to_warm = forwards
        .iter()
        .filter(|forward| forward.endpoint != 4)
        .count() as f64
        / 4.0;
    assert!(
        to_warming <= 0.6 * to_warm + 1.0,
        "{to_warming} attempts to the endpoint warming up, {to_warm} to each other endpoint"
    );
}

#[test]
fn when_all_endpoints_are_unresponsive_none_stays_ejected() {
    let mut sim = Simulation::new(settings(1), 1, 4);
    run_steady_requests(&mut sim, 0, 50, &[]);
    run_steady_requests(&mut sim, 0, 60, &[0, 1, 2, 3]);
    sim.advance(ms(3000));
    let before = sim.forwards.len();
    run_steady_requests(&mut sim, 0, 20, &[]);
    assert!(
        sim.forwards.len() - before >= 10,
        "{} requests were forwarded after the endpoints respond again",
        sim.forwards.len() - before
    );
}

#[test]
fn excess_requests_are_rejected_at_once_and_not_queued() {
    let mut sim = Simulation::new(settings(1), 1, 3);
    let mut ids = Vec::new();
    for k in 0..200 {
        ids.push(sim.request(0, 0, 0, 30_000 + k));
        sim.end_all_calls(CallOutcome::Replied);
    }
    let rejected = ids
        .iter()
        .filter(|id| sim.answer_of(0, **id) == Some(Answer::Rejected))
        .count();
    assert!(
        rejected >= 150,
        "{rejected} of 200 simultaneous requests to three endpoints were rejected"
    );
}

#[test]
fn every_request_gets_a_final_answer_when_no_endpoint_responds() {
    let mut sim = Simulation::new(settings(1), 1, 3);
    for class in 0..4 {
        sim.request(0, class, 0, class as u64);
    }
    sim.finish();
}

#[test]
fn an_ingress_in_subscription_mode_subscribes_again_after_a_failure() {
    let mut settings = settings(1);
    settings.discovery = DiscoveryMode::Subscription;
    let mut sim = Simulation::new(settings, 1, 3);
    let subscriptions = |sim: &Simulation| {
        sim.actions
            .iter()
            .filter(|(_, a)| *a == Action::Subscribe)
            .count()
    };
    assert_eq!(subscriptions(&sim), 1);
    sim.handle(
        0,
        Event::EndpointListChanged(EndpointListUpdate::Unavailable),
    );
    sim.advance(ms(1500));
    assert_eq!(subscriptions(&sim), 2);
}

#[test]
fn invalid_settings_are_rejected() {
    let error_after = |change: fn(&mut Settings)| {
        let mut settings = settings(1);
        change(&mut settings);
        Dispatcher::new(settings, 1).err()
    };
    assert_eq!(
        error_after(|settings| settings.classes.clear()),
        Some(SettingsError::NoClass)
    );
    assert_eq!(
        error_after(|settings| settings.plans.clear()),
        Some(SettingsError::NoPlan)
    );
    assert!(error_after(|settings| settings.plans[0].rate = f64::NAN).is_some());
    assert!(
        error_after(|settings| settings.endpoint_limits.initial_capacity_ratio = -1.0).is_some()
    );
}

#[test]
fn endpoints_that_all_seem_unresponsive_because_of_congestion_get_few_requests() {
    let mut sim = Simulation::new(settings(1), 1, 4);
    run_steady_requests(&mut sim, 0, 100, &[]);
    for k in 0..400 {
        sim.request_with_time_left(0, 0, 0, 50_000 + k, ms(900));
        sim.end_all_calls(CallOutcome::Replied);
        sim.advance(ms(5));
        let due: Vec<_> = sim
            .requests
            .iter()
            .flat_map(|(key, r)| {
                r.attempts
                    .iter()
                    .enumerate()
                    .map(move |(n, a)| (*key, n, a, r.deadline))
            })
            .filter(|(_, _, a, deadline)| a.outcome.is_none() && *deadline <= sim.now)
            .map(|(key, n, _, _)| (key, n))
            .collect();
        for (key, n) in due {
            sim.end_attempt(key.0, key.1, n, Outcome::Timeout);
        }
    }
    let recent = sim
        .forwards
        .iter()
        .filter(|forward| forward.at + ms(1000) > sim.now)
        .count();
    assert!(
        recent <= 60,
        "{recent} attempts at congested endpoints in the last second, with 200 requests"
    );
}
