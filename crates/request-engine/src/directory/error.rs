//! The reasons for rejecting a change of a directory.

use super::selector::EndpointSelector;
use std::sync::Arc;

/// The reason why a change was rejected. The directory is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// The directory has no service with this name.
    #[error("there is no service '{name}'")]
    UnknownService {
        /// The name of the service.
        name: Arc<str>,
    },
    /// The directory already has a service with this name.
    #[error("service '{name}' already exists")]
    ServiceExists {
        /// The name of the service.
        name: Arc<str>,
    },
    /// The service cannot be removed, since it has routes or selectors or is the default.
    #[error("service '{name}' is in use: it has {routes} routes and {selectors} endpoint selectors{}", if *.default { " and is the default" } else { "" })]
    ServiceInUse {
        /// The name of the service.
        name: Arc<str>,
        /// The number of the service's routes.
        routes: usize,
        /// The number of the service's endpoint selectors.
        selectors: usize,
        /// Whether the service is the default.
        default: bool,
    },
    /// The directory does not have this route.
    #[error("there is no route '{route}'")]
    UnknownRoute {
        /// The name of the route.
        route: Arc<str>,
    },
    /// The directory does not have this endpoint selector.
    #[error("there is no endpoint selector '{selector}'")]
    UnknownSelector {
        /// The selector.
        selector: EndpointSelector,
    },
    /// The change would exceed the limit on services.
    #[error("too many services: at most {max} are allowed")]
    TooManyServices {
        /// The limit.
        max: usize,
    },
    /// The change would exceed the limit on routes.
    #[error("too many routes: at most {max} are allowed")]
    TooManyRoutes {
        /// The limit.
        max: usize,
    },
    /// All service ids have been assigned. Ids of removed services are not reused.
    #[error("no service id is left: all 32-bit ids have been assigned")]
    IdsExhausted,
}
