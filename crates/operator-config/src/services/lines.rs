//! The parsed lines of the section, before they are checked against each other.

use miette::SourceSpan;
use roseyard_request_engine::EndpointSelector;
use std::sync::Arc;

/// The name of a service or route, and its position in the file.
pub(super) struct Name {
    pub text: Arc<str>,
    pub span: SourceSpan,
}

/// An endpoint selector, and its position in the file.
pub(super) struct SelectorEntry {
    pub selector: EndpointSelector,
    pub span: SourceSpan,
}

/// A line `service` with the endpoint selectors of its lines `servers`.
pub(super) struct ServiceLine {
    pub service: Name,
    pub selectors: Vec<SelectorEntry>,
    /// Whether the service has a line `servers`, valid or not.
    pub has_servers_line: bool,
}

/// A line `route`: requests with this route go to this service.
pub(super) struct RouteLine {
    pub route: Name,
    pub service: Name,
}
