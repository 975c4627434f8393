//! Load shedding: which requests are rejected because of the load of a service's endpoints.

mod common;
use common::*;
use roseyard_decision::*;

/// With this many ingresses, the share of one ingress in a service's minimum concurrency limit is
/// close to zero.
const INGRESSES: u32 = 4_300;
const SERVICES: u32 = 20;

fn simulation() -> ServiceSimulation {
    let settings = Settings {
        ingress_count: INGRESSES,
        ..high_quota_settings()
    };
    ServiceSimulation::new(settings, SERVICES)
}

/// Guards against rejecting the first request of a service with nothing in flight there, which
/// happened when the latency that is assumed before the first response counted as measured.
#[test]
fn the_first_request_of_a_service_is_forwarded_while_other_services_are_busy() {
    let mut sim = simulation();
    for service in 1..=SERVICES / 2 {
        assert!(sim.serve(service), "service {service}");
        let pending = sim.send_burst(service, IDEMPOTENT_CLASS, 1);
        assert_eq!(sim.count_in_flight(&pending), 1, "service {service}");
    }
    for service in SERVICES / 2 + 1..=SERVICES {
        assert!(sim.serve(service), "service {service}");
    }
}

/// Guards against rejections while responses are quick, which happened when the mean latency was
/// slow to fall from its assumed initial value.
#[test]
fn simultaneous_requests_are_forwarded_after_one_quick_response() {
    let mut sim = simulation();
    for service in 1..=SERVICES {
        assert!(sim.serve(service), "service {service}");
    }
    sim.advance(ms(1000));
    for service in 1..=SERVICES {
        let pair = sim.send_burst(service, IDEMPOTENT_CLASS, 2);
        assert_eq!(sim.count_in_flight(&pair), 2, "service {service}");
    }
}

/// Guards against overloading the endpoints of a service if all ingresses send requests before any
/// of them has received a response.
#[test]
fn before_the_first_response_only_one_request_is_in_flight() {
    let mut sim = simulation();
    let first = sim.send_burst(1, IDEMPOTENT_CLASS, 1);
    assert_eq!(sim.count_in_flight(&first), 1);
    let more = sim.send_burst(1, IDEMPOTENT_CLASS, 100);
    assert_eq!(sim.count_in_flight(&more), 0);
}

/// Serves this many idempotent requests, one after the other, and asserts that none is rejected.
fn serve_sequentially(sim: &mut ServiceSimulation, service: u32, requests: u32) {
    assert_eq!(sim.count_served(service, requests), requests);
}

/// Guards against rejecting a class as the one with the lowest value, which happened when its
/// assumed latency was compared with the measured latency of another class.
#[test]
fn a_class_without_responses_does_not_count_as_the_class_of_lowest_value() {
    let mut sim = simulation();
    serve_sequentially(&mut sim, 1, 200);
    let burst = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 8);
    assert_eq!(sim.count_in_flight(&burst), 8);
}

/// Guards against the same rejections after the first response of the class, which happened when
/// its mean latency was slow to fall from the assumed value if other classes had responded before.
#[test]
fn the_first_response_of_a_class_replaces_its_assumed_latency() {
    let mut sim = simulation();
    serve_sequentially(&mut sim, 1, 200);
    let first = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 1);
    sim.end_attempt(first[0], Outcome::Ok, ms(5));
    let burst = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 8);
    assert_eq!(sim.count_in_flight(&burst), 8);
}

/// Guards against rejections while responses are quick, which happened when the mean latencies of
/// two classes differed by chance.
#[test]
fn classes_are_not_prioritised_while_responses_are_quick() {
    let mut sim = simulation();
    serve_sequentially(&mut sim, 1, 200);
    for _ in 0..30 {
        let slower_class = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 1);
        sim.advance(ms(20));
        sim.end_attempt(slower_class[0], Outcome::Ok, ms(12));
    }
    let burst = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 12);
    assert_eq!(sim.count_in_flight(&burst), 12);
}

/// Guards against classes with a low priority weight for their latency using the endpoints at the
/// expense of others.
#[test]
fn the_class_with_the_lowest_measured_value_has_the_lowest_limit() {
    let mut sim = simulation();
    serve_sequentially(&mut sim, 1, 200);
    for _ in 0..100 {
        let slow = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 1);
        sim.advance(ms(20));
        sim.end_attempt(slow[0], Outcome::Ok, ms(100));
    }
    let low_value = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 100);
    let low_value_in_flight = sim.count_in_flight(&low_value);
    let high_value = sim.send_burst(1, IDEMPOTENT_CLASS, 100);
    let high_value_in_flight = sim.count_in_flight(&high_value);
    assert!(
        low_value_in_flight < high_value_in_flight,
        "{low_value_in_flight} requests of the class of lowest value are in flight, \
         {high_value_in_flight} of the other class"
    );
}
