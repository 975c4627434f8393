//! Holds the lines of the section against one another and makes the directory of them.

use super::reader::Reader;
use super::{most_allowed, Services, SECTION};
use crate::error::ConfigError;
use miette::SourceSpan;
use roseyard_request_engine::{
    Directory, DirectoryBounds, DirectoryChange, DirectoryError, EndpointSelector,
};
use std::collections::HashMap;
use std::sync::Arc;

/// Most routes.
const MOST_ROUTES: usize = 65_536;

impl Reader<'_> {
    /// Holds the lines against one another. Mistakes are added to `wrong`.
    pub(crate) fn finish(mut self, wrong: &mut Vec<ConfigError>) -> Services {
        let Some(section) = self.section else {
            return Services::none();
        };
        let mut directory = Directory::new(DirectoryBounds {
            services: self.most,
            routes: MOST_ROUTES,
        });
        self.check_needs(section);
        self.add_services(&mut directory);
        self.add_endpoints(&mut directory);
        self.add_routes(&mut directory);
        self.set_default(&mut directory);
        self.faults.finish(wrong);
        Services {
            route_field: self.route_field,
            directory,
            places: self.places,
        }
    }

    /// What has no effect or serves nobody.
    fn check_needs(&mut self, section: SourceSpan) {
        if self.services.is_empty() {
            self.faults.add(section, |_| {
                (
                    format!("'{SECTION}' names no service"),
                    Some("add a 'service' or leave the section out".into()),
                )
            });
        }
        if self.places.contains_key("route-field") {
            return;
        }
        if let Some(route) = self.routes.first() {
            self.faults.add(route.route.span, |_| {
                let what = "'route' has no effect without 'route-field'";
                (what.to_owned(), Some("set 'route-field' too".into()))
            });
        } else if !self.places.contains_key("default") {
            self.faults.add(section, |_| {
                let what = "without 'route-field' every request belongs to the 'default', which is missing";
                (what.to_owned(), Some("set 'default', or 'route-field' and routes".into()))
            });
        }
    }

    fn add_services(&mut self, directory: &mut Directory) {
        let mut first: HashMap<Arc<str>, SourceSpan> = HashMap::new();
        let mut beyond: Option<SourceSpan> = None;
        let default = self.default.as_ref().map(|named| Arc::clone(&named.name));
        for line in &self.services {
            let (name, span) = (&line.service.name, line.service.span);
            match directory.apply(DirectoryChange::AddService {
                name: Arc::clone(name),
            }) {
                Ok(_) => {
                    first.insert(Arc::clone(name), span);
                }
                Err(DirectoryError::TooManyServices { .. }) => beyond = beyond.or(Some(span)),
                Err(_) => {
                    let before = first.get(name).copied().unwrap_or(span);
                    self.faults
                        .twice(&format!("service '{name}' stands twice"), span, before);
                }
            }
            // Servers that no line names belong to the default: it needs none of its own.
            if !line.has_endpoints && default.as_ref() != Some(name) {
                self.faults.add(span, |_| {
                    let help = "add 'servers' with networks, addresses or uids";
                    (
                        format!("service '{name}' has no servers"),
                        Some(help.into()),
                    )
                });
            }
        }
        if let Some(span) = beyond {
            let (most, given) = (self.most, self.services.len());
            self.faults.add(span, |_| {
                let help = format!("raise 'most', which takes {}", most_allowed());
                (
                    format!("more than {most} services: {given} are given"),
                    Some(help),
                )
            });
        }
    }

    fn add_endpoints(&mut self, directory: &mut Directory) {
        let mut first: HashMap<&EndpointSelector, (&Arc<str>, SourceSpan)> = HashMap::new();
        for line in &self.services {
            let service = &line.service.name;
            for (endpoints, span) in &line.endpoints {
                if let Some((holder, before)) = first.get(endpoints) {
                    let what = format!("'{endpoints}' belongs to service '{holder}' already");
                    self.faults.twice(&what, *span, *before);
                    continue;
                }
                first.insert(endpoints, (service, *span));
                let (endpoints, service) = (endpoints.clone(), Arc::clone(service));
                // A service beyond the bound is not in the directory: that was named.
                let _ = directory.apply(DirectoryChange::Assign { endpoints, service });
            }
        }
    }

    fn add_routes(&mut self, directory: &mut Directory) {
        let mut first: HashMap<&Arc<str>, SourceSpan> = HashMap::new();
        for line in &self.routes {
            let route = &line.route;
            if let Some(before) = first.insert(&route.name, route.span) {
                self.faults.twice(
                    &format!("route '{}' stands twice", route.name),
                    route.span,
                    before,
                );
                continue;
            }
            let (name, service) = (Arc::clone(&route.name), Arc::clone(&line.service.name));
            match directory.apply(DirectoryChange::SetRoute {
                route: name,
                service,
            }) {
                Ok(_) => {}
                Err(DirectoryError::UnknownService { .. }) => {
                    self.faults.check_service(&line.service, &self.declared);
                }
                Err(error) => self.faults.plain(route.span, || error.to_string()),
            }
        }
    }

    fn set_default(&mut self, directory: &mut Directory) {
        let Some(default) = &self.default else { return };
        let service = Some(Arc::clone(&default.name));
        if directory
            .apply(DirectoryChange::SetDefault { service })
            .is_err()
        {
            self.faults.check_service(default, &self.declared);
        }
    }
}
