//! A lookup table of IP networks with longest-prefix matching.

use crate::hash_table::shrink;
use ipnet::IpNet;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;

/// A map from networks to values. [`NetworkTable::longest_match`] costs one hash lookup for each
/// prefix length in use, independent of the number of networks.
#[derive(Clone, Debug)]
pub(crate) struct NetworkTable<V> {
    ipv4: TablesByPrefixLength<V>,
    ipv6: TablesByPrefixLength<V>,
    network_count: usize,
}

/// The networks of one address family by prefix length, longest first. Prefix lengths without
/// networks have no table.
type TablesByPrefixLength<V> = BTreeMap<Reverse<u8>, HashMap<IpNet, V>>;

impl<V> Default for NetworkTable<V> {
    fn default() -> Self {
        NetworkTable {
            ipv4: BTreeMap::new(),
            ipv6: BTreeMap::new(),
            network_count: 0,
        }
    }
}

impl<V: Copy> NetworkTable<V> {
    /// Returns the number of networks.
    pub(crate) fn len(&self) -> usize {
        self.network_count
    }

    /// Returns the number of networks that the tables have allocated space for.
    pub(crate) fn capacity(&self) -> usize {
        self.ipv4
            .values()
            .chain(self.ipv6.values())
            .map(HashMap::capacity)
            .sum()
    }

    /// Returns the value of exactly this network; other networks that contain it do not count.
    pub(crate) fn get(&self, network: IpNet) -> Option<V> {
        let network = network.trunc();
        let tables = match network {
            IpNet::V4(_) => &self.ipv4,
            IpNet::V6(_) => &self.ipv6,
        };
        tables
            .get(&Reverse(network.prefix_len()))?
            .get(&network)
            .copied()
    }

    /// Returns the value of the network with the longest prefix that contains the address. An
    /// IPv4-mapped IPv6 address is looked up as an IPv4 address.
    pub(crate) fn longest_match(&self, address: IpAddr) -> Option<V> {
        let address = address.to_canonical();
        let tables = match address {
            IpAddr::V4(_) => &self.ipv4,
            IpAddr::V6(_) => &self.ipv6,
        };
        tables
            .iter()
            .find_map(|(Reverse(prefix_length), networks)| {
                let network = IpNet::new(address, *prefix_length).ok()?.trunc();
                networks.get(&network).copied()
            })
    }

    /// Sets the value of a network and returns its previous value.
    pub(crate) fn insert(&mut self, network: IpNet, value: V) -> Option<V> {
        let network = network.trunc();
        let networks = self
            .tables_for(network)
            .entry(Reverse(network.prefix_len()))
            .or_default();
        let previous = networks.insert(network, value);
        self.network_count += usize::from(previous.is_none());
        previous
    }

    /// Removes a network and returns its value; `None` if the table does not have the network.
    pub(crate) fn remove(&mut self, network: IpNet) -> Option<V> {
        let network = network.trunc();
        let prefix_length = Reverse(network.prefix_len());
        let tables = self.tables_for(network);
        let networks = tables.get_mut(&prefix_length)?;
        let previous = networks.remove(&network)?;
        shrink(networks);
        if networks.is_empty() {
            tables.remove(&prefix_length);
        }
        self.network_count -= 1;
        Some(previous)
    }

    /// Returns all networks with their values, in arbitrary order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (IpNet, V)> + '_ {
        let tables = self.ipv4.values().chain(self.ipv6.values());
        tables.flatten().map(|(network, value)| (*network, *value))
    }

    fn tables_for(&mut self, network: IpNet) -> &mut TablesByPrefixLength<V> {
        match network {
            IpNet::V4(_) => &mut self.ipv4,
            IpNet::V6(_) => &mut self.ipv6,
        }
    }
}
