//! The requests of clients: evenly distributed over tenants, and over services in proportion to
//! their sizes.

use crate::checker::History;
use crate::client_load::{generate_with, LoadOutcome, OpenLoopLoad};
use crate::request::request_through;
use crate::scale::topology::ServiceTopology;
use rand::rngs::StdRng;
use rand::RngExt;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// The number of addresses that clients connect from.
const CLIENT_ADDRESSES: u8 = 200;
/// Weight of a service per server; large enough to be divided among its routes in integers.
const WEIGHT_PER_SERVER: u64 = 1000;

/// A route and its cumulative weight.
#[derive(Clone, Copy, Debug)]
struct WeightedRoute {
    /// The sum of the weights of this route and all routes before it.
    cumulative_weight: u64,
    route: u32,
}

/// Routes, weighted by the sizes of their services; empty if the services are unnamed.
#[derive(Clone, Debug)]
pub(super) struct Routes(Vec<WeightedRoute>);

impl Routes {
    /// Returns the routes of all services.
    pub(super) fn of_all(topology: &ServiceTopology) -> Routes {
        Routes::of(topology, 0..topology.services.len() as u32)
    }

    /// Returns the routes of the given services. A service's weight is proportional to its number
    /// of servers and is divided evenly among its routes.
    pub(super) fn of(topology: &ServiceTopology, services: Range<u32>) -> Routes {
        let mut routes = Vec::new();
        let mut cumulative_weight = 0;
        for service in services.filter(|_| topology.named) {
            let service_routes: Vec<u32> = topology.routes_of(service).collect();
            let servers = topology.services[service as usize].servers;
            let weight = u64::from(servers) * WEIGHT_PER_SERVER;
            for route in &service_routes {
                cumulative_weight += weight / service_routes.len() as u64;
                routes.push(WeightedRoute {
                    cumulative_weight,
                    route: *route,
                });
            }
        }
        Routes(routes)
    }

    /// Returns the request parameter that names a randomly chosen route, or an empty string if
    /// there are no routes.
    fn parameter(&self, random: &mut StdRng) -> String {
        let Some(last) = self.0.last() else {
            return String::new();
        };
        let drawn = random.random_range(0..last.cumulative_weight);
        let index = self
            .0
            .partition_point(|route| route.cumulative_weight <= drawn);
        format!(",route=r{}", self.0[index].route)
    }
}

/// An open-loop load of requests from tenants to the routes of services.
#[derive(Clone, Debug)]
pub(super) struct TenantLoad {
    /// Requests per second.
    pub rate: f64,
    /// The number of tenants.
    pub tenants: u64,
    /// The number of ingresses that a tenant's requests are spread over.
    pub ingress_count: u32,
    /// Whether a request may be executed more than once. An ingress retries such a request if its
    /// server seems unresponsive.
    pub idempotent: bool,
    /// Seed of the request times and of the choice of tenants and routes.
    pub seed: u64,
    /// The routes that requests are sent to.
    pub routes: Routes,
}

impl TenantLoad {
    /// Returns the load with another seed.
    pub(super) fn with_seed(&self, seed: u64) -> TenantLoad {
        TenantLoad {
            seed,
            ..self.clone()
        }
    }

    /// Returns the load with requests that are not idempotent.
    pub(super) fn non_idempotent(&self) -> TenantLoad {
        TenantLoad {
            idempotent: false,
            ..self.clone()
        }
    }

    /// Returns the load at another rate, in requests per second.
    pub(super) fn with_rate(&self, rate: f64) -> TenantLoad {
        TenantLoad {
            rate,
            ..self.clone()
        }
    }

    fn encode(&self, random: &mut StdRng, tenant: u64, id: u64) -> Vec<u8> {
        let route = self.routes.parameter(random);
        request_through(self.idempotent, tenant, id, self.ingress_count, &route)
    }

    /// Generates the load for `length`, and waits for the responses.
    pub(super) async fn generate(&self, destination: SocketAddr, length: Duration) -> LoadOutcome {
        self.generate_recorded(destination, length, None).await
    }

    /// Like [`TenantLoad::generate`], but also records requests and responses in the history.
    pub(super) async fn generate_recorded(
        &self,
        destination: SocketAddr,
        length: Duration,
        history: Option<&History>,
    ) -> LoadOutcome {
        let encode = |random: &mut StdRng, tenant, id| self.encode(random, tenant, id);
        let load = self.open_loop(self.rate);
        generate_with(load, destination, length, history, encode).await
    }

    /// Sends one request for each tenant, at `rate` requests per second.
    pub(super) async fn generate_for_each_tenant(
        &self,
        destination: SocketAddr,
        rate: f64,
    ) -> LoadOutcome {
        let mut tenant = 0;
        let encode = |random: &mut StdRng, _, id| {
            tenant = tenant % self.tenants + 1;
            self.encode(random, tenant, id)
        };
        let length = Duration::from_secs_f64(self.tenants as f64 / rate);
        generate_with(self.open_loop(rate), destination, length, None, encode).await
    }

    fn open_loop(&self, rate: f64) -> OpenLoopLoad {
        OpenLoopLoad {
            rate,
            customers: self.tenants,
            addresses: CLIENT_ADDRESSES,
            reconnect_ratio: 0.0,
            idempotent: self.idempotent,
            seed: self.seed,
        }
    }
}
