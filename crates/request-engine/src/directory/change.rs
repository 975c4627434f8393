//! The changes of a directory and their effects on endpoints.

use super::bounds::DirectoryBounds;
use super::selector::EndpointSelector;
use roseyard_decision::ServiceId;
use std::sync::Arc;

/// A change of a directory. Changes refer to services by name, since a service that is yet to be
/// added has no id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// Adds a service.
    AddService {
        /// The name of the service.
        name: Arc<str>,
    },
    /// Removes a service that has no routes or selectors and is not the default.
    RemoveService {
        /// The name of the service.
        name: Arc<str>,
    },
    /// Adds a route, or moves it to another service.
    SetRoute {
        /// The name of the route.
        route: Arc<str>,
        /// The name of the route's service.
        service: Arc<str>,
    },
    /// Removes a route.
    RemoveRoute {
        /// The name of the route.
        route: Arc<str>,
    },
    /// Adds an endpoint selector to a service, or moves it from another service.
    Assign {
        /// The selector of the endpoints.
        selector: EndpointSelector,
        /// The name of the endpoints' service.
        service: Arc<str>,
    },
    /// Removes an endpoint selector.
    Unassign {
        /// The selector of the endpoints.
        selector: EndpointSelector,
    },
    /// Sets the service of requests without a route and of endpoints that no selector matches.
    SetDefault {
        /// The name of the service; `None` removes the default.
        service: Option<Arc<str>>,
    },
    /// Sets the limits on the number of services and routes.
    SetBounds(DirectoryBounds),
    /// If true, all routes and endpoints belong to [`SINGLE_SERVICE`](super::SINGLE_SERVICE),
    /// regardless of the other entries of the directory.
    SetSingleService(bool),
}

/// The endpoints that a change may have moved to another service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryEffect {
    /// The change has moved no endpoint.
    Unchanged,
    /// A service was added, which has moved no endpoint.
    Added(ServiceId),
    /// A service was removed, which has moved no endpoint. Its id is not reused.
    Removed(ServiceId),
    /// The change may have moved the endpoints that this selector matches.
    Reassigned(EndpointSelector),
    /// The change may have moved the endpoints that no selector matches.
    DefaultReassigned,
    /// The change may have moved any endpoint.
    AllReassigned,
}
