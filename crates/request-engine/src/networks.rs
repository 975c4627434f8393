//! A table of networks that finds the longest prefix holding an address.

use crate::tables::shrink;
use ipnet::IpNet;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

/// Values by network. A lookup costs one hash lookup for each prefix length in use, whatever the
/// number of networks.
#[derive(Clone, Debug)]
pub(crate) struct Networks<V> {
    v4: Lengths<V>,
    v6: Lengths<V>,
    len: usize,
}

/// Networks of one family by prefix length, the longest first. A length without networks has no
/// table.
type Lengths<V> = BTreeMap<Reverse<u8>, HashMap<IpNet, V>>;

impl<V> Default for Networks<V> {
    fn default() -> Self {
        Networks {
            v4: BTreeMap::new(),
            v6: BTreeMap::new(),
            len: 0,
        }
    }
}

impl<V: Copy> Networks<V> {
    /// Number of networks.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Networks that the tables have room for.
    pub(crate) fn capacity(&self) -> usize {
        self.v4
            .values()
            .chain(self.v6.values())
            .map(HashMap::capacity)
            .sum()
    }

    /// The value of exactly this network.
    pub(crate) fn get(&self, network: IpNet) -> Option<V> {
        let network = network.trunc();
        let lengths = match network {
            IpNet::V4(_) => &self.v4,
            IpNet::V6(_) => &self.v6,
        };
        lengths
            .get(&Reverse(network.prefix_len()))?
            .get(&network)
            .copied()
    }

    /// The value of the longest network that holds an address.
    pub(crate) fn longest(&self, address: IpAddr) -> Option<V> {
        let address = address.to_canonical();
        let lengths = match address {
            IpAddr::V4(_) => &self.v4,
            IpAddr::V6(_) => &self.v6,
        };
        lengths.iter().find_map(|(Reverse(length), networks)| {
            let network = IpNet::new(address, *length).ok()?.trunc();
            networks.get(&network).copied()
        })
    }

    /// Sets a network's value and returns the one before.
    pub(crate) fn insert(&mut self, network: IpNet, value: V) -> Option<V> {
        let network = network.trunc();
        let networks = self
            .lengths(network)
            .entry(Reverse(network.prefix_len()))
            .or_default();
        let before = networks.insert(network, value);
        self.len += usize::from(before.is_none());
        before
    }

    /// Removes a network and returns its value.
    pub(crate) fn remove(&mut self, network: IpNet) -> Option<V> {
        let network = network.trunc();
        let length = Reverse(network.prefix_len());
        let lengths = self.lengths(network);
        let networks = lengths.get_mut(&length)?;
        let before = networks.remove(&network)?;
        shrink(networks);
        if networks.is_empty() {
            lengths.remove(&length);
        }
        self.len -= 1;
        Some(before)
    }

    /// All networks with their values, in no order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (IpNet, V)> + '_ {
        let tables = self.v4.values().chain(self.v6.values());
        tables.flatten().map(|(network, value)| (*network, *value))
    }

    fn lengths(&mut self, network: IpNet) -> &mut Lengths<V> {
        match network {
            IpNet::V4(_) => &mut self.v4,
            IpNet::V6(_) => &mut self.v6,
        }
    }
}
