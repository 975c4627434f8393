//! The lines of the section as they were read, each on its own.

use miette::SourceSpan;
use roseyard_request_engine::EndpointSelector;
use std::sync::Arc;

/// A name, and where it stands.
pub(super) struct Name {
    pub text: Arc<str>,
    pub span: SourceSpan,
}

/// An endpoint selector, and where it stands.
pub(super) struct SelectorEntry {
    pub selector: EndpointSelector,
    pub span: SourceSpan,
}

/// A line `service`.
pub(super) struct ServiceLine {
    pub service: Name,
    pub selectors: Vec<SelectorEntry>,
    /// Has it a line `servers`, whether or not that could be read?
    pub has_servers_line: bool,
}

/// A line `route`.
pub(super) struct RouteLine {
    pub route: Name,
    pub service: Name,
}
