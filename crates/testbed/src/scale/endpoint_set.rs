//! The servers of a simulated platform, each at an address of its own: endpoint lists as discovery
//! encodes them, and the services that the servers are divided into.

use super::targets;
use super::topology::ServiceTopology;
use roseyard_request_engine::{Directory, DirectoryBounds, DirectoryChange, EndpointSelector};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

const PORT: u16 = 7000;
const ZONES: usize = 13;
/// Servers of the largest service at least, so that it has its multiple of the mean at any size.
const MIN_LARGEST_SERVICE: usize = 34;
const BOUNDS: DirectoryBounds = DirectoryBounds {
    services: 4_096,
    routes: 16_384,
};

/// State of a server in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Serving,
    /// It finishes the requests that it has.
    Draining,
    /// It is removed.
    Deleted,
}

/// The states of a server's restart in their order: it drains, is removed, and another serves.
pub const RESTART_STATES: [EndpointState; 3] = [
    EndpointState::Draining,
    EndpointState::Deleted,
    EndpointState::Serving,
];

/// One server of an endpoint list. A replaced server keeps its address and gets another generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Which of the servers, from 0.
    pub server: usize,
    /// Counts the processes that have been this server.
    pub generation: u32,
    /// Its state.
    pub state: EndpointState,
    /// Unix time of its start in milliseconds; 0 for long ago.
    pub started_unix_ms: u64,
}

impl EndpointEntry {
    /// A server that started long ago.
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

/// All servers, where they listen, and the service that each belongs to.
#[derive(Clone, Debug)]
pub struct EndpointSet {
    topology: ServiceTopology,
    addresses: Vec<Ipv4Addr>,
    service_of: Vec<usize>,
    /// The server at each address, by the address's number.
    server_at: Vec<usize>,
    /// A route that names each service.
    routes: Vec<String>,
}

impl EndpointSet {
    /// So many servers: all in one service, or in services in proportion to the planned size.
    #[must_use]
    pub fn new(servers: usize, by_service: bool) -> EndpointSet {
        if by_service {
            EndpointSet::by_service(servers)
        } else {
            EndpointSet::from_topology(ServiceTopology::unnamed(servers as u32))
        }
    }

    /// So many servers in one service.
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

    /// Servers in all.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.addresses.len()
    }

    /// Servers of each service, the largest first.
    #[must_use]
    pub fn service_sizes(&self) -> Vec<usize> {
        self.topology
            .services
            .iter()
            .map(|service| service.servers as usize)
            .collect()
    }

    /// Which server listens at an address.
    #[must_use]
    pub fn server_at(&self, address: SocketAddr) -> usize {
        let SocketAddr::V4(at) = address else {
            return usize::MAX;
        };
        ServiceTopology::slot(*at.ip())
            .and_then(|slot| self.server_at.get(slot).copied())
            .unwrap_or(usize::MAX)
    }

    /// Services in all.
    #[must_use]
    pub fn services(&self) -> usize {
        self.routes.len()
    }

    /// A route that names this service.
    #[must_use]
    pub fn route(&self, service: usize) -> &str {
        &self.routes[service]
    }

    /// A route whose service has this server.
    #[must_use]
    pub fn route_to(&self, server: usize) -> &str {
        self.route(self.service_of[server])
    }

    /// Services with their routes and networks; none where all servers are of one unnamed service.
    #[must_use]
    pub fn directory(&self) -> Option<Directory> {
        if !self.topology.named {
            return None;
        }
        let mut directory = Directory::new(BOUNDS);
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
                let network = network.parse().expect("a network of the layout");
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

    /// One line of a watch, without its end.
    #[must_use]
    pub fn watch_line(&self, revision: u64, complete: bool, entries: &[EndpointEntry]) -> Vec<u8> {
        let targets: Vec<String> = entries.iter().map(|entry| self.target(entry)).collect();
        format!(
            r#"{{"rev":{revision},"all":{complete},"targets":[{}]}}"#,
            targets.join(",")
        )
        .into_bytes()
    }

    /// The first line of a watch: the complete list.
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
