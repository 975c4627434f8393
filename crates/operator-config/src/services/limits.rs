//! The keywords and limits of the section, and descriptions of its allowed values.

use roseyard_request_engine::MAX_NAME_BYTES;

/// The name of the section.
pub(crate) const SECTION: &str = "services";

/// The names of the lines that the section may contain.
pub(super) const ROUTE_FIELD: &str = "route-field";
pub(super) const MOST: &str = "most";
pub(super) const DEFAULT: &str = "default";
pub(super) const SERVICE: &str = "service";
pub(super) const ROUTE: &str = "route";
pub(super) const LINE_NAMES: [&str; 5] = [ROUTE_FIELD, MOST, DEFAULT, SERVICE, ROUTE];
/// The name of the lines that a service may contain.
pub(super) const SERVERS: &str = "servers";

/// Maximum number of services, unless the file sets another maximum.
pub(super) const DEFAULT_MAX_SERVICES: usize = 4096;
/// The largest maximum number of services that a file may set.
pub(super) const MAX_SERVICES_UPPER_BOUND: u64 = 65_536;
/// Maximum number of routes.
pub(super) const MAX_ROUTES: usize = 65_536;
/// Maximum length of the name of the request field that contains the route.
pub(super) const MAX_ROUTE_FIELD_BYTES: usize = 32;

pub(super) fn allowed_route_field() -> String {
    format!("1 to {MAX_ROUTE_FIELD_BYTES} letters, digits, '.', '-' or '_'")
}

pub(super) fn allowed_max_services() -> String {
    format!("a whole number from 1 to {MAX_SERVICES_UPPER_BOUND}")
}

pub(super) fn allowed_name() -> String {
    format!("1 to {MAX_NAME_BYTES} bytes without control characters")
}

/// Whether the text is allowed as the name of a service or route.
pub(super) fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && !text.chars().any(char::is_control)
}
