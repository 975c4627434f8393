//! Checks the parsed lines of the section for contradictions and builds the directory from them.

use super::limits::{allowed_max_services, DEFAULT, MAX_ROUTES, ROUTE_FIELD, SECTION};
use super::reader::Reader;
use super::section::Services;
use crate::error::ConfigError;
use miette::SourceSpan;
use roseyard_request_engine::{
    Directory, DirectoryBounds, DirectoryChange, DirectoryError, EndpointSelector,
};
use std::collections::HashMap;
use std::sync::Arc;

impl Reader<'_> {
    /// Builds the services of the section. Adds the errors of the section to `errors`.
    pub(crate) fn finish(mut self, errors: &mut Vec<ConfigError>) -> Services {
        let Some(section) = self.section_span else {
            return Services::none();
        };
        let mut directory = Directory::new(DirectoryBounds {
            services: self.max_services,
            routes: MAX_ROUTES,
        });
        self.check_section(section);
        self.add_services(&mut directory);
        self.add_selectors(&mut directory);
        self.add_routes(&mut directory);
        self.set_default(&mut directory);
        self.errors.finish(errors);
        Services {
            route_field: self.route_field,
            directory,
            first_line_spans: self.first_line_spans,
        }
    }

    /// Adds errors for a section without services, for routes without a route field, and for a
    /// section in which no request would have a service.
    fn check_section(&mut self, section: SourceSpan) {
        if self.services.is_empty() {
            self.errors.add_with_help(
                section,
                || format!("'{SECTION}' declares no service"),
                || "add a 'service' or remove the section".into(),
            );
        }
        if self.first_line_spans.contains_key(ROUTE_FIELD) {
            return;
        }
        if let Some(line) = self.routes.first() {
            self.errors.add_with_help(
                line.route.span,
                || "'route' has no effect without 'route-field'".into(),
                || "set 'route-field' too".into(),
            );
        } else if !self.first_line_spans.contains_key(DEFAULT) {
            self.errors.add_with_help(
                section,
                || {
                    "without 'route-field' all requests go to the 'default' service, which is not set"
                        .into()
                },
                || "set 'default', or set 'route-field' and add routes".into(),
            );
        }
    }

    fn add_services(&mut self, directory: &mut Directory) {
        let mut first_spans: HashMap<Arc<str>, SourceSpan> = HashMap::new();
        let mut first_excess_service: Option<SourceSpan> = None;
        let default = self.default.as_ref().map(|name| Arc::clone(&name.text));
        for line in &self.services {
            let (name, span) = (&line.service.text, line.service.span);
            match directory.apply(DirectoryChange::AddService {
                name: Arc::clone(name),
            }) {
                Ok(_) => {
                    first_spans.insert(Arc::clone(name), span);
                }
                Err(DirectoryError::TooManyServices { .. }) => {
                    first_excess_service = first_excess_service.or(Some(span));
                }
                Err(_) => {
                    let first = first_spans.get(name).copied().unwrap_or(span);
                    let message = format!("service '{name}' is declared twice");
                    self.errors.add_duplicate(span, &message, first);
                }
            }
            // The default service needs no servers of its own, since servers that no service
            // declares belong to it.
            if !line.has_servers_line && default.as_ref() != Some(name) {
                self.errors.add_with_help(
                    span,
                    || format!("service '{name}' has no servers"),
                    || "add 'servers' with networks, addresses or uids".into(),
                );
            }
        }
        if let Some(span) = first_excess_service {
            let (max, declared_count) = (self.max_services, self.services.len());
            self.errors.add_with_help(
                span,
                || format!("too many services: {declared_count} are declared, at most {max} are allowed"),
                || format!("raise 'most', which takes {}", allowed_max_services()),
            );
        }
    }

    fn add_selectors(&mut self, directory: &mut Directory) {
        let mut first: HashMap<&EndpointSelector, (&Arc<str>, SourceSpan)> = HashMap::new();
        for line in &self.services {
            let service = &line.service.text;
            for entry in &line.selectors {
                let selector = &entry.selector;
                if let Some((first_service, first_span)) = first.get(selector) {
                    let message =
                        format!("'{selector}' already belongs to service '{first_service}'");
                    self.errors.add_duplicate(entry.span, &message, *first_span);
                    continue;
                }
                first.insert(selector, (service, entry.span));
                // Fails only for a service beyond the maximum, for which an error has been added.
                let _ = directory.apply(DirectoryChange::Assign {
                    selector: selector.clone(),
                    service: Arc::clone(service),
                });
            }
        }
    }

    fn add_routes(&mut self, directory: &mut Directory) {
        let mut first_spans: HashMap<&Arc<str>, SourceSpan> = HashMap::new();
        for line in &self.routes {
            let (name, span) = (&line.route.text, line.route.span);
            if let Some(first) = first_spans.insert(name, span) {
                let message = format!("route '{name}' is declared twice");
                self.errors.add_duplicate(span, &message, first);
                continue;
            }
            match directory.apply(DirectoryChange::SetRoute {
                route: Arc::clone(name),
                service: Arc::clone(&line.service.text),
            }) {
                Ok(_) => {}
                Err(DirectoryError::UnknownService { .. }) => {
                    self.errors
                        .add_if_undeclared(&line.service, &self.declared_services);
                }
                Err(error) => self.errors.add_message(span, || error.to_string()),
            }
        }
    }

    fn set_default(&mut self, directory: &mut Directory) {
        let Some(default) = &self.default else { return };
        let service = Some(Arc::clone(&default.text));
        let change = DirectoryChange::SetDefault { service };
        if directory.apply(change).is_err() {
            self.errors
                .add_if_undeclared(default, &self.declared_services);
        }
    }
}
