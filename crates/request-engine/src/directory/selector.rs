//! Selectors of endpoints, which assign endpoints to services.

use ipnet::IpNet;
use std::fmt;
use std::sync::Arc;

/// Selects the endpoints that are assigned to a service together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointSelector {
    /// Selects the endpoints whose address is in this network, unless a selector with a longer
    /// prefix or with their uid assigns them to another service.
    Network(IpNet),
    /// Selects the endpoint with this uid, regardless of its address.
    Uid(Arc<str>),
}

impl EndpointSelector {
    /// Returns a selector for a network. Address bits beyond the prefix are cleared.
    pub fn network(network: IpNet) -> EndpointSelector {
        EndpointSelector::Network(network.trunc())
    }

    /// Returns a selector for the endpoint with this uid.
    pub fn uid(uid: &str) -> EndpointSelector {
        EndpointSelector::Uid(uid.into())
    }
}

impl fmt::Display for EndpointSelector {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            EndpointSelector::Network(network) => network.fmt(formatter),
            EndpointSelector::Uid(uid) => formatter.write_str(uid),
        }
    }
}
