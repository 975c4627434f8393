//! The directory of services, which assigns routes and endpoints to services.
//!
//! A [`Directory`] is modified by one [`DirectoryChange`] at a time. The cost of a change does not
//! depend on the size of the directory, so that routes and endpoints can move between services
//! while requests are in flight. [`Directory::difference`] returns the changes that turn one
//! directory into another, such as one that was reloaded from the operator's file. Looking up the
//! service of a route costs one hash lookup. Looking up that of an endpoint costs one for its uid
//! and one for each prefix length in use.
//!
//! - `selector`: selects the endpoints of a service;
//! - `bounds`: limits the number of entries;
//! - `change`: defines the changes and their effects on endpoints;
//! - `apply`: applies a change;
//! - `difference`: computes the changes between two directories;
//! - `error`: the reasons for rejecting a change.

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

/// The maximum length of the name of a service, route or endpoint, in bytes. Longer names are
/// rejected in the operator's file, and a longer route in a request is not looked up.
pub const MAX_NAME_BYTES: usize = 128;

/// The id of the only service of a [`Directory::single_service`]. Named services have other ids.
pub const SINGLE_SERVICE: ServiceId = ServiceId(0);

/// A named service and the number of routes and selectors that refer to it.
#[derive(Clone, Debug)]
struct Service {
    name: Arc<str>,
    route_count: usize,
    selector_count: usize,
}

/// The services with their routes and endpoint selectors.
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
    /// The most recently assigned id. Ids are not reused.
    last_id: u32,
}

impl Directory {
    /// Returns a directory in which all routes and endpoints belong to one service. It is used when
    /// no services are configured.
    pub fn single_service() -> Directory {
        Directory {
            is_single_service: true,
            ..Directory::new(DirectoryBounds {
                services: 0,
                routes: 0,
            })
        }
    }

    /// Returns a directory without services.
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

    /// Whether all routes and endpoints belong to [`SINGLE_SERVICE`].
    pub fn is_single_service(&self) -> bool {
        self.is_single_service
    }

    /// Returns the limits on the number of services and routes.
    pub fn bounds(&self) -> DirectoryBounds {
        self.bounds
    }

    /// Returns the number of named services.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the number of endpoint selectors.
    pub fn selector_count(&self) -> usize {
        self.networks.len() + self.uids.len()
    }

    /// Returns the number of entries of all kinds that the tables have allocated space for, which
    /// determines the memory use of the directory.
    pub fn capacity(&self) -> usize {
        self.services.capacity()
            + self.ids_by_name.capacity()
            + self.routes.capacity()
            + self.networks.capacity()
            + self.uids.capacity()
    }

    /// Returns the service of a route; `None` if the route is unknown.
    pub fn service_of_route(&self, route: &str) -> Option<ServiceId> {
        if self.is_single_service {
            return Some(SINGLE_SERVICE);
        }
        self.routes.get(route).copied()
    }

    /// Returns the service of requests without a route and of endpoints that no selector matches;
    /// `None` if there is no default.
    pub fn default_service(&self) -> Option<ServiceId> {
        if self.is_single_service {
            return Some(SINGLE_SERVICE);
        }
        self.default
    }

    /// Returns the service of an endpoint. A selector for its uid takes precedence over the network
    /// with the longest prefix that contains its address, which takes precedence over the default.
    /// `None` if neither a selector nor a default applies.
    pub fn service_of_endpoint(&self, uid: &str, address: SocketAddr) -> Option<ServiceId> {
        if self.is_single_service {
            return Some(SINGLE_SERVICE);
        }
        let by_uid = self.uids.get(uid).copied();
        by_uid
            .or_else(|| self.networks.longest_match(address.ip()))
            .or(self.default)
    }

    /// Returns the name of a service; `None` for [`SINGLE_SERVICE`] and for a removed service.
    pub fn name(&self, service: ServiceId) -> Option<&str> {
        self.services.get(&service).map(|service| &*service.name)
    }

    /// Returns the id of the service with this name.
    pub fn id(&self, name: &str) -> Option<ServiceId> {
        self.ids_by_name.get(name).copied()
    }

    /// Returns all named services, in arbitrary order.
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

    /// Returns all selectors with the names of their services, in arbitrary order.
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

    /// Returns the name of the service that has exactly this selector.
    fn service_of_selector(&self, selector: &EndpointSelector) -> Option<&Arc<str>> {
        let id = match selector {
            EndpointSelector::Network(network) => self.networks.get(*network),
            EndpointSelector::Uid(uid) => self.uids.get(uid).copied(),
        };
        id.and_then(|id| self.shared_name(id))
    }
}
