//! A harness that drives an engine with a directory of services.

use super::common::{self, class, ms};
use roseyard_decision::*;
use roseyard_request_engine::*;
use std::sync::Arc;
use std::time::Duration;

type Engine = RequestEngine<u64, (), u64>;

const START: Duration = Duration::from_secs(86_400);
pub(crate) const BOUNDS: DirectoryBounds = DirectoryBounds {
    services: 100_000,
    routes: 100_000,
};

/// Returns settings with a non-idempotent class, a plan without a quota, and no counter.
pub(crate) fn settings() -> Settings {
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

pub(crate) fn record(uid: &str, address: &str, state: EndpointRecordState) -> EndpointRecord {
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

pub(crate) fn list(
    revision: u64,
    is_full: bool,
    endpoints: Vec<EndpointRecord>,
) -> EndpointListMessage {
    EndpointListMessage {
        revision,
        is_full,
        endpoints,
        unreadable_count: 0,
    }
}

/// Returns a directory with two services, each of which has a network and a route.
pub(crate) fn two_services() -> Directory {
    let mut directory = Directory::new(BOUNDS);
    for (service, network) in [("left", "10.1.0.0/16"), ("right", "10.2.0.0/16")] {
        let name: Arc<str> = service.into();
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
                route: service.into(),
                service: name,
            })
            .unwrap();
    }
    directory
}

pub(crate) struct Harness {
    pub(crate) engine: Engine,
    pub(crate) now: Duration,
    next: u64,
}

impl Harness {
    pub(crate) fn new(directory: &Directory, endpoints: Vec<EndpointRecord>) -> Harness {
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

    pub(crate) fn apply_list(&mut self, list: &EndpointListMessage) -> Vec<EndpointId> {
        let applied = self.engine.apply_endpoint_list(list, &[], |_| None);
        assert_eq!(applied.unreadable_count, 0);
        assert_eq!(self.run(), None);
        applied.stale_endpoints
    }

    /// Takes all outputs and returns the last attempt that was forwarded, with its endpoint.
    pub(crate) fn run(&mut self) -> Option<(Key, u16, EndpointId)> {
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

    /// Submits a request for this route and returns its attempt; `None` if none was forwarded.
    pub(crate) fn submit(&mut self, route: &str) -> Option<(Key, u16, EndpointId)> {
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

    pub(crate) fn address_of(&self, forwarded: Option<(Key, u16, EndpointId)>) -> Option<String> {
        forwarded
            .and_then(|(.., endpoint)| self.engine.address(endpoint))
            .map(|address| address.to_string())
    }

    /// Ends the attempt successfully and returns whether the request was served.
    pub(crate) fn complete_attempt(
        &mut self,
        (request, attempt, _): (Key, u16, EndpointId),
    ) -> bool {
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
