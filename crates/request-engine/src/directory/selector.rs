//! Which endpoints a service has.

use ipnet::IpNet;
use std::fmt;
use std::sync::Arc;

/// Endpoints that are assigned to a service together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointSelector {
    /// Those whose address lies in this network, unless a longer network or their uid assigns them
    /// elsewhere.
    Network(IpNet),
    /// The one of this uid, whatever its address.
    Uid(Arc<str>),
}

impl EndpointSelector {
    /// A selector for a network; bits beyond its prefix are dropped.
    pub fn network(network: IpNet) -> EndpointSelector {
        EndpointSelector::Network(network.trunc())
    }

    /// A selector for an endpoint's uid.
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
