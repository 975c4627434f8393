//! Why a change of a directory is rejected.

use super::selector::EndpointSelector;
use std::sync::Arc;

/// Why a change was rejected. The directory is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// No service has this name.
    #[error("there is no service '{name}'")]
    UnknownService {
        /// The name.
        name: Arc<str>,
    },
    /// A service has this name already.
    #[error("there is a service '{name}' already")]
    ServiceExists {
        /// The name.
        name: Arc<str>,
    },
    /// The service is still referred to.
    #[error("service '{name}' is in use: by {routes} routes, by {selectors} networks, addresses or uids of servers{}", if *.default { ", as the default" } else { "" })]
    ServiceInUse {
        /// Its name.
        name: Arc<str>,
        /// Number of routes that name it.
        routes: usize,
        /// Number of endpoint selectors that name it.
        selectors: usize,
        /// Whether it is the default.
        default: bool,
    },
    /// The directory does not have this route.
    #[error("there is no route '{route}'")]
    UnknownRoute {
        /// The route.
        route: Arc<str>,
    },
    /// No service has this endpoint selector.
    #[error("no service has a line for the servers '{selector}'")]
    UnknownSelector {
        /// The selector.
        selector: EndpointSelector,
    },
    /// There would be more services than the bound.
    #[error("more than {max} services")]
    TooManyServices {
        /// The bound.
        max: usize,
    },
    /// There would be more routes than the bound.
    #[error("more than {max} routes")]
    TooManyRoutes {
        /// The bound.
        max: usize,
    },
    /// All service ids are used up.
    #[error("no id is left for another service")]
    NoIdLeft,
}
