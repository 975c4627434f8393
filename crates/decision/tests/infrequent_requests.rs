//! Faults of endpoints, seen by ingresses that visit each of them once in ten seconds.

mod common;
use common::*;
use roseyard_decision::*;
use std::time::Duration;

const INGRESSES: usize = 30;
const ENDPOINTS: u32 = 60;

fn without_hedging() -> Settings {
    let mut settings = settings(INGRESSES as u32);
    settings.permissions.hedging = false;
    settings.plans[2].max_concurrent = 0;
    settings
}

/// Four requests a second at each ingress. `outcome_of` says how an attempt ends and after how
/// long.
fn run_requests(
    sim: &mut Simulation,
    seconds: u64,
    outcome_of: impl Fn(usize, u32) -> (Outcome, Duration),
) {
    for step in 0..seconds * 20 {
        for ingress in (0..INGRESSES).filter(|ingress| (step + *ingress as u64).is_multiple_of(5)) {
            let customer = 1_000_000 + step * 100 + ingress as u64;
            sim.request(ingress, 0, 2, customer);
        }
        while let Some((id, outcome)) = next_ended(sim, &outcome_of) {
            sim.end_attempt(id.ingress, id.request, id.number, outcome);
        }
        sim.requests
            .retain(|_, r| r.answer.is_none() || r.attempts.iter().any(|a| a.outcome.is_none()));
        sim.advance(ms(50));
    }
}

/// The first attempt in flight whose time is over, and its outcome.
fn next_ended(
    sim: &Simulation,
    outcome_of: impl Fn(usize, u32) -> (Outcome, Duration),
) -> Option<(AttemptId, Outcome)> {
    sim.attempts_in_flight().into_iter().find_map(|id| {
        let attempt = &sim.requests[&(id.ingress, id.request)].attempts[id.number];
        let (outcome, after) = outcome_of(id.ingress, attempt.endpoint);
        (sim.now >= attempt.forwarded_at + after).then_some((id, outcome))
    })
}

/// The share of the forwards since then that `counts`.
fn share_since(sim: &Simulation, since: Duration, counts: impl Fn(usize, u32) -> bool) -> f64 {
    let late: Vec<_> = sim
        .forwards
        .iter()
        .filter(|forward| forward.at >= since)
        .collect();
    late.iter()
        .filter(|forward| counts(forward.ingress, forward.endpoint))
        .count() as f64
        / late.len() as f64
}

/// An endpoint accepts connections from some ingresses only, another one from others.
fn is_connected(ingress: usize, endpoint: u32) -> bool {
    (ingress as u32 * 7 + endpoint * 13).is_multiple_of(5)
}

#[test]
fn ingresses_prefer_endpoints_that_accept_their_connections() {
    let mut sim = Simulation::new(without_hedging(), INGRESSES, ENDPOINTS);
    let outcome_of = |ingress, endpoint| match is_connected(ingress, endpoint) {
        true => (Outcome::Ok, ms(100)),
        false => (Outcome::ConnectFailed, ms(1)),
    };
    run_requests(&mut sim, 20, outcome_of);
    let since = sim.now;
    run_requests(&mut sim, 20, outcome_of);
    let rejected = share_since(&sim, since, |ingress, endpoint| {
        !is_connected(ingress, endpoint)
    });
    assert!(
        rejected < 0.14,
        "{rejected} of the forwards go where no connection is accepted"
    );
}

#[test]
fn when_connections_are_accepted_again_all_endpoints_are_used_again() {
    let mut sim = Simulation::new(without_hedging(), INGRESSES, ENDPOINTS);
    run_requests(&mut sim, 20, |ingress, endpoint| {
        match is_connected(ingress, endpoint) {
            true => (Outcome::Ok, ms(100)),
            false => (Outcome::ConnectFailed, ms(1)),
        }
    });
    run_requests(&mut sim, 20, |_, _| (Outcome::Ok, ms(100)));
    let since = sim.now;
    run_requests(&mut sim, 10, |_, _| (Outcome::Ok, ms(100)));
    let accepting_again = share_since(&sim, since, |ingress, endpoint| {
        !is_connected(ingress, endpoint)
    });
    assert!(
        accepting_again > 0.6,
        "{accepting_again} of the forwards go to the endpoints that rejected before"
    );
}

#[test]
fn a_timeout_keeps_requests_away_from_a_rarely_visited_endpoint() {
    let mut sim = Simulation::new(without_hedging(), INGRESSES, ENDPOINTS);
    let times_out = |endpoint: u32| endpoint.is_multiple_of(5);
    run_requests(&mut sim, 5, |_, _| (Outcome::Ok, ms(100)));
    let since = sim.now;
    run_requests(&mut sim, 40, |_, endpoint| match times_out(endpoint) {
        true => (Outcome::Timeout, ms(500)),
        false => (Outcome::Ok, ms(100)),
    });
    let timed_out = share_since(&sim, since, |_, endpoint| times_out(endpoint));
    assert!(
        timed_out < 0.12,
        "{timed_out} of the forwards go to the fifth of the endpoints that times out"
    );
}

/// The last answer of a request: rejected, and the retry-after time that came with it.
fn retry_after_of(sim: &Simulation, id: u64) -> Option<Duration> {
    let last = sim.actions.iter().rev().find_map(|(_, a)| match a {
        Action::Reject {
            request,
            retry_after,
            ..
        } if request.0 == id => Some(*retry_after),
        _ => None,
    });
    last.expect("rejected")
}

#[test]
fn every_rejection_comes_at_once_with_a_retry_after_time() {
    let most = ms(1000);
    let assert_retry_after = |sim: &Simulation, id: u64, what: &str| {
        let retry_after_of =
            retry_after_of(sim, id).unwrap_or_else(|| panic!("{what}: no retry-after time"));
        assert!(
            retry_after_of > Duration::ZERO && retry_after_of <= most,
            "{what}: {retry_after_of:?}"
        );
    };
    // Quota: the returned total exceeds the quota.
    let mut sim = Simulation::new(settings(1), 1, 20);
    sim.counter_totals.insert(
        7,
        CounterEntry {
            total: 100.0,
            expires_at: sim.now + ms(2000),
        },
    );
    let id = sim.request(0, 0, 0, 7);
    sim.end_all_calls(CallOutcome::Replied);
    assert_retry_after(&sim, id, "quota");
    // Ceiling: the local allowance is empty, and no total comes.
    let id = sim.request(0, 0, 1, 7);
    sim.end_all_calls(CallOutcome::NotAdded);
    assert_retry_after(&sim, id, "ceiling");
    // Load: far more at once than the endpoints hold.
    let mut sim = Simulation::new(settings(1), 1, 2);
    let ids: Vec<_> = (0..60).map(|k| sim.request(0, 0, 0, 100 + k)).collect();
    sim.end_all_calls(CallOutcome::Replied);
    let rejected: Vec<_> = ids
        .iter()
        .filter(|id| sim.answer_of(0, **id) == Some(Answer::Rejected))
        .collect();
    assert!(!rejected.is_empty() && rejected.iter().all(|id| sim.attempt_count(0, **id) == 0));
    rejected
        .iter()
        .for_each(|id| assert_retry_after(&sim, **id, "load"));
    assert!(
        ids.iter()
            .all(|id| sim.answer_of(0, *id).is_some() || sim.attempt_count(0, *id) == 1),
        "none waits"
    );
    // No endpoint at all.
    let mut sim = Simulation::new(settings(1), 1, 0);
    let id = sim.request(0, 0, 0, 1);
    sim.end_all_calls(CallOutcome::Replied);
    assert_retry_after(&sim, id, "no endpoint");
    // Concurrency limit: one request more than the plan allows in flight.
    let mut sim = Simulation::new(settings(1), 1, 20);
    let ids: Vec<_> = (0..5).map(|_| sim.request(0, 0, 2, 3)).collect();
    assert_retry_after(&sim, ids[4], "concurrency limit");
    // Retries: the last attempt that is permitted has failed.
    let mut sim = Simulation::new(settings(1), 1, 20);
    let id = sim.request(0, 3, 0, 1);
    sim.end_all_calls(CallOutcome::Replied);
    while sim.answer_of(0, id).is_none() {
        let n = sim.attempt_count(0, id) - 1;
        sim.end_attempt(0, id, n, Outcome::ConnectFailed);
    }
    assert_retry_after(&sim, id, "attempts");
}

#[test]
fn ingresses_do_not_all_check_the_same_few_endpoints_first() {
    let mut settings = without_hedging();
    settings.permissions.health_checks = true;
    settings.load_reports_on_health_check = true;
    let mut sim = Simulation::new(settings, INGRESSES, ENDPOINTS);
    run_requests(&mut sim, 5, |_, _| (Outcome::Ok, ms(100)));
    let mut first = std::collections::BTreeMap::new();
    for (ingress, action) in &sim.actions {
        if let Action::CheckHealth { endpoint } = action {
            first.entry(*ingress).or_insert(endpoint.0);
        }
    }
    let endpoints: std::collections::BTreeSet<_> = first.values().collect();
    assert!(
        first.len() == INGRESSES && endpoints.len() > 15,
        "{} first health checks at {endpoints:?}",
        first.len()
    );
}

#[test]
fn a_concurrency_limit_below_one_holds_for_all_ingresses_together() {
    let mut settings = without_hedging();
    settings.ingress_count = 150;
    let mut sim = Simulation::new(settings, 150, 20);
    let mut in_flight = 0;
    for step in 0..500u64 {
        for ingress in 0..150 {
            sim.request(ingress, 0, 2, 1_000_000 + step * 1000 + ingress as u64);
        }
        let (now, late) = (sim.now, ms(600));
        let due: Vec<_> = sim
            .requests
            .iter()
            .flat_map(|(k, r)| r.attempts.iter().enumerate().map(move |a| (*k, a)))
            .filter(|(_, (_, a))| a.outcome.is_none() && now >= a.forwarded_at + late)
            .map(|(k, (n, _))| (k, n))
            .collect();
        due.iter()
            .for_each(|(k, n)| sim.end_attempt(k.0, k.1, *n, Outcome::Ok));
        sim.requests
            .retain(|_, r| r.attempts.iter().any(|a| a.outcome.is_none()));
        sim.advance(ms(50));
        in_flight += if step >= 400 { sim.requests.len() } else { 0 };
    }
    let mean = in_flight / 100;
    assert!(
        mean < 70,
        "{mean} in flight, of a least limit of two an endpoint, while all responses are late"
    );
}

#[test]
fn a_ceiling_shared_by_many_admits_moderate_customers_without_totals() {
    let mut sim = Simulation::new(settings(16), 16, 20);
    let mut forwarded = 0;
    for round in 0..40 {
        for ingress in 0..16 {
            let id = sim.request(ingress, 0, 1, 1); // the simulation checks rule 5 at each forward
            sim.end_all_calls(CallOutcome::NotAdded);
            forwarded += usize::from(round >= 8 && sim.attempt_count(ingress, id) > 0);
        }
        end_all_and_advance(&mut sim, 100);
        sim.advance(ms(1400));
    }
    let share = forwarded as f64 / f64::from(32 * 16);
    assert!(
        share > 0.85,
        "{share} of ten requests a second are forwarded under a ceiling of sixteen"
    );
}
