//! The servers of a simulated platform, each at its own address, and the services that they are
//! divided into. Builds endpoint lists in the encoding of discovery.

use super::targets;
use super::topology::ServiceTopology;
use roseyard_request_engine::{Directory, DirectoryBounds, DirectoryChange, EndpointSelector};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

const PORT: u16 = 7000;
const ZONES: usize = 13;
/// The minimum number of servers of the largest service: twice the mean, so that it is larger than
/// the others in a small set of servers too.
const MIN_LARGEST_SERVICE: usize = 34;
const DIRECTORY_BOUNDS: DirectoryBounds = DirectoryBounds {
    services: 4_096,
    routes: 16_384,
};

/// The state of a server in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts requests.
    Serving,
    /// The server completes its open requests and accepts no new ones.
    Draining,
    /// The server has been removed.
    Deleted,
}

/// The successive states of a restarting server: the old process drains and is removed, then its
/// replacement serves.
pub const RESTART_STATES: [EndpointState; 3] = [
    EndpointState::Draining,
    EndpointState::Deleted,
    EndpointState::Serving,
];

/// A server in an endpoint list. A replacement has the same address and another generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The index of the server, from 0.
    pub server: usize,
    /// The number of replacements that the server has had.
    pub generation: u32,
    /// The state that discovery reports.
    pub state: EndpointState,
    /// The Unix time at which the server started, in milliseconds; 0 if it started long ago.
    pub started_unix_ms: u64,
}

impl EndpointEntry {
    /// Returns the entry of a serving server that started long ago.
    #[must_use]
    pub fn serving(server: usize) -> EndpointEntry {
        EndpointEntry {
            server,
            generation: 0,
            state: EndpointState::Serving,
            started_unix_ms: 0,
        }
    }
}

/// All servers with their addresses and services.
#[derive(Clone, Debug)]
pub struct EndpointSet {
    topology: ServiceTopology,
    addresses: Vec<Ipv4Addr>,
    service_of: Vec<usize>,
    /// The server at each address, indexed by [`ServiceTopology::slot`]; `usize::MAX` if none.
    server_at: Vec<usize>,
    /// One route to each service, by the index of the service.
    routes: Vec<String>,
}

impl EndpointSet {
    /// Creates `servers` servers: in services in proportion to the planned size if `by_service`,
    /// otherwise all in one unnamed service.
    #[must_use]
    pub fn new(servers: usize, by_service: bool) -> EndpointSet {
        if by_service {
            EndpointSet::by_service(servers)
        } else {
            EndpointSet::from_topology(ServiceTopology::unnamed(servers as u32))
        }
    }

    /// Creates `servers` servers in one unnamed service.
    #[must_use]
    pub fn single(servers: usize) -> EndpointSet {
        EndpointSet::new(servers, false)
    }

    fn by_service(servers: usize) -> EndpointSet {
        let services = (servers * targets::SERVICES / targets::SERVERS).max(1);
        let routes = (servers * targets::ROUTES / targets::SERVERS).max(services);
        let largest = (servers * targets::LARGEST_SERVICE / targets::SERVERS)
            .max(MIN_LARGEST_SERVICE)
            .min(servers);
        EndpointSet::from_topology(ServiceTopology::long_tail(
            servers as u32,
            services as u32,
            largest as u32,
            routes as u32,
        ))
    }

    fn from_topology(topology: ServiceTopology) -> EndpointSet {
        let in_service = |(number, service): (usize, &super::topology::Service)| {
            service
                .addresses()
                .map(move |address| (number, address))
                .collect::<Vec<_>>()
        };
        let placed: Vec<_> = topology
            .services
            .iter()
            .enumerate()
            .flat_map(in_service)
            .collect();
        let mut server_at = vec![usize::MAX; topology.slots()];
        for (server, (_, address)) in placed.iter().enumerate() {
            if let Some(slot) = ServiceTopology::slot(*address) {
                server_at[slot] = server;
            }
        }
        let (service_of, addresses) = placed.into_iter().unzip();
        let routes = (0..topology.services.len())
            .map(|service| format!("form-route-{service:05}"))
            .collect();
        EndpointSet {
            topology,
            addresses,
            service_of,
            server_at,
            routes,
        }
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.addresses.len()
    }

    /// Returns the number of servers of each service, in descending order.
    #[must_use]
    pub fn service_sizes(&self) -> Vec<usize> {
        self.topology
            .services
            .iter()
            .map(|service| service.servers as usize)
            .collect()
    }

    /// Returns the index of the server at an address, or `usize::MAX` if there is none.
    #[must_use]
    pub fn server_at(&self, address: SocketAddr) -> usize {
        let SocketAddr::V4(at) = address else {
            return usize::MAX;
        };
        ServiceTopology::slot(*at.ip())
            .and_then(|slot| self.server_at.get(slot).copied())
            .unwrap_or(usize::MAX)
    }

    /// Returns the number of services.
    #[must_use]
    pub fn services(&self) -> usize {
        self.routes.len()
    }

    /// Returns a route to the service with this index.
    #[must_use]
    pub fn route(&self, service: usize) -> &str {
        &self.routes[service]
    }

    /// Returns a route to the service of this server.
    #[must_use]
    pub fn route_to(&self, server: usize) -> &str {
        self.route(self.service_of[server])
    }

    /// Returns the services with their routes and networks; `None` if all servers are in one
    /// unnamed service.
    #[must_use]
    pub fn directory(&self) -> Option<Directory> {
        if !self.topology.named {
            return None;
        }
        let mut directory = Directory::new(DIRECTORY_BOUNDS);
        let mut apply = |change| {
            directory
                .apply(change)
                .expect("the testbed's directory is valid");
        };
        let names: Vec<Arc<str>> = (0..self.topology.services.len())
            .map(|number| format!("service-{number:04}").into())
            .collect();
        for (name, service) in names.iter().zip(&self.topology.services) {
            apply(DirectoryChange::AddService {
                name: Arc::clone(name),
            });
            for network in service.network_names() {
                let network = network.parse().expect("a network of the topology");
                let (selector, service) = (EndpointSelector::network(network), Arc::clone(name));
                apply(DirectoryChange::Assign { selector, service });
            }
        }
        for route in 0..self.topology.routes as usize {
            let service = Arc::clone(&names[route % names.len()]);
            apply(DirectoryChange::SetRoute {
                route: format!("form-route-{route:05}").into(),
                service,
            });
        }
        Some(directory)
    }

    /// Returns a line of a watch, without the line feed.
    #[must_use]
    pub fn watch_line(&self, revision: u64, complete: bool, entries: &[EndpointEntry]) -> Vec<u8> {
        let targets: Vec<String> = entries.iter().map(|entry| self.target(entry)).collect();
        format!(
            r#"{{"rev":{revision},"all":{complete},"targets":[{}]}}"#,
            targets.join(",")
        )
        .into_bytes()
    }

    /// Returns the first line of a watch, which is the complete list with all servers serving.
    #[must_use]
    pub fn complete_list(&self) -> Vec<u8> {
        self.watch_line(
            1,
            true,
            &(0..self.servers())
                .map(EndpointEntry::serving)
                .collect::<Vec<_>>(),
        )
    }

    fn target(&self, entry: &EndpointEntry) -> String {
        let state = match entry.state {
            EndpointState::Serving => "SERVING",
            EndpointState::Draining => "DRAINING",
            EndpointState::Deleted => "DELETED",
        };
        let EndpointEntry {
            server,
            generation,
            started_unix_ms,
            ..
        } = entry;
        let (zone, pod, at) = (server % ZONES, server % 1_000, self.addresses[*server]);
        format!(
            r#"{{"uid":"fs-{server:05}-{generation}","endpoint":"{at}:{PORT}","az":"zone-{zone:02}","model":"std","pod_group":{pod},"state":"{state}","capacity_hint":1.0,"boot_ms":{started_unix_ms}}}"#
        )
    }
}
