//! Endpoints in the order of their addresses.

use ipnet::IpNet;
use roseyard_decision::EndpointId;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// Endpoints by address. An address may have several, of which one is ready.
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

    /// The endpoints at this address, in the order of their ids.
    pub(super) fn at(&self, address: SocketAddr) -> impl Iterator<Item = EndpointId> + '_ {
        self.between(address, address)
    }

    /// The endpoints whose address lies in this network, in the order of addresses.
    pub(super) fn in_network(&self, network: IpNet) -> impl Iterator<Item = EndpointId> + '_ {
        let first = SocketAddr::new(network.network(), 0);
        let last = SocketAddr::new(last_address(network), u16::MAX);
        self.between(first, last)
    }

    fn between(
        &self,
        first: SocketAddr,
        last: SocketAddr,
    ) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_address
            .range((first, EndpointId(0))..=(last, EndpointId(u32::MAX)))
            .map(|(_, endpoint)| *endpoint)
    }
}

/// The last address of a network.
fn last_address(network: IpNet) -> IpAddr {
    match network {
        IpNet::V4(network) => network.broadcast().into(),
        IpNet::V6(network) => network.broadcast().into(),
    }
}
