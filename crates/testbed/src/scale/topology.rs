//! The division of servers into services, the addresses of the servers, and the files of the daemon
//! that contain both.

use serde_json::{json, Value};
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};

/// The first address of the first network of servers.
const FIRST_NETWORK: u32 = u32::from_be_bytes([127, 1, 0, 0]);
/// The number of servers in a network; its first and last address are not used.
const SERVERS_PER_NETWORK: u32 = 254;
/// The number of addresses in a network.
const ADDRESSES_PER_NETWORK: u32 = 256;
/// The file descriptor limit in the daemon's configuration.
const DESCRIPTORS: usize = 4096;
/// The memory limit in the daemon's configuration.
const MEMORY_MB: usize = 192;
/// The number of bisections to find the exponent of the power law.
const BISECTION_STEPS: usize = 60;
/// The upper end of the range in which the exponent of the power law is searched.
const MAX_EXPONENT: f64 = 8.0;

/// A service, which owns a range of consecutive networks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Service {
    /// The number of servers.
    pub servers: u32,
    /// The index of the first network of the service.
    first_network: u32,
}

impl Service {
    fn networks(&self) -> u32 {
        self.servers.div_ceil(SERVERS_PER_NETWORK)
    }

    /// Returns the networks of the service in the notation of the operator's file.
    pub(crate) fn network_names(&self) -> impl Iterator<Item = String> + '_ {
        (0..self.networks()).map(|network| {
            let first = FIRST_NETWORK + (self.first_network + network) * ADDRESSES_PER_NETWORK;
            format!("{}/24", Ipv4Addr::from(first))
        })
    }

    /// Returns the addresses of the servers.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        (0..self.servers).map(|number| {
            let network = self.first_network + number / SERVERS_PER_NETWORK;
            let host = 1 + number % SERVERS_PER_NETWORK;
            Ipv4Addr::from(FIRST_NETWORK + network * ADDRESSES_PER_NETWORK + host)
        })
    }
}

/// The services of a platform with their servers and routes.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTopology {
    /// The services, in descending order of size.
    pub services: Vec<Service>,
    /// The number of routes. Route n belongs to service n modulo the number of services.
    pub routes: u32,
    /// Whether the operator's file has a `services` section.
    pub named: bool,
}

impl ServiceTopology {
    /// Puts all servers in one unnamed service, for an operator's file without a `services`
    /// section.
    pub(crate) fn unnamed(servers: u32) -> ServiceTopology {
        ServiceTopology {
            named: false,
            ..ServiceTopology::with_sizes(&[servers], 1)
        }
    }

    /// Divides `servers` servers into `services` services whose sizes follow a power law; the first
    /// has `largest` servers.
    pub(crate) fn long_tail(
        servers: u32,
        services: u32,
        largest: u32,
        routes: u32,
    ) -> ServiceTopology {
        ServiceTopology::with_sizes(&long_tail(servers, services, largest), routes)
    }

    fn with_sizes(sizes: &[u32], routes: u32) -> ServiceTopology {
        let mut next_network = 0;
        let service = |servers: &u32| {
            let service = Service {
                servers: *servers,
                first_network: next_network,
            };
            next_network += service.networks();
            service
        };
        ServiceTopology {
            services: sizes.iter().map(service).collect(),
            routes,
            named: true,
        }
    }

    /// Returns the index of an address among the addresses of all networks; `None` for an address
    /// below the first network.
    pub(crate) fn slot(address: Ipv4Addr) -> Option<usize> {
        u32::from(address)
            .checked_sub(FIRST_NETWORK)
            .map(|slot| slot as usize)
    }

    /// Returns an exclusive upper bound of [`ServiceTopology::slot`] for the addresses of servers.
    pub(crate) fn slots(&self) -> usize {
        let networks: u32 = self.services.iter().map(Service::networks).sum();
        ((networks + 1) * ADDRESSES_PER_NETWORK) as usize
    }

    /// Returns an address in the last network of the last service that no server uses.
    pub(crate) fn spare_address(&self) -> Ipv4Addr {
        let last = self
            .services
            .last()
            .map_or(0, |service| service.first_network + service.networks() - 1);
        Ipv4Addr::from(FIRST_NETWORK + last * ADDRESSES_PER_NETWORK + ADDRESSES_PER_NETWORK - 1)
    }

    /// Returns the routes of a service.
    pub(crate) fn routes_of(&self, service: u32) -> impl Iterator<Item = u32> {
        (service..self.routes).step_by(self.services.len())
    }

    /// Returns the complete endpoint list in the encoding of discovery.
    pub(crate) fn list(&self, port: u16) -> Value {
        let addresses = self.services.iter().flat_map(Service::addresses);
        let targets: Vec<Value> = addresses
            .map(|address| target(address, port, "SERVING", 0.0))
            .collect();
        json!({"rev": 1, "all": true, "targets": targets})
    }

    /// Returns the daemon's configuration; `known` is the endpoint list that the daemon has at
    /// startup.
    pub(crate) fn configuration(
        &self,
        counter: Option<SocketAddr>,
        discovery: SocketAddr,
        known: &Value,
        settings: &Value,
    ) -> String {
        json!({
            "name": "scale", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "counter": counter.map(|address| address.to_string()), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "known": known, "settings": settings
        })
        .to_string()
    }

    /// Returns the operator's file, with the networks and routes of the services if they are named.
    pub(crate) fn operator_file(&self) -> String {
        self.operator_file_of("s")
    }

    /// Returns the operator's file with services named by this prefix and an index.
    pub(crate) fn operator_file_of(&self, prefix: &str) -> String {
        self.file(prefix, |route| route % self.services.len() as u32)
    }

    /// Returns the operator's file with each route moved to the next service.
    pub(crate) fn operator_file_moved(&self) -> String {
        self.file("s", |route| (route + 1) % self.services.len() as u32)
    }

    fn file(&self, prefix: &str, service_of: impl Fn(u32) -> u32) -> String {
        let mut text = String::from("admission {\n    by-address #false\n}\n");
        if !self.named {
            return text;
        }
        text.push_str("services {\n    route-field \"route\"\n");
        for (number, service) in self.services.iter().enumerate() {
            let _ = write!(text, "    service \"{prefix}{number}\" {{ servers");
            for network in service.network_names() {
                let _ = write!(text, " \"{network}\"");
            }
            text.push_str(" }\n");
        }
        for route in 0..self.routes {
            let _ = writeln!(
                text,
                "    route \"r{route}\" service=\"{prefix}{}\"",
                service_of(route)
            );
        }
        text.push_str("}\n");
        text
    }
}

/// Returns the endpoint list entry of a server in the encoding of discovery.
pub(crate) fn target(address: Ipv4Addr, port: u16, state: &str, boot_ms: f64) -> Value {
    json!({"uid": format!("s-{address}"), "endpoint": SocketAddr::from((address, port)).to_string(), "az": "lab",
        "model": "m", "pod_group": u32::from(address) as u16, "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms})
}

/// Returns `count` sizes with this sum. The size decreases from `largest` by a power of its rank
/// and is at least 1.
fn long_tail(sum: u32, count: u32, largest: u32) -> Vec<u32> {
    let sizes_by = |exponent: f64| {
        let size = |rank: u32| {
            (f64::from(largest) / f64::from(rank).powf(exponent))
                .round()
                .max(1.0) as u32
        };
        (1..=count).map(size).collect::<Vec<_>>()
    };
    let mut flat = 0.0;
    let mut steep = MAX_EXPONENT;
    for _ in 0..BISECTION_STEPS {
        let middle = (flat + steep) / 2.0;
        let total: u64 = sizes_by(middle).into_iter().map(u64::from).sum();
        if total > u64::from(sum) {
            flat = middle;
        } else {
            steep = middle;
        }
    }
    let mut sizes = sizes_by(steep);
    let missing = sum.saturating_sub(sizes.iter().sum());
    // The servers that remain due to rounding are distributed over the services after the largest.
    let receivers = (sizes.len() - 1).max(1);
    for number in 0..missing as usize {
        let receiver = sizes.len().min(2) - 1 + number % receivers;
        sizes[receiver] += 1;
    }
    sizes
}
