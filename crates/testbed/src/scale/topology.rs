//! The servers of a platform: their division into services, their addresses, and the daemon's files
//! that name them.

use serde_json::{json, Value};
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};

/// Where the first network of servers begins.
const FIRST_NETWORK: u32 = u32::from_be_bytes([127, 1, 0, 0]);
/// Servers in one network of 256 addresses: all but its first and last address.
const NETWORK_SERVERS: u32 = 254;
/// Addresses of a network.
const NETWORK_SIZE: u32 = 256;
/// Descriptors of the daemon.
const DESCRIPTORS: usize = 4096;
/// Memory in the daemon's configuration, in MB.
const MEMORY_MB: usize = 192;
/// Bisections for the exponent of a long tail.
const BISECTIONS: usize = 60;
/// The steepest long tail.
const STEEPEST_EXPONENT: f64 = 8.0;

/// One service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Service {
    /// Its servers.
    pub servers: u32,
    /// Number of its first network; the others follow it.
    first_network: u32,
}

impl Service {
    fn networks(&self) -> u32 {
        self.servers.div_ceil(NETWORK_SERVERS)
    }

    /// Its networks, as the operator's file has them.
    pub(crate) fn network_names(&self) -> impl Iterator<Item = String> + '_ {
        (0..self.networks()).map(|network| {
            let first = FIRST_NETWORK + (self.first_network + network) * NETWORK_SIZE;
            format!("{}/24", Ipv4Addr::from(first))
        })
    }

    /// Where its servers listen.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        (0..self.servers).map(|number| {
            let network = self.first_network + number / NETWORK_SERVERS;
            let host = 1 + number % NETWORK_SERVERS;
            Ipv4Addr::from(FIRST_NETWORK + network * NETWORK_SIZE + host)
        })
    }
}

/// Servers by service; each service has networks of its own.
#[derive(Clone, Debug)]
pub(crate) struct ServiceTopology {
    /// The services, the largest first.
    pub services: Vec<Service>,
    /// Routes; the n-th names the service of number n modulo the number of services.
    pub routes: u32,
    /// Does the operator's file name services?
    pub named: bool,
}

impl ServiceTopology {
    /// All servers in one service without a name, as without a section on services.
    pub(crate) fn unnamed(servers: u32) -> ServiceTopology {
        ServiceTopology {
            named: false,
            ..ServiceTopology::with_sizes(&[servers], 1)
        }
    }

    /// So many servers in this many services by a power law, the largest of this size.
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

    /// The number of a server's address among those of all networks; none for an address below
    /// them.
    pub(crate) fn slot(address: Ipv4Addr) -> Option<usize> {
        u32::from(address)
            .checked_sub(FIRST_NETWORK)
            .map(|slot| slot as usize)
    }

    /// The number of addresses of all networks.
    pub(crate) fn slots(&self) -> usize {
        let networks: u32 = self.services.iter().map(Service::networks).sum();
        ((networks + 1) * NETWORK_SIZE) as usize
    }

    /// An address that no server has, in the last network of the last service.
    pub(crate) fn spare_address(&self) -> Ipv4Addr {
        let last = self
            .services
            .last()
            .map_or(0, |service| service.first_network + service.networks() - 1);
        Ipv4Addr::from(FIRST_NETWORK + last * NETWORK_SIZE + NETWORK_SIZE - 1)
    }

    /// The routes that name a service.
    pub(crate) fn routes_of(&self, service: u32) -> impl Iterator<Item = u32> {
        (service..self.routes).step_by(self.services.len())
    }

    /// The complete endpoint list, as discovery sends it.
    pub(crate) fn list(&self, port: u16) -> Value {
        let addresses = self.services.iter().flat_map(Service::addresses);
        let targets: Vec<Value> = addresses
            .map(|address| target(address, port, "SERVING", 0.0))
            .collect();
        json!({"rev": 1, "all": true, "targets": targets})
    }

    /// The daemon's configuration; `known` is the endpoint list that it has at its start.
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

    /// The operator's file: services with their networks and routes, where they are named.
    pub(crate) fn operator_file(&self) -> String {
        self.operator_file_of("s")
    }

    /// The same with other names of services: this prefix and a number.
    pub(crate) fn operator_file_of(&self, prefix: &str) -> String {
        self.file(prefix, |route| route % self.services.len() as u32)
    }

    /// The same with each route moved to the service after its own.
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

/// One server as discovery encodes it.
pub(crate) fn target(address: Ipv4Addr, port: u16, state: &str, boot_ms: f64) -> Value {
    json!({"uid": format!("s-{address}"), "endpoint": SocketAddr::from((address, port)).to_string(), "az": "lab",
        "model": "m", "pod_group": u32::from(address) as u16, "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms})
}

/// Sizes of this sum that fall by a power of their rank from the largest on, each at least 1.
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
    let mut steep = STEEPEST_EXPONENT;
    for _ in 0..BISECTIONS {
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
    // Servers left by rounding go to the services after the largest, one each.
    let receivers = (sizes.len() - 1).max(1);
    for number in 0..missing as usize {
        let receiver = sizes.len().min(2) - 1 + number % receivers;
        sizes[receiver] += 1;
    }
    sizes
}
