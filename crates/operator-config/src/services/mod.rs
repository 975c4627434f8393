//! The section `services`: its lines repeat, so it has a reader of its own beside the table of
//! settings.

mod check;
mod faults;
mod reader;
mod selector;

pub(crate) use reader::Reader;

use crate::explain::SettingRow;
use miette::SourceSpan;
use roseyard_request_engine::{Directory, MAX_NAME_BYTES};
use std::collections::BTreeMap;
use std::fmt;

/// Name of the section.
pub(crate) const SECTION: &str = "services";
/// What the section may hold.
const LINES: [&str; 5] = ["route-field", "most", "default", "service", "route"];
/// Most services, unless the file says otherwise, and the most that it may say.
const SERVICES: usize = 4096;
const MOST_SERVICES: u64 = 65_536;
/// Longest name of the field that carries the route, in bytes.
const MOST_FIELD_BYTES: usize = 32;

/// The services of a file, checked.
#[derive(Clone, Debug)]
pub struct Services {
    route_field: Option<String>,
    directory: Directory,
    /// Where the first line of each name stands.
    places: BTreeMap<&'static str, SourceSpan>,
}

impl Services {
    /// No section: one service that holds everything.
    pub(crate) fn none() -> Services {
        Services {
            route_field: None,
            directory: Directory::single(),
            places: BTreeMap::new(),
        }
    }

    /// The name, in a request's list of names and values, that carries its route; none: requests
    /// carry no route.
    pub fn route_field(&self) -> Option<&str> {
        self.route_field.as_deref()
    }

    /// The services with their routes and servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// What is shown of them: settings in full, lines that repeat by their number.
    pub(crate) fn rows(&self, place: impl Fn(SourceSpan) -> String) -> Vec<SettingRow> {
        let directory = &self.directory;
        let quoted =
            |text: Option<&str>| text.map_or_else(|| "none".to_owned(), |text| format!("{text:?}"));
        let most = if directory.is_single() {
            SERVICES
        } else {
            directory.bounds().services
        };
        let default = directory
            .default_service()
            .and_then(|id| directory.name(id));
        let selectors = directory.selector_count();
        let row =
            |name: &'static str, value: String, about: &'static str, allowed: String| SettingRow {
                name: format!("{SECTION}.{name}"),
                value,
                source: self
                    .places
                    .get(name)
                    .map_or_else(|| "default".to_owned(), |span| place(*span)),
                about,
                allowed,
            };
        vec![
            row(
                LINES[0],
                quoted(self.route_field()),
                "the name in a request's list of names and values that carries its route",
                field_allowed(),
            ),
            row(
                LINES[1],
                most.to_string(),
                "more services are refused",
                most_allowed(),
            ),
            row(
                LINES[2],
                quoted(default),
                "the service of requests without a route and of servers that no line names",
                "the name of a service".into(),
            ),
            row(
                LINES[3],
                format!(
                    "{} with {selectors} networks, addresses or uids of servers",
                    directory.service_count()
                ),
                "services, and the networks, addresses and uids of their servers",
                "service NAME { servers … }".into(),
            ),
            row(
                LINES[4],
                directory.route_count().to_string(),
                "routes, each to its service",
                "route NAME service=NAME".into(),
            ),
        ]
    }
}

impl fmt::Display for Services {
    /// Their numbers, on one line.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.directory.is_single() {
            return f.write_str("services: none given, one service holds everything");
        }
        let (services, routes) = (self.directory.service_count(), self.directory.route_count());
        let selectors = self.directory.selector_count();
        write!(f, "services: {services} services, {routes} routes, {selectors} networks, addresses or uids of servers")
    }
}

fn field_allowed() -> String {
    format!("1 to {MOST_FIELD_BYTES} letters, digits, '.', '-' or '_'")
}

fn most_allowed() -> String {
    format!("a whole number from 1 to {MOST_SERVICES}")
}

fn name_allowed() -> String {
    format!("1 to {MAX_NAME_BYTES} bytes without control characters")
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && !text.chars().any(char::is_control)
}
