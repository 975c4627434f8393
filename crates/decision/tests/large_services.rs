//! Services with more endpoints than an ingress keeps state for.

mod common;
use common::*;
use roseyard_decision::*;
use std::collections::BTreeMap;

#[test]
fn endpoints_outside_of_the_subset_are_rarely_used_however_many_there_are() {
    let mut sim = with_a_large_service(0..900);
    let mut used: BTreeMap<u32, u32> = BTreeMap::new();
    for _ in 0..2000 {
        let id = sim.request_within_quota(1);
        if let Some(endpoint) = sim.requests[&id].attempts.first() {
            *used.entry(*endpoint).or_default() += 1;
        }
        sim.advance(ms(5));
        sim.end_attempt(id, Outcome::Ok, ms(5));
        sim.advance(ms(15));
    }
    let mut counts: Vec<u32> = used.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    let (all, subset) = (
        counts.iter().sum::<u32>(),
        counts.iter().take(13).sum::<u32>(),
    );
    assert!(all > 1800, "{all} of 2,000 forwarded");
    assert!(
        f64::from(subset) > 0.75 * f64::from(all),
        "{subset} of {all} inside the subset"
    );
}

/// Endpoints of one large service, more than an ingress keeps a state for; entries of these
/// numbers.
fn large(numbers: std::ops::Range<u32>, state: EndpointState) -> Vec<EndpointEntry> {
    numbers
        .map(|index| service_entry(1, index, state, None))
        .collect()
}

/// One of many ingresses before a service of these numbers of endpoints.
fn with_a_large_service(numbers: std::ops::Range<u32>) -> ServiceSimulation {
    let settings = Settings {
        ingress_count: 4300,
        classes: vec![class(Idempotency::Idempotent)],
        ..high_quota_settings()
    };
    let mut sim = ServiceSimulation::new(settings, 0);
    sim.change_endpoints(large(numbers, EndpointState::Ready));
    sim.advance(ms(10_000));
    sim
}

/// The numbers of the endpoints that so many requests go to, each of which is served.
fn endpoints_used(sim: &mut ServiceSimulation, requests: u32) -> Vec<u32> {
    let first = sim.last_id + 1;
    assert!(
        sim.count_served(1, requests) + 3 >= requests,
        "few of {requests} are served"
    );
    let attempts = (first..=sim.last_id).filter_map(|id| sim.requests[&id].attempts.first());
    let mut used: Vec<u32> = attempts.map(|id| id - endpoint_id(1, 0)).collect();
    used.sort_unstable();
    used.dedup();
    used
}

#[test]
fn where_all_endpoints_in_use_drain_others_of_a_large_service_replace_them() {
    let mut sim = with_a_large_service(0..900);
    let mut gone: Vec<u32> = Vec::new();
    for _ in 0..5 {
        let used = endpoints_used(&mut sim, 200);
        assert!(
            used.iter().all(|index| !gone.contains(index)),
            "forwarded to a draining endpoint: {used:?}"
        );
        for index in used {
            sim.change_endpoints(vec![service_entry(1, index, EndpointState::Draining, None)]);
            gone.push(index);
        }
    }
    assert!(gone.len() > 50, "{} endpoints were used in all", gone.len());
}

#[test]
fn a_service_that_grows_beyond_the_known_endpoints_and_shrinks_is_served_by_what_is_ready() {
    let mut sim = with_a_large_service(0..100);
    endpoints_used(&mut sim, 200);
    sim.change_endpoints(large(100..900, EndpointState::Ready));
    endpoints_used(&mut sim, 200);
    sim.change_endpoints(large(0..600, EndpointState::Draining));
    assert!(endpoints_used(&mut sim, 200)
        .iter()
        .all(|index| *index >= 600));
    sim.change_endpoints(large(600..890, EndpointState::Removed));
    let left = endpoints_used(&mut sim, 400);
    assert_eq!(
        left,
        (890..900).collect::<Vec<u32>>(),
        "each of the few that are left is used"
    );
}

#[test]
fn an_attempt_at_an_endpoint_that_is_no_longer_known_ends_normally_and_is_not_retried() {
    // Number 0 of a few ingresses, whose known endpoints begin at the first: those used before
    // are no longer known.
    let settings = Settings {
        ingress_count: 40,
        classes: vec![class(Idempotency::NonIdempotent)],
        ..high_quota_settings()
    };
    let mut sim = ServiceSimulation::new(settings, 0);
    sim.change_endpoints(large(900..1000, EndpointState::Ready));
    endpoints_used(&mut sim, 100);
    let out: Vec<u64> = (0..60).map(|_| sim.request_within_quota(1)).collect();
    let sent = |sim: &ServiceSimulation| {
        out.iter()
            .map(|id| sim.requests[id].attempts.len())
            .sum::<usize>()
    };
    let before = sent(&sim);
    assert!(before >= 4, "{before} are in flight");
    sim.change_endpoints(large(0..900, EndpointState::Ready));
    assert!(
        endpoints_used(&mut sim, 20)
            .iter()
            .all(|index| *index < 900),
        "the known endpoints have changed"
    );
    for id in &out {
        sim.end_attempt(*id, Outcome::Ok, ms(40));
    }
    assert_eq!(sent(&sim), before, "retried");
    let served = out.iter().filter(|id| sim.requests[id].served).count();
    assert_eq!(
        served, before,
        "each attempt that was in flight counts as a response"
    );
}

#[test]
fn a_large_service_that_loses_all_its_endpoints_is_dropped_with_them() {
    let mut sim = with_a_large_service(0..900);
    endpoints_used(&mut sim, 50);
    sim.change_endpoints(large(0..899, EndpointState::Removed));
    assert_eq!(sim.dispatcher.service_count(), 1);
    sim.change_endpoints(large(899..900, EndpointState::Removed));
    sim.advance(ms(5000));
    assert_eq!(sim.dispatcher.service_count(), 0);
}
