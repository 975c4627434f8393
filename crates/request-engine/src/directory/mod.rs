//! The directory of services: which service a route names, and which one an endpoint belongs to.
//!
//! A [`Directory`] changes by one [`DirectoryChange`] at a time, each at its own cost whatever the
//! size of the directory, so that routes and endpoints move between services while requests are in
//! flight. [`Directory::difference`] gives the changes that lead to a directory that was read anew.
//! A route costs one hash lookup; an endpoint costs one for its uid and one for each prefix length
//! in use.
//!
//! - `selector`: which endpoints a service has;
//! - `bounds`: how much a directory may hold;
//! - `change`, `apply`: the changes, and applying one;
//! - `difference`: the changes that lead from one directory to another;
//! - `error`: why a change is rejected.

mod apply;
mod bounds;
mod change;
mod difference;
mod error;
mod selector;

pub use bounds::DirectoryBounds;
pub use change::{DirectoryChange, DirectoryEffect};
pub use error::DirectoryError;
pub use selector::EndpointSelector;

use crate::network_table::NetworkTable;
use roseyard_decision::ServiceId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Longest name of a service, a route or an endpoint, in bytes. The operator's file holds none that
/// is longer, and a request with a longer route is not looked up.
pub const MAX_NAME_BYTES: usize = 128;

/// The service of a [`Directory::single_service`]; a named service never has this id.
pub const SINGLE_SERVICE: ServiceId = ServiceId(0);

/// A service and the number of references to it.
#[derive(Clone, Debug)]
struct Service {
    name: Arc<str>,
    route_count: usize,
    selector_count: usize,
}

/// Services with their routes and endpoints.
#[derive(Clone, Debug)]
pub struct Directory {
    is_single_service: bool,
    bounds: DirectoryBounds,
    services: HashMap<ServiceId, Service>,
    ids_by_name: HashMap<Arc<str>, ServiceId>,
    routes: HashMap<Arc<str>, ServiceId>,
    networks: NetworkTable<ServiceId>,
    uids: HashMap<Arc<str>, ServiceId>,
    default: Option<ServiceId>,
    /// The id assigned last; ids are not reused.
    last_id: u32,
}

impl Directory {
    /// One service that holds everything: the directory of a platform without services.
    pub fn single_service() -> Directory {
        Directory {
            is_single_service: true,
            ..Directory::new(DirectoryBounds {
                services: 0,
                routes: 0,
            })
        }
    }

    /// A directory without services.
    pub fn new(bounds: DirectoryBounds) -> Directory {
        Directory {
            is_single_service: false,
            bounds,
            services: HashMap::new(),
            ids_by_name: HashMap::new(),
            routes: HashMap::new(),
            networks: NetworkTable::default(),
            uids: HashMap::new(),
            default: None,
            last_id: SINGLE_SERVICE.0,
        }
    }

    /// Whether one service holds everything.
    pub fn is_single_service(&self) -> bool {
        self.is_single_service
    }

    /// How much it may hold.
    pub fn bounds(&self) -> DirectoryBounds {
        self.bounds
    }

    /// Number of named services.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Number of endpoint selectors.
    pub fn selector_count(&self) -> usize {
        self.networks.len() + self.uids.len()
    }

    /// Entries of all kinds that the tables have allocated space for, which determines the
    /// directory's memory.
    pub fn capacity(&self) -> usize {
        self.services.capacity()
            + self.ids_by_name.capacity()
            + self.routes.capacity()
            + self.networks.capacity()
            + self.uids.capacity()
    }

    /// The service of a route; none if the route is unknown.
    pub fn service_of_route(&self, route: &str) -> Option<ServiceId> {
        if self.is_single_service {
            return Some(SINGLE_SERVICE);
        }
        self.routes.get(route).copied()
    }

    /// The service of requests without a route and of endpoints that no selector names.
    pub fn default_service(&self) -> Option<ServiceId> {
        if self.is_single_service {
            return Some(SINGLE_SERVICE);
        }
        self.default
    }

    /// The service of an endpoint: by its uid, else by the longest network that holds its address,
    /// else the default; none if there is no default.
    pub fn service_of_endpoint(&self, uid: &str, address: SocketAddr) -> Option<ServiceId> {
        if self.is_single_service {
            return Some(SINGLE_SERVICE);
        }
        let by_uid = self.uids.get(uid).copied();
        by_uid
            .or_else(|| self.networks.longest_match(address.ip()))
            .or(self.default)
    }

    /// The name of a service; none for [`SINGLE_SERVICE`] and for one that was removed.
    pub fn name(&self, service: ServiceId) -> Option<&str> {
        self.services.get(&service).map(|service| &*service.name)
    }

    /// The id of the service of this name.
    pub fn id(&self, name: &str) -> Option<ServiceId> {
        self.ids_by_name.get(name).copied()
    }

    /// All named services, in no order.
    pub fn services(&self) -> impl Iterator<Item = (ServiceId, &str)> {
        self.services
            .iter()
            .map(|(id, service)| (*id, &*service.name))
    }

    fn shared_name(&self, id: ServiceId) -> Option<&Arc<str>> {
        self.services.get(&id).map(|service| &service.name)
    }

    fn default_name(&self) -> Option<&Arc<str>> {
        self.default.and_then(|id| self.shared_name(id))
    }

    /// The selectors with the names of their services.
    fn selectors(&self) -> impl Iterator<Item = (EndpointSelector, &Arc<str>)> {
        let networks = self
            .networks
            .iter()
            .map(|(network, id)| (EndpointSelector::Network(network), id));
        let uids = self
            .uids
            .iter()
            .map(|(uid, id)| (EndpointSelector::Uid(Arc::clone(uid)), *id));
        networks
            .chain(uids)
            .filter_map(|(selector, id)| Some((selector, self.shared_name(id)?)))
    }

    /// Name of the service that has exactly this selector.
    fn service_of_selector(&self, selector: &EndpointSelector) -> Option<&Arc<str>> {
        let id = match selector {
            EndpointSelector::Network(network) => self.networks.get(*network),
            EndpointSelector::Uid(uid) => self.uids.get(uid).copied(),
        };
        id.and_then(|id| self.shared_name(id))
    }
}
