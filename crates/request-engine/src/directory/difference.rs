//! Computes the changes that turn one directory into another.

use super::{Directory, DirectoryBounds, DirectoryChange, EndpointSelector};
use std::sync::Arc;

impl Directory {
    /// Returns the changes that turn this directory into `new`, in the order in which they have to
    /// be applied. Services are matched by name. Additions precede removals, so that each endpoint
    /// and route that both directories have belongs to a service at any time.
    #[must_use]
    pub fn difference(&self, new: &Directory) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let transition_bounds = self.transition_bounds(new);
        if transition_bounds != self.bounds {
            changes.push(DirectoryChange::SetBounds(transition_bounds));
        }
        if new.is_single_service && !self.is_single_service {
            changes.push(DirectoryChange::SetSingleService(true));
        }
        changes.extend(self.added_services(new));
        changes.extend(self.changed_routes(new));
        changes.extend(self.assigned_selectors(new));
        if self.default_name() != new.default_name() {
            changes.push(DirectoryChange::SetDefault {
                service: new.default_name().cloned(),
            });
        }
        if self.is_single_service && !new.is_single_service {
            changes.push(DirectoryChange::SetSingleService(false));
        }
        changes.extend(self.unassigned_selectors(new));
        changes.extend(self.removed_routes(new));
        changes.extend(self.removed_services(new));
        if new.bounds != transition_bounds {
            changes.push(DirectoryChange::SetBounds(new.bounds));
        }
        changes
    }

    /// Returns bounds that suffice after all additions and before any removal.
    fn transition_bounds(&self, new: &Directory) -> DirectoryBounds {
        let added_services = new
            .ids_by_name
            .keys()
            .filter(|name| !self.ids_by_name.contains_key(*name))
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
            .ids_by_name
            .keys()
            .filter(|name| !self.ids_by_name.contains_key(*name))
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
            .ids_by_name
            .keys()
            .filter(|name| !new.ids_by_name.contains_key(*name))
            .collect();
        removed.sort_unstable();
        removed
            .into_iter()
            .map(|name| DirectoryChange::RemoveService {
                name: Arc::clone(name),
            })
            .collect()
    }

    fn changed_routes(&self, new: &Directory) -> Vec<DirectoryChange> {
        let routes = new
            .routes
            .iter()
            .filter_map(|(route, id)| Some((route, new.shared_name(*id)?)));
        let current_service = |route| self.routes.get(route).and_then(|id| self.shared_name(*id));
        let mut changed: Vec<_> = routes
            .filter(|(route, service)| current_service(*route) != Some(service))
            .collect();
        changed.sort_unstable();
        let change = |(route, service): (&Arc<str>, &Arc<str>)| DirectoryChange::SetRoute {
            route: Arc::clone(route),
            service: Arc::clone(service),
        };
        changed.into_iter().map(change).collect()
    }

    fn removed_routes(&self, new: &Directory) -> Vec<DirectoryChange> {
        let mut removed: Vec<_> = self
            .routes
            .keys()
            .filter(|route| !new.routes.contains_key(*route))
            .collect();
        removed.sort_unstable();
        removed
            .into_iter()
            .map(|route| DirectoryChange::RemoveRoute {
                route: Arc::clone(route),
            })
            .collect()
    }

    fn assigned_selectors(&self, new: &Directory) -> Vec<DirectoryChange> {
        let differs = |(selector, service): &(EndpointSelector, &Arc<str>)| {
            self.service_of_selector(selector) != Some(service)
        };
        let mut assigned: Vec<_> = new.selectors().filter(differs).collect();
        assigned.sort_unstable();
        let change = |(selector, service): (EndpointSelector, &Arc<str>)| DirectoryChange::Assign {
            selector,
            service: Arc::clone(service),
        };
        assigned.into_iter().map(change).collect()
    }

    fn unassigned_selectors(&self, new: &Directory) -> Vec<DirectoryChange> {
        let current = self.selectors().map(|(selector, _)| selector);
        let mut removed: Vec<_> = current
            .filter(|selector| new.service_of_selector(selector).is_none())
            .collect();
        removed.sort_unstable();
        removed
            .into_iter()
            .map(|selector| DirectoryChange::Unassign { selector })
            .collect()
    }
}
