//! Applies a change to a directory. The cost does not depend on the size of the directory.

use super::{
    Directory, DirectoryBounds, DirectoryChange, DirectoryEffect, DirectoryError, EndpointSelector,
    Service,
};
use crate::hash_table::shrink;
use roseyard_decision::ServiceId;
use std::sync::Arc;

impl Directory {
    /// Applies a change and returns which endpoints it may have moved to another service. An error
    /// leaves the directory unchanged.
    pub fn apply(&mut self, change: DirectoryChange) -> Result<DirectoryEffect, DirectoryError> {
        match change {
            DirectoryChange::AddService { name } => self.add_service(name),
            DirectoryChange::RemoveService { name } => self.remove_service(name),
            DirectoryChange::SetRoute { route, service } => self.set_route(route, service),
            DirectoryChange::RemoveRoute { route } => self.remove_route(route),
            DirectoryChange::Assign { selector, service } => self.assign(selector, service),
            DirectoryChange::Unassign { selector } => self.unassign(selector),
            DirectoryChange::SetDefault { service } => self.set_default(service),
            DirectoryChange::SetBounds(bounds) => self.set_bounds(bounds),
            DirectoryChange::SetSingleService(enabled) => Ok(self.set_single_service(enabled)),
        }
    }

    fn add_service(&mut self, name: Arc<str>) -> Result<DirectoryEffect, DirectoryError> {
        if self.ids_by_name.contains_key(&name) {
            return Err(DirectoryError::ServiceExists { name });
        }
        if self.services.len() >= self.bounds.services {
            return Err(DirectoryError::TooManyServices {
                max: self.bounds.services,
            });
        }
        let next = self
            .last_id
            .checked_add(1)
            .ok_or(DirectoryError::IdsExhausted)?;
        self.last_id = next;
        let id = ServiceId(next);
        self.ids_by_name.insert(Arc::clone(&name), id);
        self.services.insert(
            id,
            Service {
                name,
                route_count: 0,
                selector_count: 0,
            },
        );
        Ok(DirectoryEffect::Added(id))
    }

    fn remove_service(&mut self, name: Arc<str>) -> Result<DirectoryEffect, DirectoryError> {
        let id = self.require_id(&name)?;
        let is_default = self.default == Some(id);
        if let Some(service) = self.services.get(&id) {
            if service.route_count > 0 || service.selector_count > 0 || is_default {
                return Err(DirectoryError::ServiceInUse {
                    name,
                    routes: service.route_count,
                    selectors: service.selector_count,
                    default: is_default,
                });
            }
        }
        self.services.remove(&id);
        self.ids_by_name.remove(&name);
        shrink(&mut self.services);
        shrink(&mut self.ids_by_name);
        Ok(DirectoryEffect::Removed(id))
    }

    fn set_route(
        &mut self,
        route: Arc<str>,
        service: Arc<str>,
    ) -> Result<DirectoryEffect, DirectoryError> {
        let id = self.require_id(&service)?;
        if !self.routes.contains_key(&route) && self.routes.len() >= self.bounds.routes {
            return Err(DirectoryError::TooManyRoutes {
                max: self.bounds.routes,
            });
        }
        let previous = self.routes.insert(route, id);
        self.update_route_counts(previous, Some(id));
        Ok(DirectoryEffect::Unchanged)
    }

    fn remove_route(&mut self, route: Arc<str>) -> Result<DirectoryEffect, DirectoryError> {
        let Some(previous) = self.routes.remove(&route) else {
            return Err(DirectoryError::UnknownRoute { route });
        };
        shrink(&mut self.routes);
        self.update_route_counts(Some(previous), None);
        Ok(DirectoryEffect::Unchanged)
    }

    fn assign(
        &mut self,
        selector: EndpointSelector,
        service: Arc<str>,
    ) -> Result<DirectoryEffect, DirectoryError> {
        let id = self.require_id(&service)?;
        let previous = match &selector {
            EndpointSelector::Network(network) => self.networks.insert(*network, id),
            EndpointSelector::Uid(uid) => self.uids.insert(Arc::clone(uid), id),
        };
        self.update_selector_counts(previous, Some(id));
        if previous == Some(id) {
            return Ok(DirectoryEffect::Unchanged);
        }
        Ok(DirectoryEffect::Reassigned(selector))
    }

    fn unassign(&mut self, selector: EndpointSelector) -> Result<DirectoryEffect, DirectoryError> {
        let previous = match &selector {
            EndpointSelector::Network(network) => self.networks.remove(*network),
            EndpointSelector::Uid(uid) => {
                let previous = self.uids.remove(uid);
                shrink(&mut self.uids);
                previous
            }
        };
        if previous.is_none() {
            return Err(DirectoryError::UnknownSelector { selector });
        }
        self.update_selector_counts(previous, None);
        Ok(DirectoryEffect::Reassigned(selector))
    }

    fn set_default(
        &mut self,
        service: Option<Arc<str>>,
    ) -> Result<DirectoryEffect, DirectoryError> {
        let id = service.map(|name| self.require_id(&name)).transpose()?;
        let previous = std::mem::replace(&mut self.default, id);
        if previous == id {
            return Ok(DirectoryEffect::Unchanged);
        }
        Ok(DirectoryEffect::DefaultReassigned)
    }

    fn set_single_service(&mut self, enabled: bool) -> DirectoryEffect {
        let previous = std::mem::replace(&mut self.is_single_service, enabled);
        if previous == enabled {
            return DirectoryEffect::Unchanged;
        }
        DirectoryEffect::AllReassigned
    }

    fn set_bounds(&mut self, bounds: DirectoryBounds) -> Result<DirectoryEffect, DirectoryError> {
        if self.services.len() > bounds.services {
            return Err(DirectoryError::TooManyServices {
                max: bounds.services,
            });
        }
        if self.routes.len() > bounds.routes {
            return Err(DirectoryError::TooManyRoutes { max: bounds.routes });
        }
        self.bounds = bounds;
        Ok(DirectoryEffect::Unchanged)
    }

    /// Returns the id of the service with this name, or an error if there is none.
    fn require_id(&self, name: &Arc<str>) -> Result<ServiceId, DirectoryError> {
        self.id(name).ok_or_else(|| DirectoryError::UnknownService {
            name: Arc::clone(name),
        })
    }

    /// Updates the route counts of two services after a route has moved from `previous` to
    /// `current`.
    fn update_route_counts(&mut self, previous: Option<ServiceId>, current: Option<ServiceId>) {
        if let Some(service) = previous.and_then(|id| self.services.get_mut(&id)) {
            service.route_count -= 1;
        }
        if let Some(service) = current.and_then(|id| self.services.get_mut(&id)) {
            service.route_count += 1;
        }
    }

    /// Updates the selector counts of two services after a selector has moved from `previous` to
    /// `current`.
    fn update_selector_counts(&mut self, previous: Option<ServiceId>, current: Option<ServiceId>) {
        if let Some(service) = previous.and_then(|id| self.services.get_mut(&id)) {
            service.selector_count -= 1;
        }
        if let Some(service) = current.and_then(|id| self.services.get_mut(&id)) {
            service.selector_count += 1;
        }
    }
}
