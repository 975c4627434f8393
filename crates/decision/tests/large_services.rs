//! Services with more endpoints than an ingress keeps state for.

mod common;
use common::*;
use roseyard_decision::*;
use std::collections::BTreeMap;

#[test]
fn endpoints_outside_the_subset_are_rarely_used() {
    let mut sim = simulation_with_large_service(0..900);
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
    assert!(all > 1800, "{all} of 2,000 requests were forwarded");
    assert!(
        f64::from(subset) > 0.75 * f64::from(all),
        "{subset} of {all} requests were forwarded to the subset"
    );
}

/// Returns entries of service 1 in this state, for the endpoints with these indices.
fn large_service_entries(
    indices: std::ops::Range<u32>,
    state: EndpointState,
) -> Vec<EndpointEntry> {
    indices
        .map(|index| service_entry(1, index, state, None))
        .collect()
}

/// Returns one of many ingresses, 10 s after its start, with a service whose endpoints have these
/// indices.
fn simulation_with_large_service(indices: std::ops::Range<u32>) -> ServiceSimulation {
    let settings = Settings {
        ingress_count: 4300,
        classes: vec![class(Idempotency::Idempotent)],
        ..high_quota_settings()
    };
    let mut sim = ServiceSimulation::new(settings, 0);
    sim.change_endpoints(large_service_entries(indices, EndpointState::Ready));
    sim.advance(ms(10_000));
    sim
}

/// Sends this many requests, asserts that nearly all are served, and returns the indices of the
/// endpoints that they were forwarded to.
fn endpoints_used(sim: &mut ServiceSimulation, requests: u32) -> Vec<u32> {
    let first = sim.last_id + 1;
    assert!(
        sim.count_served(1, requests) + 3 >= requests,
        "more than 3 of {requests} requests were not served"
    );
    let attempts = (first..=sim.last_id).filter_map(|id| sim.requests[&id].attempts.first());
    let mut used: Vec<u32> = attempts.map(|id| id - endpoint_id(1, 0)).collect();
    used.sort_unstable();
    used.dedup();
    used
}

#[test]
fn when_all_endpoints_in_use_drain_others_of_a_large_service_replace_them() {
    let mut sim = simulation_with_large_service(0..900);
    let mut drained: Vec<u32> = Vec::new();
    for _ in 0..5 {
        let used = endpoints_used(&mut sim, 200);
        assert!(
            used.iter().all(|index| !drained.contains(index)),
            "forwarded to a draining endpoint: {used:?}"
        );
        for index in used {
            sim.change_endpoints(vec![service_entry(1, index, EndpointState::Draining, None)]);
            drained.push(index);
        }
    }
    assert!(
        drained.len() > 50,
        "only {} endpoints were used in total",
        drained.len()
    );
}

#[test]
fn a_service_that_grows_beyond_the_known_endpoints_and_shrinks_uses_its_ready_endpoints() {
    let mut sim = simulation_with_large_service(0..100);
    endpoints_used(&mut sim, 200);
    sim.change_endpoints(large_service_entries(100..900, EndpointState::Ready));
    endpoints_used(&mut sim, 200);
    sim.change_endpoints(large_service_entries(0..600, EndpointState::Draining));
    assert!(endpoints_used(&mut sim, 200)
        .iter()
        .all(|index| *index >= 600));
    sim.change_endpoints(large_service_entries(600..890, EndpointState::Removed));
    let remaining = endpoints_used(&mut sim, 400);
    assert_eq!(
        remaining,
        (890..900).collect::<Vec<u32>>(),
        "every remaining endpoint is used"
    );
}

#[test]
fn an_attempt_at_an_endpoint_that_is_no_longer_known_ends_normally_and_is_not_retried() {
    // The known endpoints of ingress 0 start at the beginning of the ring. Once endpoints with
    // lower ranks are listed, the ones used before are no longer known.
    let settings = Settings {
        ingress_count: 40,
        classes: vec![class(Idempotency::NonIdempotent)],
        ..high_quota_settings()
    };
    let mut sim = ServiceSimulation::new(settings, 0);
    sim.change_endpoints(large_service_entries(900..1000, EndpointState::Ready));
    endpoints_used(&mut sim, 100);
    let ids: Vec<u64> = (0..60).map(|_| sim.request_within_quota(1)).collect();
    let count_attempts = |sim: &ServiceSimulation| {
        ids.iter()
            .map(|id| sim.requests[id].attempts.len())
            .sum::<usize>()
    };
    let before = count_attempts(&sim);
    assert!(before >= 4, "only {before} attempts are in flight");
    sim.change_endpoints(large_service_entries(0..900, EndpointState::Ready));
    assert!(
        endpoints_used(&mut sim, 20)
            .iter()
            .all(|index| *index < 900),
        "the known endpoints have changed"
    );
    for id in &ids {
        sim.end_attempt(*id, Outcome::Ok, ms(40));
    }
    assert_eq!(count_attempts(&sim), before, "an attempt was retried");
    let served = ids.iter().filter(|id| sim.requests[id].served).count();
    assert_eq!(
        served, before,
        "every request whose attempt was in flight is served"
    );
}

#[test]
fn a_large_service_that_loses_all_its_endpoints_is_dropped() {
    let mut sim = simulation_with_large_service(0..900);
    endpoints_used(&mut sim, 50);
    sim.change_endpoints(large_service_entries(0..899, EndpointState::Removed));
    assert_eq!(sim.dispatcher.service_count(), 1);
    sim.change_endpoints(large_service_entries(899..900, EndpointState::Removed));
    sim.advance(ms(5000));
    assert_eq!(sim.dispatcher.service_count(), 0);
}
