//! Names and limits of the section, and what is allowed for its values.

use roseyard_request_engine::MAX_NAME_BYTES;

/// Name of the section.
pub(crate) const SECTION: &str = "services";

/// Names of the lines that the section may hold.
pub(super) const ROUTE_FIELD: &str = "route-field";
pub(super) const MOST: &str = "most";
pub(super) const DEFAULT: &str = "default";
pub(super) const SERVICE: &str = "service";
pub(super) const ROUTE: &str = "route";
pub(super) const LINE_NAMES: [&str; 5] = [ROUTE_FIELD, MOST, DEFAULT, SERVICE, ROUTE];
/// Name of the lines that a service may hold.
pub(super) const SERVERS: &str = "servers";

/// Services that a file may hold, unless it sets another maximum.
pub(super) const DEFAULT_MAX_SERVICES: usize = 4096;
/// Greatest maximum of services that a file may set.
pub(super) const MAX_MAX_SERVICES: u64 = 65_536;
/// Routes that a file may hold.
pub(super) const MAX_ROUTES: usize = 65_536;
/// Longest name of the field that carries the route, in bytes.
pub(super) const MAX_ROUTE_FIELD_BYTES: usize = 32;

pub(super) fn allowed_route_field() -> String {
    format!("1 to {MAX_ROUTE_FIELD_BYTES} letters, digits, '.', '-' or '_'")
}

pub(super) fn allowed_max_services() -> String {
    format!("a whole number from 1 to {MAX_MAX_SERVICES}")
}

pub(super) fn allowed_name() -> String {
    format!("1 to {MAX_NAME_BYTES} bytes without control characters")
}

/// Is this allowed as the name of a service or route?
pub(super) fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && !text.chars().any(char::is_control)
}
