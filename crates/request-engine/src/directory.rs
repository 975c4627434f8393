//! Services: which one a route names, and which one a server belongs to.
//!
//! A [`Directory`] is changed by typed deltas, each at the cost of itself whatever the size of the
//! directory, so that routes and servers move between services while requests are out.
//! [`Directory::difference`] turns a directory that was read anew into the deltas that lead to it.
//! Lookups are one hash lookup for a route, and for a server one for its uid and one for each
//! prefix length in use.

use crate::networks::Networks;
use crate::tables::shrink;
use ipnet::IpNet;
use roseyard_decision::ServiceId;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Longest name of a service, of a route, and of a server, in bytes: the operator's file holds none
/// that is longer, and no request is looked up by one.
pub const MOST_NAME_BYTES: usize = 128;

/// The service of a [`Directory::single`]; a named service never has this id.
pub const SINGLE_SERVICE: ServiceId = ServiceId(0);

/// Most entries that a directory may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryBounds {
    /// Services.
    pub services: usize,
    /// Routes.
    pub routes: usize,
}

/// Servers that are assigned to a service together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointSelector {
    /// Those whose endpoint lies in this network, unless a longer one or their uid says otherwise.
    Network(IpNet),
    /// The one of this uid, wherever it listens.
    Uid(Arc<str>),
}

impl EndpointSelector {
    /// A selector for a network; bits beyond its prefix are dropped.
    pub fn network(network: IpNet) -> EndpointSelector {
        EndpointSelector::Network(network.trunc())
    }

    /// A selector for a server's uid.
    pub fn uid(uid: &str) -> EndpointSelector {
        EndpointSelector::Uid(uid.into())
    }
}

impl fmt::Display for EndpointSelector {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            EndpointSelector::Network(network) => network.fmt(f),
            EndpointSelector::Uid(uid) => f.write_str(uid),
        }
    }
}

/// One delta. Services are named, since one that is added has no id before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A service that nothing names yet.
    AddService {
        /// Its name.
        name: Arc<str>,
    },
    /// A service that nothing names any more.
    RemoveService {
        /// Its name.
        name: Arc<str>,
    },
    /// A route is added, or moved from the service that it named.
    SetRoute {
        /// The route.
        route: Arc<str>,
        /// Name of its service.
        service: Arc<str>,
    },
    /// A route is removed.
    RemoveRoute {
        /// The route.
        route: Arc<str>,
    },
    /// Servers are assigned to a service, or moved from the one that held them.
    Assign {
        /// The servers.
        endpoints: EndpointSelector,
        /// Name of their service.
        service: Arc<str>,
    },
    /// Servers are no longer assigned by this selector.
    Unassign {
        /// The servers.
        endpoints: EndpointSelector,
    },
    /// The service of requests without a route and of servers that no selector names.
    SetDefault {
        /// Its name; none: there is no such service.
        service: Option<Arc<str>>,
    },
    /// Other bounds.
    SetBounds(DirectoryBounds),
    /// While true, everything belongs to [`SINGLE_SERVICE`], whatever else the directory holds.
    SetSingle(bool),
}

/// What a delta that was applied means for whoever keeps servers by service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryEffect {
    /// No server changes its service.
    Unchanged,
    /// A service was added.
    Added(ServiceId),
    /// A service was removed; its id is never used again.
    Removed(ServiceId),
    /// These servers have to be looked up again.
    Reassigned(EndpointSelector),
    /// Servers that no selector names have to be looked up again.
    DefaultReassigned,
    /// All servers have to be looked up again.
    AllReassigned,
}

/// Why a delta was not applied; the directory is as it was.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// A name that no service has.
    #[error("there is no service '{name}'")]
    UnknownService {
        /// The name.
        name: Arc<str>,
    },
    /// A name that a service has already.
    #[error("there is a service '{name}' already")]
    ServiceExists {
        /// The name.
        name: Arc<str>,
    },
    /// A service that is still named.
    #[error("service '{name}' is in use: by {routes} routes, by {endpoints} networks, addresses or uids of servers{}", if *.default { ", as the default" } else { "" })]
    ServiceInUse {
        /// Its name.
        name: Arc<str>,
        /// Routes that name it.
        routes: usize,
        /// Selectors of servers that name it.
        endpoints: usize,
        /// Is it the default?
        default: bool,
    },
    /// A route that is not in the directory.
    #[error("there is no route '{route}'")]
    UnknownRoute {
        /// The route.
        route: Arc<str>,
    },
    /// Servers that no service holds by this selector.
    #[error("no service has a line for the servers '{endpoints}'")]
    UnknownEndpoints {
        /// The selector.
        endpoints: EndpointSelector,
    },
    /// One service more than the bound.
    #[error("more than {most} services")]
    TooManyServices {
        /// The bound.
        most: usize,
    },
    /// One route more than the bound.
    #[error("more than {most} routes")]
    TooManyRoutes {
        /// The bound.
        most: usize,
    },
    /// All ids were given out.
    #[error("no id is left for another service")]
    NoIdLeft,
}

/// A service and how often it is named.
#[derive(Clone, Debug)]
struct Service {
    name: Arc<str>,
    routes: usize,
    selectors: usize,
}

/// Services with their routes and servers.
#[derive(Clone, Debug)]
pub struct Directory {
    single: bool,
    bounds: DirectoryBounds,
    services: HashMap<ServiceId, Service>,
    ids: HashMap<Arc<str>, ServiceId>,
    routes: HashMap<Arc<str>, ServiceId>,
    networks: Networks<ServiceId>,
    uids: HashMap<Arc<str>, ServiceId>,
    default: Option<ServiceId>,
    /// The id given out last.
    last_id: u32,
}

impl Directory {
    /// One service that holds everything: the directory of a platform without services.
    pub fn single() -> Directory {
        Directory {
            single: true,
            ..Directory::new(DirectoryBounds {
                services: 0,
                routes: 0,
            })
        }
    }

    /// A directory without services.
    pub fn new(bounds: DirectoryBounds) -> Directory {
        Directory {
            single: false,
            bounds,
            services: HashMap::new(),
            ids: HashMap::new(),
            routes: HashMap::new(),
            networks: Networks::default(),
            uids: HashMap::new(),
            default: None,
            last_id: SINGLE_SERVICE.0,
        }
    }

    /// Does one service hold everything?
    pub fn is_single(&self) -> bool {
        self.single
    }

    /// The bounds.
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

    /// Number of selectors of servers.
    pub fn selector_count(&self) -> usize {
        self.networks.len() + self.uids.len()
    }

    /// Entries of all kinds that the tables have room for: what the directory's memory goes by.
    pub fn capacity(&self) -> usize {
        let (services, ids) = (self.services.capacity(), self.ids.capacity());
        services + ids + self.routes.capacity() + self.networks.capacity() + self.uids.capacity()
    }

    /// The service of a route; none: the route is unknown.
    pub fn service_of_route(&self, route: &str) -> Option<ServiceId> {
        if self.single {
            return Some(SINGLE_SERVICE);
        }
        self.routes.get(route).copied()
    }

    /// The service of requests without a route and of servers that no selector names.
    pub fn default_service(&self) -> Option<ServiceId> {
        if self.single {
            return Some(SINGLE_SERVICE);
        }
        self.default
    }

    /// The service of a server: by its uid, else by the longest network that holds its address,
    /// else the default.
    pub fn service_of_endpoint(&self, uid: &str, address: SocketAddr) -> Option<ServiceId> {
        if self.single {
            return Some(SINGLE_SERVICE);
        }
        let by_uid = self.uids.get(uid).copied();
        by_uid
            .or_else(|| self.networks.longest(address.ip()))
            .or(self.default)
    }

    /// The name of a service; none for [`SINGLE_SERVICE`] and for one that was removed.
    pub fn name(&self, service: ServiceId) -> Option<&str> {
        self.services.get(&service).map(|s| &*s.name)
    }

    /// The id of a name.
    pub fn id(&self, name: &str) -> Option<ServiceId> {
        self.ids.get(name).copied()
    }

    /// All named services, in no order.
    pub fn services(&self) -> impl Iterator<Item = (ServiceId, &str)> {
        self.services
            .iter()
            .map(|(id, service)| (*id, &*service.name))
    }

    /// Applies a delta. An error changes nothing.
    pub fn apply(&mut self, change: DirectoryChange) -> Result<DirectoryEffect, DirectoryError> {
        match change {
            DirectoryChange::AddService { name } => self.add_service(name),
            DirectoryChange::RemoveService { name } => self.remove_service(name),
            DirectoryChange::SetRoute { route, service } => self.set_route(route, service),
            DirectoryChange::RemoveRoute { route } => self.remove_route(route),
            DirectoryChange::Assign { endpoints, service } => self.assign(endpoints, service),
            DirectoryChange::Unassign { endpoints } => self.unassign(endpoints),
            DirectoryChange::SetDefault { service } => self.set_default(service),
            DirectoryChange::SetBounds(bounds) => self.set_bounds(bounds),
            DirectoryChange::SetSingle(single) => {
                if std::mem::replace(&mut self.single, single) == single {
                    return Ok(DirectoryEffect::Unchanged);
                }
                Ok(DirectoryEffect::AllReassigned)
            }
        }
    }

    /// The deltas that lead from this directory to `new`, by the names of services. What is added
    /// goes before what is removed: no server or route that stays is without a service in between.
    pub fn difference(&self, new: &Directory) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let room = self.room_for_both(new);
        if room != self.bounds {
            changes.push(DirectoryChange::SetBounds(room));
        }
        if new.single && !self.single {
            changes.push(DirectoryChange::SetSingle(true));
        }
        changes.extend(self.added_services(new));
        changes.extend(self.set_routes(new));
        changes.extend(self.assigned(new));
        if self.default_name() != new.default_name() {
            changes.push(DirectoryChange::SetDefault {
                service: new.default_name().cloned(),
            });
        }
        if self.single && !new.single {
            changes.push(DirectoryChange::SetSingle(false));
        }
        changes.extend(self.unassigned(new));
        changes.extend(self.removed_routes(new));
        changes.extend(self.removed_services(new));
        if new.bounds != room {
            changes.push(DirectoryChange::SetBounds(new.bounds));
        }
        changes
    }

    fn add_service(&mut self, name: Arc<str>) -> Result<DirectoryEffect, DirectoryError> {
        if self.ids.contains_key(&name) {
            return Err(DirectoryError::ServiceExists { name });
        }
        if self.services.len() >= self.bounds.services {
            return Err(DirectoryError::TooManyServices {
                most: self.bounds.services,
            });
        }
        let next = self
            .last_id
            .checked_add(1)
            .ok_or(DirectoryError::NoIdLeft)?;
        self.last_id = next;
        let id = ServiceId(next);
        self.ids.insert(Arc::clone(&name), id);
        self.services.insert(
            id,
            Service {
                name,
                routes: 0,
                selectors: 0,
            },
        );
        Ok(DirectoryEffect::Added(id))
    }

    fn remove_service(&mut self, name: Arc<str>) -> Result<DirectoryEffect, DirectoryError> {
        let id = self.known(&name)?;
        let default = self.default == Some(id);
        if let Some(service) = self.services.get(&id) {
            let (routes, endpoints) = (service.routes, service.selectors);
            if routes > 0 || endpoints > 0 || default {
                return Err(DirectoryError::ServiceInUse {
                    name,
                    routes,
                    endpoints,
                    default,
                });
            }
        }
        self.services.remove(&id);
        self.ids.remove(&name);
        shrink(&mut self.services);
        shrink(&mut self.ids);
        Ok(DirectoryEffect::Removed(id))
    }

    fn set_route(
        &mut self,
        route: Arc<str>,
        service: Arc<str>,
    ) -> Result<DirectoryEffect, DirectoryError> {
        let id = self.known(&service)?;
        if !self.routes.contains_key(&route) && self.routes.len() >= self.bounds.routes {
            return Err(DirectoryError::TooManyRoutes {
                most: self.bounds.routes,
            });
        }
        let before = self.routes.insert(route, id);
        self.count_routes(before, Some(id));
        Ok(DirectoryEffect::Unchanged)
    }

    fn remove_route(&mut self, route: Arc<str>) -> Result<DirectoryEffect, DirectoryError> {
        let Some(before) = self.routes.remove(&route) else {
            return Err(DirectoryError::UnknownRoute { route });
        };
        shrink(&mut self.routes);
        self.count_routes(Some(before), None);
        Ok(DirectoryEffect::Unchanged)
    }

    fn assign(
        &mut self,
        endpoints: EndpointSelector,
        service: Arc<str>,
    ) -> Result<DirectoryEffect, DirectoryError> {
        let id = self.known(&service)?;
        let before = match &endpoints {
            EndpointSelector::Network(network) => self.networks.insert(*network, id),
            EndpointSelector::Uid(uid) => self.uids.insert(Arc::clone(uid), id),
        };
        self.count_selectors(before, Some(id));
        match before == Some(id) {
            true => Ok(DirectoryEffect::Unchanged),
            false => Ok(DirectoryEffect::Reassigned(endpoints)),
        }
    }

    fn unassign(&mut self, endpoints: EndpointSelector) -> Result<DirectoryEffect, DirectoryError> {
        let before = match &endpoints {
            EndpointSelector::Network(network) => self.networks.remove(*network),
            EndpointSelector::Uid(uid) => {
                let before = self.uids.remove(uid);
                shrink(&mut self.uids);
                before
            }
        };
        if before.is_none() {
            return Err(DirectoryError::UnknownEndpoints { endpoints });
        }
        self.count_selectors(before, None);
        Ok(DirectoryEffect::Reassigned(endpoints))
    }

    fn set_default(
        &mut self,
        service: Option<Arc<str>>,
    ) -> Result<DirectoryEffect, DirectoryError> {
        let id = service.map(|name| self.known(&name)).transpose()?;
        match std::mem::replace(&mut self.default, id) == id {
            true => Ok(DirectoryEffect::Unchanged),
            false => Ok(DirectoryEffect::DefaultReassigned),
        }
    }

    fn set_bounds(&mut self, bounds: DirectoryBounds) -> Result<DirectoryEffect, DirectoryError> {
        if self.services.len() > bounds.services {
            return Err(DirectoryError::TooManyServices {
                most: bounds.services,
            });
        }
        if self.routes.len() > bounds.routes {
            return Err(DirectoryError::TooManyRoutes {
                most: bounds.routes,
            });
        }
        self.bounds = bounds;
        Ok(DirectoryEffect::Unchanged)
    }

    fn known(&self, name: &Arc<str>) -> Result<ServiceId, DirectoryError> {
        self.id(name).ok_or_else(|| DirectoryError::UnknownService {
            name: Arc::clone(name),
        })
    }

    fn count_routes(&mut self, before: Option<ServiceId>, after: Option<ServiceId>) {
        if let Some(service) = before.and_then(|id| self.services.get_mut(&id)) {
            service.routes -= 1;
        }
        if let Some(service) = after.and_then(|id| self.services.get_mut(&id)) {
            service.routes += 1;
        }
    }

    fn count_selectors(&mut self, before: Option<ServiceId>, after: Option<ServiceId>) {
        if let Some(service) = before.and_then(|id| self.services.get_mut(&id)) {
            service.selectors -= 1;
        }
        if let Some(service) = after.and_then(|id| self.services.get_mut(&id)) {
            service.selectors += 1;
        }
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
            .filter_map(|(endpoints, id)| Some((endpoints, self.shared_name(id)?)))
    }

    /// Name of the service that holds servers by exactly this selector.
    fn holder(&self, endpoints: &EndpointSelector) -> Option<&Arc<str>> {
        let id = match endpoints {
            EndpointSelector::Network(network) => self.networks.get(*network),
            EndpointSelector::Uid(uid) => self.uids.get(uid).copied(),
        };
        id.and_then(|id| self.shared_name(id))
    }

    /// Bounds that hold while what is new is there already and what is old is still there.
    fn room_for_both(&self, new: &Directory) -> DirectoryBounds {
        let added_services = new
            .ids
            .keys()
            .filter(|name| !self.ids.contains_key(*name))
            .count();
        let added_routes = new
            .routes
            .keys()
            .filter(|route| !self.routes.contains_key(*route))
            .count();
        DirectoryBounds {
            services: self
                .bounds
                .services
                .max(self.services.len() + added_services),
            routes: self.bounds.routes.max(self.routes.len() + added_routes),
        }
    }

    fn added_services(&self, new: &Directory) -> Vec<DirectoryChange> {
        let mut added: Vec<&Arc<str>> = new
            .ids
            .keys()
            .filter(|n| !self.ids.contains_key(*n))
            .collect();
        added.sort_unstable();
        added
            .into_iter()
            .map(|name| DirectoryChange::AddService {
                name: Arc::clone(name),
            })
            .collect()
    }

    fn removed_services(&self, new: &Directory) -> Vec<DirectoryChange> {
        let mut removed: Vec<&Arc<str>> = self
            .ids
            .keys()
            .filter(|n| !new.ids.contains_key(*n))
            .collect();
        removed.sort_unstable();
        removed
            .into_iter()
            .map(|name| DirectoryChange::RemoveService {
                name: Arc::clone(name),
            })
            .collect()
    }

    fn set_routes(&self, new: &Directory) -> Vec<DirectoryChange> {
        let routes = new
            .routes
            .iter()
            .filter_map(|(route, id)| Some((route, new.shared_name(*id)?)));
        let held = |route| self.routes.get(route).and_then(|id| self.shared_name(*id));
        let mut set: Vec<_> = routes
            .filter(|(route, service)| held(*route) != Some(service))
            .collect();
        set.sort_unstable();
        let change = |(route, service): (&Arc<str>, &Arc<str>)| DirectoryChange::SetRoute {
            route: Arc::clone(route),
            service: Arc::clone(service),
        };
        set.into_iter().map(change).collect()
    }

    fn removed_routes(&self, new: &Directory) -> Vec<DirectoryChange> {
        let mut removed: Vec<_> = self
            .routes
            .keys()
            .filter(|r| !new.routes.contains_key(*r))
            .collect();
        removed.sort_unstable();
        removed
            .into_iter()
            .map(|route| DirectoryChange::RemoveRoute {
                route: Arc::clone(route),
            })
            .collect()
    }

    fn assigned(&self, new: &Directory) -> Vec<DirectoryChange> {
        let differs = |(endpoints, service): &(EndpointSelector, &Arc<str>)| {
            self.holder(endpoints) != Some(service)
        };
        let mut assigned: Vec<_> = new.selectors().filter(differs).collect();
        assigned.sort_unstable();
        let change =
            |(endpoints, service): (EndpointSelector, &Arc<str>)| DirectoryChange::Assign {
                endpoints,
                service: Arc::clone(service),
            };
        assigned.into_iter().map(change).collect()
    }

    fn unassigned(&self, new: &Directory) -> Vec<DirectoryChange> {
        let held = self.selectors().map(|(endpoints, _)| endpoints);
        let mut removed: Vec<_> = held
            .filter(|endpoints| new.holder(endpoints).is_none())
            .collect();
        removed.sort_unstable();
        removed
            .into_iter()
            .map(|endpoints| DirectoryChange::Unassign { endpoints })
            .collect()
    }
}
