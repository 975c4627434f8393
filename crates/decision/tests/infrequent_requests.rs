//! Endpoint faults and limits with ingresses that each receive few requests, so that an ingress
//! sends a request to the same endpoint only about every ten seconds.

mod common;
use common::*;
use roseyard_decision::*;
use std::time::Duration;

const INGRESSES: usize = 30;
const ENDPOINTS: u32 = 60;

/// Returns settings without hedging and without a concurrency limit in the plans.
fn settings_without_hedging() -> Settings {
    let mut settings = settings(INGRESSES as u32);
    settings.permissions.hedging = false;
    settings.plans[2].max_concurrent = 0;
    settings
}

/// Sends four requests per second to each ingress. `outcome_of` returns how an attempt of an
/// ingress at an endpoint ends, and after what time.
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
        while let Some((id, outcome)) = next_due_attempt(sim, &outcome_of) {
            sim.end_attempt(id.ingress, id.request, id.number, outcome);
        }
        sim.requests
            .retain(|_, r| r.answer.is_none() || r.attempts.iter().any(|a| a.outcome.is_none()));
        sim.advance(ms(50));
    }
}

/// Returns the first attempt in flight whose time has passed, with its outcome.
fn next_due_attempt(
    sim: &Simulation,
    outcome_of: impl Fn(usize, u32) -> (Outcome, Duration),
) -> Option<(AttemptId, Outcome)> {
    sim.attempts_in_flight().into_iter().find_map(|id| {
        let attempt = &sim.requests[&(id.ingress, id.request)].attempts[id.number];
        let (outcome, after) = outcome_of(id.ingress, attempt.endpoint);
        (sim.now >= attempt.forwarded_at + after).then_some((id, outcome))
    })
}

/// Returns the share of the forwards since a point in time for which `is_counted` returns true.
fn share_since(sim: &Simulation, since: Duration, is_counted: impl Fn(usize, u32) -> bool) -> f64 {
    let recent: Vec<_> = sim
        .forwards
        .iter()
        .filter(|forward| forward.at >= since)
        .collect();
    recent
        .iter()
        .filter(|forward| is_counted(forward.ingress, forward.endpoint))
        .count() as f64
        / recent.len() as f64
}

/// Whether an endpoint accepts connections from an ingress. Each endpoint accepts them from a fifth
/// of the ingresses.
fn can_connect(ingress: usize, endpoint: u32) -> bool {
    (ingress as u32 * 7 + endpoint * 13).is_multiple_of(5)
}

#[test]
fn ingresses_prefer_endpoints_that_accept_their_connections() {
    let mut sim = Simulation::new(settings_without_hedging(), INGRESSES, ENDPOINTS);
    let outcome_of = |ingress, endpoint| match can_connect(ingress, endpoint) {
        true => (Outcome::Ok, ms(100)),
        false => (Outcome::ConnectFailed, ms(1)),
    };
    run_requests(&mut sim, 20, outcome_of);
    let since = sim.now;
    run_requests(&mut sim, 20, outcome_of);
    let refused_share = share_since(&sim, since, |ingress, endpoint| {
        !can_connect(ingress, endpoint)
    });
    assert!(
        refused_share < 0.14,
        "a share of {refused_share} of the forwards went to endpoints that refuse the connection"
    );
}

#[test]
fn endpoints_are_used_again_once_they_accept_connections() {
    let mut sim = Simulation::new(settings_without_hedging(), INGRESSES, ENDPOINTS);
    run_requests(&mut sim, 20, |ingress, endpoint| {
        match can_connect(ingress, endpoint) {
            true => (Outcome::Ok, ms(100)),
            false => (Outcome::ConnectFailed, ms(1)),
        }
    });
    run_requests(&mut sim, 20, |_, _| (Outcome::Ok, ms(100)));
    let since = sim.now;
    run_requests(&mut sim, 10, |_, _| (Outcome::Ok, ms(100)));
    let recovered_share = share_since(&sim, since, |ingress, endpoint| {
        !can_connect(ingress, endpoint)
    });
    assert!(
        recovered_share > 0.6,
        "a share of {recovered_share} of the forwards went to endpoints that had refused"
    );
}

#[test]
fn endpoints_that_time_out_get_fewer_requests_from_ingresses_with_little_traffic() {
    let mut sim = Simulation::new(settings_without_hedging(), INGRESSES, ENDPOINTS);
    let times_out = |endpoint: u32| endpoint.is_multiple_of(5);
    run_requests(&mut sim, 5, |_, _| (Outcome::Ok, ms(100)));
    let since = sim.now;
    run_requests(&mut sim, 40, |_, endpoint| match times_out(endpoint) {
        true => (Outcome::Timeout, ms(500)),
        false => (Outcome::Ok, ms(100)),
    });
    let timed_out_share = share_since(&sim, since, |_, endpoint| times_out(endpoint));
    assert!(
        timed_out_share < 0.12,
        "a share of {timed_out_share} of the forwards went to the endpoints that time out"
    );
}

/// Returns the retry-after time of the rejection of a request. Panics if it was not rejected.
fn retry_after_of(sim: &Simulation, id: u64) -> Option<Duration> {
    let rejection = sim.actions.iter().rev().find_map(|(_, a)| match a {
        Action::Reject {
            request,
            retry_after,
            ..
        } if request.0 == id => Some(*retry_after),
        _ => None,
    });
    rejection.expect("the request was rejected")
}

#[test]
fn every_rejection_is_immediate_and_has_a_retry_after_time() {
    let max_retry_after = ms(1000);
    let assert_retry_after = |sim: &Simulation, id: u64, cause: &str| {
        let checked_retry_after =
            retry_after_of(sim, id).unwrap_or_else(|| panic!("{cause}: no retry-after time"));
        assert!(
            checked_retry_after > Duration::ZERO && checked_retry_after <= max_retry_after,
            "{cause}: {checked_retry_after:?}, allowed are up to {max_retry_after:?}"
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
    // Ceiling: the local allowance is empty, and there is no total.
    let id = sim.request(0, 0, 1, 7);
    sim.end_all_calls(CallOutcome::NotAdded);
    assert_retry_after(&sim, id, "ceiling");
    // Load: far more simultaneous requests than the endpoints can handle.
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
        "every request is answered or forwarded at once"
    );
    // No endpoint at all.
    let mut sim = Simulation::new(settings(1), 1, 0);
    let id = sim.request(0, 0, 0, 1);
    sim.end_all_calls(CallOutcome::Replied);
    assert_retry_after(&sim, id, "no endpoint");
    // Concurrency limit: one more request in flight than the plan permits.
    let mut sim = Simulation::new(settings(1), 1, 20);
    let ids: Vec<_> = (0..5).map(|_| sim.request(0, 0, 2, 3)).collect();
    assert_retry_after(&sim, ids[4], "concurrency limit");
    // Retries: the last permitted attempt has failed.
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
    let mut settings = settings_without_hedging();
    settings.permissions.health_checks = true;
    settings.load_reports_on_health_check = true;
    let mut sim = Simulation::new(settings, INGRESSES, ENDPOINTS);
    run_requests(&mut sim, 5, |_, _| (Outcome::Ok, ms(100)));
    let mut first_checks = std::collections::BTreeMap::new();
    for (ingress, action) in &sim.actions {
        if let Action::CheckHealth { endpoint } = action {
            first_checks.entry(*ingress).or_insert(endpoint.0);
        }
    }
    let endpoints: std::collections::BTreeSet<_> = first_checks.values().collect();
    assert!(
        first_checks.len() == INGRESSES && endpoints.len() > 15,
        "{} ingresses started health checks, their first ones at {endpoints:?}",
        first_checks.len()
    );
}

#[test]
fn a_load_shedding_limit_below_one_per_ingress_holds_for_all_ingresses_together() {
    let mut settings = settings_without_hedging();
    settings.ingress_count = 150;
    let mut sim = Simulation::new(settings, 150, 20);
    let mut in_flight_sum = 0;
    for step in 0..500u64 {
        for ingress in 0..150 {
            sim.request(ingress, 0, 2, 1_000_000 + step * 1000 + ingress as u64);
        }
        let (now, latency) = (sim.now, ms(600));
        let due: Vec<_> = sim
            .requests
            .iter()
            .flat_map(|(k, r)| r.attempts.iter().enumerate().map(move |a| (*k, a)))
            .filter(|(_, (_, a))| a.outcome.is_none() && now >= a.forwarded_at + latency)
            .map(|(k, (n, _))| (k, n))
            .collect();
        due.iter()
            .for_each(|(k, n)| sim.end_attempt(k.0, k.1, *n, Outcome::Ok));
        sim.requests
            .retain(|_, r| r.attempts.iter().any(|a| a.outcome.is_none()));
        sim.advance(ms(50));
        in_flight_sum += if step >= 400 { sim.requests.len() } else { 0 };
    }
    let mean = in_flight_sum / 100;
    assert!(
        mean < 70,
        "{mean} in flight while all responses are late; the minimum limit is two per endpoint"
    );
}

#[test]
fn a_ceiling_shared_by_many_ingresses_admits_moderate_use_without_totals() {
    let mut sim = Simulation::new(settings(16), 16, 20);
    let mut forwarded = 0;
    for round in 0..40 {
        for ingress in 0..16 {
            let id = sim.request(ingress, 0, 1, 1); // `Simulation` checks rule 5 at each forward
            sim.end_all_calls(CallOutcome::NotAdded);
            forwarded += usize::from(round >= 8 && sim.attempt_count(ingress, id) > 0);
        }
        end_all_and_advance(&mut sim, 100);
        sim.advance(ms(1400));
    }
    let share = forwarded as f64 / f64::from(32 * 16);
    assert!(
        share > 0.85,
        "of 10 requests per second, a share of {share} was forwarded under a ceiling of 16"
    );
}
