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
        ..ample_settings()
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
        let pending = sim.burst(service, IDEMPOTENT, 1);
        assert_eq!(sim.in_flight(&pending), 1, "service {service}");
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
        let pair = sim.burst(service, IDEMPOTENT, 2);
        assert_eq!(sim.in_flight(&pair), 2, "service {service}");
    }
}

/// Guards against: all ingresses filling the endpoints of a service at once before the first of them
/// has responded.
#[test]
fn before_the_first_response_one_request_at_a_time_is_forwarded() {
    let mut sim = simulation();
    let first = sim.burst(1, IDEMPOTENT, 1);
    assert_eq!(sim.in_flight(&first), 1);
    let more = sim.burst(1, IDEMPOTENT, 100);
    assert_eq!(sim.in_flight(&more), 0);
}
