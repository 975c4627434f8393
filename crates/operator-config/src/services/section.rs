//! The section after it was read and checked.

use super::limits::{
    allowed_max_services, allowed_route_field, DEFAULT, DEFAULT_MAX_SERVICES, MOST, ROUTE,
    ROUTE_FIELD, SECTION, SERVICE,
};
use crate::setting_row::SettingRow;
use miette::SourceSpan;
use roseyard_request_engine::Directory;
use std::collections::BTreeMap;
use std::fmt;

/// The services of a file.
#[derive(Clone, Debug)]
pub struct Services {
    pub(super) route_field: Option<String>,
    pub(super) directory: Directory,
    /// Where the first line of each name is.
    pub(super) first_lines: BTreeMap<&'static str, SourceSpan>,
}

fn quoted(text: Option<&str>) -> String {
    text.map_or_else(|| "none".to_owned(), |text| format!("{text:?}"))
}

impl Services {
    /// No section: one service that has every server.
    pub(crate) fn none() -> Services {
        Services {
            route_field: None,
            directory: Directory::single_service(),
            first_lines: BTreeMap::new(),
        }
    }

    /// The name, in a request's list of names and values, that carries its route; none if requests
    /// carry no route.
    #[must_use]
    pub fn route_field(&self) -> Option<&str> {
        self.route_field.as_deref()
    }

    /// The services with their routes and servers.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Rows for `explain`: of lines that repeat, their number. `source_of` names a place in the
    /// file.
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
                let first_line = self.first_lines.get(name);
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
                "the name in a request's list of names and values that carries its route",
                allowed_route_field(),
            ),
            row(
                MOST,
                max_services.to_string(),
                "more services are refused",
                allowed_max_services(),
            ),
            row(
                DEFAULT,
                quoted(default),
                "the service of requests without a route and of servers that no line names",
                "the name of a service".into(),
            ),
            row(
                SERVICE,
                format!("{services} with {selectors} networks, addresses or uids of servers"),
                "services, and the networks, addresses and uids of their servers",
                "service NAME { servers … }".into(),
            ),
            row(
                ROUTE,
                directory.route_count().to_string(),
                "routes, each to its service",
                "route NAME service=NAME".into(),
            ),
        ]
    }
}

impl fmt::Display for Services {
    /// The number of services, routes and selectors, on one line.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.directory.is_single_service() {
            return f.write_str("services: none given, one service holds everything");
        }
        let services = self.directory.service_count();
        let routes = self.directory.route_count();
        let selectors = self.directory.selector_count();
        write!(f, "services: {services} services, {routes} routes, {selectors} networks, addresses or uids of servers")
    }
}
