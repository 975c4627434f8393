//! Changes of a directory, and what they mean for the endpoints.

use super::bounds::DirectoryBounds;
use super::selector::EndpointSelector;
use roseyard_decision::ServiceId;
use std::sync::Arc;

/// One change of a directory. Services are named, since one that is added has no id yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// Adds a service.
    AddService {
        /// Its name.
        name: Arc<str>,
    },
    /// Removes a service that no route, selector or default refers to.
    RemoveService {
        /// Its name.
        name: Arc<str>,
    },
    /// Adds a route, or moves it to another service.
    SetRoute {
        /// The route.
        route: Arc<str>,
        /// Name of its service.
        service: Arc<str>,
    },
    /// Removes a route.
    RemoveRoute {
        /// The route.
        route: Arc<str>,
    },
    /// Assigns endpoints to a service, or moves them to another one.
    Assign {
        /// The endpoints.
        selector: EndpointSelector,
        /// Name of their service.
        service: Arc<str>,
    },
    /// Removes a selector.
    Unassign {
        /// The endpoints.
        selector: EndpointSelector,
    },
    /// Sets the service of requests without a route and of endpoints that no selector names.
    SetDefault {
        /// Its name; none: there is no default.
        service: Option<Arc<str>>,
    },
    /// Sets how much the directory may hold.
    SetBounds(DirectoryBounds),
    /// While set, everything belongs to [`SINGLE_SERVICE`](super::SINGLE_SERVICE), whatever else
    /// the directory holds.
    SetSingleService(bool),
}

/// Which endpoints a change may have moved to another service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryEffect {
    /// None.
    Unchanged,
    /// None; a service was added.
    Added(ServiceId),
    /// None; a service was removed. Its id is never used again.
    Removed(ServiceId),
    /// These endpoints.
    Reassigned(EndpointSelector),
    /// The endpoints that no selector names.
    DefaultReassigned,
    /// All endpoints.
    AllReassigned,
}
