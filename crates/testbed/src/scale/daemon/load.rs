//! What clients ask: tenants evenly, services by their size.

use crate::checker::History;
use crate::client_load::{play_with, LoadOutcome, OpenLoopLoad};
use crate::request::request_through;
use crate::scale::topology::ServiceTopology;
use rand::rngs::StdRng;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Addresses that clients come from.
const CLIENT_ADDRESSES: u8 = 200;

/// Whom requests are of, and what they are for.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Requests a second.
    pub rate: f64,
    /// Tenants.
    pub tenants: u64,
    /// Ingresses through which a tenant's requests come.
    pub spread: u32,
    /// May its requests be sent on twice? An ingress moves such a one away from a server that looks
    /// silent.
    pub idempotent: bool,
    /// For times, tenants and services.
    pub seed: u64,
    /// The routes that are asked for, each with the sum of the weights up to it; none where
    /// services have no names.
    routes: Vec<(u64, u32)>,
}

impl Load {
    /// For all services by their size.
    pub(super) fn of(
        topology: &ServiceTopology,
        rate: f64,
        tenants: u64,
        spread: u32,
        seed: u64,
    ) -> Load {
        Load::for_services(
            topology,
            0..topology.services.len() as u32,
            rate,
            tenants,
            spread,
            seed,
        )
    }

    /// For some services by their size; each route of a service has an even part of it.
    pub(super) fn for_services(
        topology: &ServiceTopology,
        services: impl Iterator<Item = u32>,
        rate: f64,
        tenants: u64,
        spread: u32,
        seed: u64,
    ) -> Load {
        let (mut routes, mut sum) = (Vec::new(), 0);
        for service in services.filter(|_| topology.named) {
            let of_service: Vec<u32> = topology.routes_of(service).collect();
            let weight = u64::from(topology.services[service as usize].servers) * ROUTE_SHARES;
            for route in &of_service {
                sum += weight / of_service.len() as u64;
                routes.push((sum, *route));
            }
        }
        Load {
            rate,
            tenants,
            spread,
            idempotent: true,
            seed,
            routes,
        }
    }

    /// The same with other times, tenants and services.
    pub(super) fn with_seed(&self, seed: u64) -> Load {
        Load {
            seed,
            ..self.clone()
        }
    }

    /// The same with requests that must never run twice.
    pub(super) fn never_twice(&self) -> Load {
        Load {
            idempotent: false,
            ..self.clone()
        }
    }

    /// The same at another rate.
    pub(super) fn with_rate(&self, rate: f64) -> Load {
        Load {
            rate,
            ..self.clone()
        }
    }

    /// What a request adds to its list of names and values.
    fn route(&self, random: &mut StdRng) -> String {
        let Some((sum, _)) = self.routes.last() else {
            return String::new();
        };
        let drawn = random.random_range(0..*sum);
        let at = self.routes.partition_point(|(up_to, _)| *up_to <= drawn);
        format!(",route=r{}", self.routes[at].1)
    }

    /// Plays it in an open loop for so long.
    pub(super) async fn play(&self, to: SocketAddr, length: Duration) -> LoadOutcome {
        self.play_noted(to, length, None).await
    }

    /// The same, with what was asked and answered noted in the ledger.
    pub(super) async fn play_noted(
        &self,
        to: SocketAddr,
        length: Duration,
        history: Option<&History>,
    ) -> LoadOutcome {
        let word = |random: &mut StdRng, tenant, id| {
            let route = self.route(random);
            request_through(self.idempotent, tenant, id, self.spread, &route)
        };
        play_with(self.clients(self.rate), to, length, history, word).await
    }

    /// Asks once for each tenant at this rate.
    pub(super) async fn play_each_tenant(&self, to: SocketAddr, rate: f64) -> LoadOutcome {
        let mut tenant = 0;
        let word = |random: &mut StdRng, _, id| {
            tenant = tenant % self.tenants + 1;
            let route = self.route(random);
            request_through(self.idempotent, tenant, id, self.spread, &route)
        };
        let length = Duration::from_secs_f64(self.tenants as f64 / rate);
        play_with(self.clients(rate), to, length, None, word).await
    }

    fn clients(&self, rate: f64) -> OpenLoopLoad {
        let (customers, addresses, idempotent) = (self.tenants, CLIENT_ADDRESSES, self.idempotent);
        OpenLoopLoad {
            rate,
            customers,
            addresses,
            reconnect_ratio: 0.0,
            idempotent,
            seed: self.seed,
        }
    }
}

/// A service's weight is divided among its routes in whole shares.
const ROUTE_SHARES: u64 = 1000;
