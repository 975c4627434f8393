//! What clients request: of tenants evenly, of services by their size.

use crate::checker::History;
use crate::client_load::{generate_with, LoadOutcome, OpenLoopLoad};
use crate::request::request_through;
use crate::scale::topology::ServiceTopology;
use rand::rngs::StdRng;
use rand::RngExt;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Addresses that clients connect from.
const CLIENT_ADDRESSES: u8 = 200;
/// A service's weight is divided among its routes in integer shares.
const ROUTE_SHARES: u64 = 1000;

/// A route that is requested.
#[derive(Clone, Copy, Debug)]
struct WeightedRoute {
    /// The sum of the weights up to and with this route.
    weight_sum: u64,
    route: u32,
}

/// Routes by the weights of their services; none where services have no names.
#[derive(Clone, Debug)]
pub(super) struct Routes(Vec<WeightedRoute>);

impl Routes {
    /// The routes of all services.
    pub(super) fn of_all(topology: &ServiceTopology) -> Routes {
        Routes::of(topology, 0..topology.services.len() as u32)
    }

    /// The routes of some services. A service's weight is its size, and is divided evenly among its
    /// routes.
    pub(super) fn of(topology: &ServiceTopology, services: Range<u32>) -> Routes {
        let mut routes = Vec::new();
        let mut weight_sum = 0;
        for service in services.filter(|_| topology.named) {
            let service_routes: Vec<u32> = topology.routes_of(service).collect();
            let servers = topology.services[service as usize].servers;
            let weight = u64::from(servers) * ROUTE_SHARES;
            for route in &service_routes {
                weight_sum += weight / service_routes.len() as u64;
                routes.push(WeightedRoute {
                    weight_sum,
                    route: *route,
                });
            }
        }
        Routes(routes)
    }

    /// The parameter that names a random route.
    fn parameter(&self, random: &mut StdRng) -> String {
        let Some(last) = self.0.last() else {
            return String::new();
        };
        let drawn = random.random_range(0..last.weight_sum);
        let index = self.0.partition_point(|route| route.weight_sum <= drawn);
        format!(",route=r{}", self.0[index].route)
    }
}

/// The requests of tenants for the routes of services.
#[derive(Clone, Debug)]
pub(super) struct TenantLoad {
    /// Requests a second.
    pub rate: f64,
    /// Tenants.
    pub tenants: u64,
    /// Ingresses through which a tenant's requests come.
    pub ingress_count: u32,
    /// May a request be executed more than once? An ingress retries such a one if its server seems
    /// unresponsive.
    pub idempotent: bool,
    /// For times, tenants and routes.
    pub seed: u64,
    /// The routes that are requested.
    pub routes: Routes,
}

impl TenantLoad {
    /// The same with other times, tenants and routes.
    pub(super) fn with_seed(&self, seed: u64) -> TenantLoad {
        TenantLoad {
            seed,
            ..self.clone()
        }
    }

    /// The same with requests that are not idempotent.
    pub(super) fn non_idempotent(&self) -> TenantLoad {
        TenantLoad {
            idempotent: false,
            ..self.clone()
        }
    }

    /// The same at another rate.
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

    /// Plays it in an open loop for this long.
    pub(super) async fn generate(&self, destination: SocketAddr, length: Duration) -> LoadOutcome {
        self.generate_recorded(destination, length, None).await
    }

    /// The same; requests and responses are recorded in the history.
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

    /// Sends one request of each tenant at this rate.
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
