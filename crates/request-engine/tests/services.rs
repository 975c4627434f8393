//! Services in the engine: routes and endpoints that move while requests are in flight, each at its
//! own cost.

mod common;

use common::{class, ms};
use roseyard_decision::*;
use roseyard_request_engine::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use EndpointRecordState::{Draining, Serving};

type Engine = RequestEngine<u64, (), u64>;

const START: Duration = Duration::from_secs(86_400);
const BOUNDS: DirectoryBounds = DirectoryBounds {
    services: 100_000,
    routes: 100_000,
};

/// One non-idempotent class, one plan without a quota, and no counter.
fn settings() -> Settings {
    let base = common::settings();
    let plan = Plan {
        rate: 0.0,
        burst: 0.0,
        ..base.plans[0].clone()
    };
    Settings {
        ingress_count: 1,
        classes: vec![class(Idempotency::NonIdempotent)],
        plans: vec![plan],
        counter: None,
        load_reports_on_health_check: false,
        permissions: Permissions {
            hedging: false,
            health_checks: false,
            ..base.permissions
        },
        ..base
    }
}

fn record(uid: &str, address: &str, state: EndpointRecordState) -> EndpointRecord {
    EndpointRecord {
        uid: uid.into(),
        address: address.into(),
        zone: String::new(),
        cell: 0,
        state,
        weight: 1.0,
        started_at_unix_ms: 0.0,
    }
}

fn list(revision: u64, is_full: bool, endpoints: Vec<EndpointRecord>) -> EndpointListMessage {
    EndpointListMessage {
        revision,
        is_full,
        endpoints,
        unreadable: 0,
    }
}

/// Two services, a network and a route for each.
fn two_services() -> Directory {
    let mut directory = Directory::new(BOUNDS);
    for (service, network) in [("left", "10.1.0.0/16"), ("right", "10.2.0.0/16")] {
        let name: Arc<str> = service.into();
        directory
            .apply(DirectoryChange::AddService {
                name: Arc::clone(&name),
            })
            .unwrap();
        let endpoints = EndpointSelector::network(network.parse().unwrap());
        directory
            .apply(DirectoryChange::Assign {
                endpoints,
                service: Arc::clone(&name),
            })
            .unwrap();
        directory
            .apply(DirectoryChange::SetRoute {
                route: service.into(),
                service: name,
            })
            .unwrap();
    }
    directory
}

struct Harness {
    engine: Engine,
    now: Duration,
    next: u64,
}

impl Harness {
    fn new(directory: &Directory, endpoints: Vec<EndpointRecord>) -> Harness {
        let mut engine = Engine::new(
            settings(),
            5,
            EngineLimits {
                requests: 10_000,
                bytes: 1 << 20,
            },
        )
        .unwrap();
        engine.set_directory(directory).unwrap();
        let mut harness = Harness {
            engine,
            now: START,
            next: 0,
        };
        harness.apply_list(&list(1, true, endpoints));
        harness
    }

    fn apply_list(&mut self, list: &EndpointListMessage) -> Vec<EndpointId> {
        let applied = self.engine.apply_endpoint_list(list, &[], |_| None);
        assert_eq!(applied.unreadable, 0);
        assert_eq!(self.run(), None);
        applied.stale
    }

    /// Carries out all outputs; the last attempt that is forwarded, with its endpoint.
    fn run(&mut self) -> Option<(Key, u16, EndpointId)> {
        let mut forwarded = None;
        while let Some(output) = self.engine.poll(self.now) {
            if let Output::Forward {
                request,
                attempt,
                endpoint,
                ..
            } = output
            {
                forwarded = Some((request, attempt, endpoint));
            }
        }
        forwarded
    }

    fn submit(&mut self, route: &str) -> Option<(Key, u16, EndpointId)> {
        self.next += 1;
        let service = self
            .engine
            .directory()
            .service_of_route(route)
            .expect("a route");
        let submission = Submission {
            owner: self.next,
            service,
            class: 0,
            plan: 0,
            customer: CustomerId(self.next),
            units: 1.0,
            ingress_count: 1,
            time_left: ms(3000),
            is_retry: false,
            command: (),
            bytes: 1,
        };
        self.engine.submit(submission).unwrap();
        self.now += ms(20);
        self.run()
    }

    fn address_of(&self, forwarded: Option<(Key, u16, EndpointId)>) -> Option<String> {
        forwarded
            .and_then(|(.., endpoint)| self.engine.address(endpoint))
            .map(|address| address.to_string())
    }

    fn served(&mut self, (request, attempt, _): (Key, u16, EndpointId)) -> bool {
        let result = AttemptResult {
            outcome: Outcome::Ok,
            value: Some(1),
            true_units: None,
            load: None,
        };
        self.engine
            .on_attempt_ended(request, attempt, result, self.now);
        let mut served = false;
        while let Some(output) = self.engine.poll(self.now) {
            served |= matches!(
                output,
                Output::Respond {
                    response: Response::Served(1),
                    ..
                }
            );
        }
        served
    }
}

fn one_each() -> Vec<EndpointRecord> {
    vec![
        record("l", "10.1.0.1:80", Serving),
        record("r", "10.2.0.1:80", Serving),
    ]
}

#[test]
fn a_route_leads_to_the_endpoints_of_its_service() {
    let mut harness = Harness::new(&two_services(), one_each());
    for _ in 0..20 {
        for (route, address) in [("left", "10.1.0.1:80"), ("right", "10.2.0.1:80")] {
            let forwarded = harness.submit(route);
            assert_eq!(harness.address_of(forwarded).as_deref(), Some(address));
            assert!(harness.served(forwarded.unwrap()));
        }
    }
}

#[test]
fn a_route_that_moves_leaves_requests_in_flight_where_they_are() {
    let mut harness = Harness::new(&two_services(), one_each());
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
        "it continues"
    );
    let next = harness.submit("left");
    assert_eq!(harness.address_of(next).as_deref(), Some("10.2.0.1:80"));
    assert!(harness.served(in_flight), "one response, and no retry");
}

#[test]
fn an_endpoint_that_moves_serves_its_new_service_and_finishes_what_it_has() {
    let mut harness = Harness::new(&two_services(), one_each());
    let in_flight = harness.submit("left").unwrap();
    let endpoints = EndpointSelector::uid("l");
    harness
        .engine
        .change_directory(DirectoryChange::Assign {
            endpoints,
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
            forwarded.map(|forwarded| harness.served(forwarded));
            address
        })
        .collect();
    assert!(
        addresses.iter().any(|a| a == "10.1.0.1:80"),
        "it serves the other service"
    );
    assert!(harness.served(in_flight));
    // And back, by a full directory that is read anew.
    let changes = harness.engine.set_directory(&two_services()).unwrap();
    assert_eq!(changes, 1, "one selector differs");
    let back = harness.submit("left");
    assert_eq!(harness.address_of(back).as_deref(), Some("10.1.0.1:80"));
}

#[test]
fn an_endpoint_whose_address_changes_belongs_to_the_service_of_the_new_address() {
    let mut harness = Harness::new(&two_services(), one_each());
    let stale = harness.apply_list(&list(2, false, vec![record("l", "10.2.0.9:80", Serving)]));
    assert_eq!(stale.len(), 1, "its connections lead to the old address");
    assert_eq!(harness.submit("left"), None);
    harness.apply_list(&list(3, false, vec![record("r", "10.2.0.1:80", Draining)]));
    let forwarded = harness.submit("right");
    assert_eq!(
        harness.address_of(forwarded).as_deref(),
        Some("10.2.0.9:80")
    );
}

#[test]
fn an_endpoint_without_a_service_gets_nothing_until_a_selector_names_it() {
    let mut harness = Harness::new(&two_services(), vec![record("x", "10.9.0.1:80", Serving)]);
    assert_eq!(harness.submit("left"), None);
    let endpoints = EndpointSelector::network("10.9.0.0/24".parse().unwrap());
    harness
        .engine
        .change_directory(DirectoryChange::Assign {
            endpoints,
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
fn a_rejected_change_leaves_everything_as_it_was() {
    let mut harness = Harness::new(&two_services(), one_each());
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

/// A platform of so many services with ten endpoints each.
fn platform(services: u32) -> Harness {
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
        let endpoints = EndpointSelector::network(network.parse().unwrap());
        directory
            .apply(DirectoryChange::Assign {
                endpoints,
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

/// The least time of a few runs: other load of the machine only adds to it.
fn least(mut run: impl FnMut()) -> Duration {
    let once = |run: &mut dyn FnMut()| {
        let started_at = Instant::now();
        run();
        started_at.elapsed()
    };
    (0..7).map(|_| once(&mut run)).min().unwrap_or_default()
}

#[test]
fn a_request_and_a_change_cost_the_same_at_thirty_times_the_endpoints() {
    let costs = [100, 3000].map(|services| {
        let mut harness = platform(services);
        let mut revision = 1;
        let requests = least(|| {
            for n in 0..100 {
                let forwarded = harness.submit(&format!("service-{n}")).expect("sent");
                assert!(harness.served(forwarded));
            }
        });
        let changes = least(|| {
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
    // A walk over all endpoints would cost thirty times as much; the bound allows for cache misses.
    assert!(
        request_large < request_small * 6,
        "requests: {request_small:?}, {request_large:?}"
    );
    assert!(
        change_large < change_small * 6,
        "changes: {change_small:?}, {change_large:?}"
    );
}
