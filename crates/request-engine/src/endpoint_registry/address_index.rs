//! An index of endpoints by address.

use ipnet::IpNet;
use roseyard_decision::EndpointId;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// Endpoints ordered by address. Several endpoints may have the same address, of which at most one
/// accepts requests.
#[derive(Default)]
pub(super) struct AddressIndex {
    by_address: BTreeSet<(SocketAddr, EndpointId)>,
}

impl AddressIndex {
    pub(super) fn insert(&mut self, address: SocketAddr, endpoint: EndpointId) {
        self.by_address.insert((address, endpoint));
    }

    pub(super) fn remove(&mut self, address: SocketAddr, endpoint: EndpointId) {
        self.by_address.remove(&(address, endpoint));
    }

    /// Returns the endpoints at this address, ordered by id.
    pub(super) fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = EndpointId> + '_ {
        self.address_range(address, address)
    }

    /// Returns the endpoints whose address is in this network, ordered by address.
    pub(super) fn in_network(&self, network: IpNet) -> impl Iterator<Item = EndpointId> + '_ {
        let first = SocketAddr::new(network.network(), 0);
        let last = SocketAddr::new(last_address(network), u16::MAX);
        self.address_range(first, last)
    }

    fn address_range(
        &self,
        first: SocketAddr,
        last: SocketAddr,
    ) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_address
            .range((first, EndpointId(0))..=(last, EndpointId(u32::MAX)))
            .map(|(_, endpoint)| *endpoint)
    }
}

/// Returns the last address of a network.
fn last_address(network: IpNet) -> IpAddr {
    match network {
        IpNet::V4(network) => network.broadcast().into(),
        IpNet::V6(network) => network.broadcast().into(),
    }
}
