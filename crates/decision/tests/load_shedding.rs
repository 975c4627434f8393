//! Which requests are shed for the load of a service's endpoints, and which are not.

mod common;
use common::*;
use roseyard_decision::*;

/// Among so many ingresses an ingress's own part of what idle endpoints bear is next to nothing.
const INGRESSES: u32 = 4_300;
const SERVICES: u32 = 20;

fn simulation() -> ServiceSimulation {
    let settings = Settings {
        ingress_count: INGRESSES,
        ..high_quota_settings()
    };
    ServiceSimulation::new(settings, SERVICES)
}

/// Guards against: refused with nothing in flight, because the latency that is assumed before
/// responses counted as measured.
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

/// Guards against: refused while responses are quick, because the assumed latency was slow to fall.
#[test]
fn requests_that_meet_after_one_quick_response_are_forwarded() {
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

/// Guards against: all ingresses filling the endpoints of a service at once before the first of them
/// has responded.
#[test]
fn before_the_first_response_one_request_at_a_time_is_forwarded() {
    let mut sim = simulation();
    let first = sim.send_burst(1, IDEMPOTENT_CLASS, 1);
    assert_eq!(sim.count_in_flight(&first), 1);
    let more = sim.send_burst(1, IDEMPOTENT_CLASS, 100);
    assert_eq!(sim.count_in_flight(&more), 0);
}

/// Serves this many requests of an idempotent class, one after the other.
fn warm_up(sim: &mut ServiceSimulation, service: u32, requests: u32) {
    assert_eq!(sim.count_served(service, requests), requests);
}

/// Guards against: refused as the class that earns least, because its assumed latency was compared
/// with the measured one of another class.
#[test]
fn a_class_without_responses_is_not_limited_as_the_one_that_earns_least() {
    let mut sim = simulation();
    warm_up(&mut sim, 1, 200);
    let burst = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 8);
    assert_eq!(sim.count_in_flight(&burst), 8);
}

/// Guards against: the same after its first response, because the assumption was slow to fall where
/// other classes had responded before.
#[test]
fn a_class_is_compared_by_its_own_responses_from_the_first_one_on() {
    let mut sim = simulation();
    warm_up(&mut sim, 1, 200);
    let first = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 1);
    sim.end_attempt(first[0], Outcome::Ok, ms(5));
    let burst = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 8);
    assert_eq!(sim.count_in_flight(&burst), 8);
}

/// Guards against: refused while responses are quick, because the means of two classes differed by
/// chance.
#[test]
fn classes_are_not_ranked_while_responses_are_quick() {
    let mut sim = simulation();
    warm_up(&mut sim, 1, 200);
    for _ in 0..30 {
        let slower = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 1);
        sim.advance(ms(20));
        sim.end_attempt(slower[0], Outcome::Ok, ms(12));
    }
    let burst = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 12);
    assert_eq!(sim.count_in_flight(&burst), 12);
}

/// Guards against: classes that earn less for their work taking the endpoints from others.
#[test]
fn a_class_that_is_measured_to_earn_least_has_the_lowest_limit() {
    let mut sim = simulation();
    warm_up(&mut sim, 1, 200);
    for _ in 0..100 {
        let slow = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 1);
        sim.advance(ms(20));
        sim.end_attempt(slow[0], Outcome::Ok, ms(100));
    }
    let least = sim.send_burst(1, NON_IDEMPOTENT_CLASS, 100);
    let forwarded_of_least = sim.count_in_flight(&least);
    let most = sim.send_burst(1, IDEMPOTENT_CLASS, 100);
    let forwarded_of_most = sim.count_in_flight(&most);
    assert!(
        forwarded_of_least < forwarded_of_most,
        "{forwarded_of_least} of the class that earns least, {forwarded_of_most} beside them"
    );
}
