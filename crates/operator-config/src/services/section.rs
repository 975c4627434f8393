//! The parsed and checked section.

use super::limits::{
    allowed_max_services, allowed_route_field, DEFAULT, DEFAULT_MAX_SERVICES, MOST, ROUTE,
    ROUTE_FIELD, SECTION, SERVICE,
};
use crate::setting_row::SettingRow;
use miette::SourceSpan;
use roseyard_request_engine::Directory;
use std::collections::BTreeMap;
use std::fmt;

/// The services that a file declares, with their routes and servers.
#[derive(Clone, Debug)]
pub struct Services {
    pub(super) route_field: Option<String>,
    pub(super) directory: Directory,
    /// The position of the first line of each name.
    pub(super) first_line_spans: BTreeMap<&'static str, SourceSpan>,
}

fn quoted(text: Option<&str>) -> String {
    text.map_or_else(|| "none".to_owned(), |text| format!("{text:?}"))
}

impl Services {
    /// Returns the services of a file without the section: a single service that has all servers.
    pub(crate) fn none() -> Services {
        Services {
            route_field: None,
            directory: Directory::single_service(),
            first_line_spans: BTreeMap::new(),
        }
    }

    /// Returns the name of the request field that contains the route; `None` if requests have no
    /// route.
    #[must_use]
    pub fn route_field(&self) -> Option<&str> {
        self.route_field.as_deref()
    }

    /// Returns the services with their routes and servers.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the rows for `roseyard-ingress explain`. The value of lines that may repeat is their
    /// number. `source_of` formats a position in the file.
    pub(crate) fn setting_rows(&self, source_of: impl Fn(SourceSpan) -> String) -> Vec<SettingRow> {
        let directory = &self.directory;
        let max_services = if directory.is_single_service() {
            DEFAULT_MAX_SERVICES
        } else {
            directory.bounds().services
        };
        let default = directory
            .default_service()
            .and_then(|id| directory.name(id));
        let services = directory.service_count();
        let selectors = directory.selector_count();
        let row =
            |name: &'static str, value: String, description: &'static str, allowed: String| {
                let first_line = self.first_line_spans.get(name);
                SettingRow {
                    name: format!("{SECTION}.{name}"),
                    value,
                    source: first_line
                        .map_or_else(|| "default".to_owned(), |span| source_of(*span)),
                    description,
                    allowed,
                }
            };
        vec![
            row(
                ROUTE_FIELD,
                quoted(self.route_field()),
                "name of the request field that contains the route; without it requests have no route",
                allowed_route_field(),
            ),
            row(
                MOST,
                max_services.to_string(),
                "maximum number of services in this file",
                allowed_max_services(),
            ),
            row(
                DEFAULT,
                quoted(default),
                "service of requests without a route and of servers that no 'service' declares",
                "the name of a service".into(),
            ),
            row(
                SERVICE,
                format!("{services} services with {selectors} networks, addresses or uids"),
                "services and the networks, addresses or uids that select their servers",
                "service NAME { servers … }".into(),
            ),
            row(
                ROUTE,
                directory.route_count().to_string(),
                "number of routes, each of which belongs to a service",
                "route NAME service=NAME".into(),
            ),
        ]
    }
}

impl fmt::Display for Services {
    /// Writes the numbers of services, routes and endpoint selectors on one line.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.directory.is_single_service() {
            return f
                .write_str("services: none declared, a single service has all routes and servers");
        }
        let services = self.directory.service_count();
        let routes = self.directory.route_count();
        let selectors = self.directory.selector_count();
        write!(f, "services: {services} services, {routes} routes, {selectors} server selectors (networks, addresses or uids)")
    }
}
