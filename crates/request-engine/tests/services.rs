//! Tests of services in the engine: routes and endpoints move to other services while requests are
//! in flight, and the cost does not depend on the size of the directory.

mod common;
#[path = "services/harness.rs"]
mod harness;

use common::ms;
use harness::{list, record, two_services, Harness, BOUNDS};
use roseyard_request_engine::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use EndpointRecordState::{Draining, Serving};

/// Returns an endpoint for each of the two services.
fn one_endpoint_each() -> Vec<EndpointRecord> {
    vec![
        record("l", "10.1.0.1:80", Serving),
        record("r", "10.2.0.1:80", Serving),
    ]
}

#[test]
fn requests_are_forwarded_to_the_endpoints_of_the_service_of_their_route() {
    let mut harness = Harness::new(&two_services(), one_endpoint_each());
    for _ in 0..20 {
        for (route, address) in [("left", "10.1.0.1:80"), ("right", "10.2.0.1:80")] {
            let forwarded = harness.submit(route);
            assert_eq!(harness.address_of(forwarded).as_deref(), Some(address));
            assert!(harness.complete_attempt(forwarded.unwrap()));
        }
    }
}

#[test]
fn moving_a_route_does_not_affect_requests_in_flight() {
    let mut harness = Harness::new(&two_services(), one_endpoint_each());
    let in_flight = harness.submit("left").unwrap();
    let moved = DirectoryChange::SetRoute {
        route: "left".into(),
        service: "right".into(),
    };
    harness.engine.change_directory(moved).unwrap();
    assert!(
        harness
            .engine
            .may_write(in_flight.0, in_flight.1, harness.now + ms(100), harness.now),
        "the attempt in flight may still be written"
    );
    let next = harness.submit("left");
    assert_eq!(harness.address_of(next).as_deref(), Some("10.2.0.1:80"));
    assert!(
        harness.complete_attempt(in_flight),
        "the request is answered without a retry"
    );
}

#[test]
fn an_endpoint_that_moves_serves_its_new_service_and_finishes_requests_in_flight() {
    let mut harness = Harness::new(&two_services(), one_endpoint_each());
    let in_flight = harness.submit("left").unwrap();
    let selector = EndpointSelector::uid("l");
    harness
        .engine
        .change_directory(DirectoryChange::Assign {
            selector,
            service: "right".into(),
        })
        .unwrap();
    assert_eq!(harness.run(), None, "the request in flight is not retried");
    assert_eq!(
        harness.submit("left"),
        None,
        "the service has no endpoint left"
    );
    let addresses: Vec<_> = (0..40)
        .filter_map(|_| {
            let forwarded = harness.submit("right");
            let address = harness.address_of(forwarded);
            forwarded.map(|forwarded| harness.complete_attempt(forwarded));
            address
        })
        .collect();
    assert!(
        addresses.iter().any(|a| a == "10.1.0.1:80"),
        "it serves the other service"
    );
    assert!(harness.complete_attempt(in_flight));
    // The endpoint moves back when the original directory is set.
    let changes = harness.engine.set_directory(&two_services()).unwrap();
    assert_eq!(changes, 1, "one selector differs");
    let back = harness.submit("left");
    assert_eq!(harness.address_of(back).as_deref(), Some("10.1.0.1:80"));
}

#[test]
fn an_endpoint_whose_address_changes_belongs_to_the_service_of_the_new_address() {
    let mut harness = Harness::new(&two_services(), one_endpoint_each());
    let stale = harness.apply_list(&list(2, false, vec![record("l", "10.2.0.9:80", Serving)]));
    assert_eq!(stale.len(), 1, "connections to the old address are stale");
    assert_eq!(harness.submit("left"), None);
    harness.apply_list(&list(3, false, vec![record("r", "10.2.0.1:80", Draining)]));
    let forwarded = harness.submit("right");
    assert_eq!(
        harness.address_of(forwarded).as_deref(),
        Some("10.2.0.9:80")
    );
}

#[test]
fn an_endpoint_without_a_service_gets_no_requests_until_a_selector_matches_it() {
    let mut harness = Harness::new(&two_services(), vec![record("x", "10.9.0.1:80", Serving)]);
    assert_eq!(harness.submit("left"), None);
    let selector = EndpointSelector::network("10.9.0.0/24".parse().unwrap());
    harness
        .engine
        .change_directory(DirectoryChange::Assign {
            selector,
            service: "left".into(),
        })
        .unwrap();
    let forwarded = harness.submit("left");
    assert_eq!(
        harness.address_of(forwarded).as_deref(),
        Some("10.9.0.1:80")
    );
}

#[test]
fn a_rejected_change_has_no_effect() {
    let mut harness = Harness::new(&two_services(), one_endpoint_each());
    let invalid = DirectoryChange::SetRoute {
        route: "left".into(),
        service: "nowhere".into(),
    };
    let rejected = harness.engine.change_directory(invalid);
    assert_eq!(
        rejected,
        Err(DirectoryError::UnknownService {
            name: "nowhere".into()
        })
    );
    let forwarded = harness.submit("left");
    assert_eq!(
        harness.address_of(forwarded).as_deref(),
        Some("10.1.0.1:80")
    );
}

/// Returns a harness with this many services, each of which has ten endpoints.
fn harness_with_services(services: u32) -> Harness {
    let mut directory = Directory::new(BOUNDS);
    let mut records = Vec::new();
    for n in 0..services {
        let name: Arc<str> = format!("service-{n}").into();
        let network = format!("10.{}.{}.0/24", n / 256, n % 256);
        directory
            .apply(DirectoryChange::AddService {
                name: Arc::clone(&name),
            })
            .unwrap();
        let selector = EndpointSelector::network(network.parse().unwrap());
        directory
            .apply(DirectoryChange::Assign {
                selector,
                service: Arc::clone(&name),
            })
            .unwrap();
        directory
            .apply(DirectoryChange::SetRoute {
                route: Arc::clone(&name),
                service: name,
            })
            .unwrap();
        for host in 1..=10 {
            let address = format!("10.{}.{}.{host}:80", n / 256, n % 256);
            records.push(record(&format!("s-{n}-{host}"), &address, Serving));
        }
    }
    Harness::new(&directory, records)
}

/// Returns the shortest time of several runs, since other load on the machine only increases it.
fn min_time(mut run: impl FnMut()) -> Duration {
    let once = |run: &mut dyn FnMut()| {
        let started_at = Instant::now();
        run();
        started_at.elapsed()
    };
    (0..7).map(|_| once(&mut run)).min().unwrap_or_default()
}

#[test]
fn requests_and_changes_cost_the_same_with_thirty_times_the_endpoints() {
    let costs = [100, 3000].map(|services| {
        let mut harness = harness_with_services(services);
        let mut revision = 1;
        let requests = min_time(|| {
            for n in 0..100 {
                let forwarded = harness.submit(&format!("service-{n}")).expect("sent");
                assert!(harness.complete_attempt(forwarded));
            }
        });
        let changes = min_time(|| {
            for n in 0..100 {
                revision += 1;
                let state = if revision % 2 == 0 { Draining } else { Serving };
                harness.apply_list(&list(
                    revision,
                    false,
                    vec![record(
                        &format!("s-{n}-1"),
                        &format!("10.0.{n}.1:80"),
                        state,
                    )],
                ));
            }
        });
        (requests, changes)
    });
    let [(request_small, change_small), (request_large, change_large)] = costs;
    // A linear search would increase the cost thirtyfold. The limit allows for cache misses.
    assert!(
        request_large < request_small * 6,
        "requests: {request_small:?}, {request_large:?}"
    );
    assert!(
        change_large < change_small * 6,
        "changes: {change_small:?}, {change_large:?}"
    );
}
