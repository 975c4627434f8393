//! Addresses and address prefixes as keys. An IPv4 address and its IPv4-mapped IPv6 form (RFC 4291,
//! section 2.5.5.2) have the same key. Prevents a client from doubling its limits when it connects
//! under both forms.

use ipnet::IpNet;
use std::collections::HashSet;
use std::net::IpAddr;

/// Length of the IPv6 prefix under which IPv4 addresses are mapped, in bits.
const IPV4_MAPPED_PREFIX_BITS: u8 = 96;

/// An address as 128 bits: IPv6 as it is, IPv4 in its mapped form.
fn to_bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().to_bits(),
        IpAddr::V6(v6) => v6.to_bits(),
    }
}

fn is_ipv4(bits: u128) -> bool {
    bits >> 32 == 0xffff
}

/// The first `prefix_len` bits, the others 0.
fn mask(bits: u128, prefix_len: u8) -> u128 {
    match prefix_len {
        0 => 0,
        len => bits & (u128::MAX << (128 - len.min(128))),
    }
}

/// How many bits of an address identify a client, and how many identify its network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixLengths {
    /// Bits of an IPv4 address that identify a network, 8 to 32; 24 by default. An IPv4 client is
    /// identified by all 32.
    pub ipv4_network: u8,
    /// Bits of an IPv6 address that identify one client, 32 to 128; 64 by default, as a client
    /// usually has a /64 of its own.
    pub ipv6_client: u8,
    /// Bits of an IPv6 address that identify a network, 16 to 128; 48 by default.
    pub ipv6_network: u8,
}

impl Default for PrefixLengths {
    fn default() -> Self {
        PrefixLengths {
            ipv4_network: 24,
            ipv6_client: 64,
            ipv6_network: 48,
        }
    }
}

impl PrefixLengths {
    /// The key of the client at an address.
    #[must_use]
    pub fn client_key(&self, address: IpAddr) -> u128 {
        let bits = to_bits(address);
        if is_ipv4(bits) {
            bits
        } else {
            mask(bits, self.ipv6_client)
        }
    }

    /// The key of the network that an address belongs to.
    #[must_use]
    pub fn network_key(&self, address: IpAddr) -> u128 {
        let bits = to_bits(address);
        if is_ipv4(bits) {
            mask(bits, IPV4_MAPPED_PREFIX_BITS + self.ipv4_network.min(32))
        } else {
            mask(bits, self.ipv6_network)
        }
    }
}

/// A set of addresses and ranges of addresses. A look-up takes one step for each prefix length in
/// use, however many ranges there are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressList {
    prefix_lengths: Vec<u8>,
    prefixes: HashSet<(u8, u128)>,
}

impl AddressList {
    /// A list of these ranges. A single address is a range of full prefix length.
    #[must_use]
    pub fn new(ranges: impl IntoIterator<Item = IpNet>) -> AddressList {
        let mut list = AddressList::default();
        for range in ranges {
            let bits = to_bits(range.network());
            let prefix_len = match range {
                IpNet::V4(v4) => IPV4_MAPPED_PREFIX_BITS + v4.prefix_len(),
                IpNet::V6(v6) => v6.prefix_len(),
            };
            list.prefixes.insert((prefix_len, mask(bits, prefix_len)));
            if !list.prefix_lengths.contains(&prefix_len) {
                list.prefix_lengths.push(prefix_len);
            }
        }
        list
    }

    /// Is this address within one of the ranges? An IPv4 range also holds the mapped form of its
    /// addresses, and a range within the mapped addresses holds IPv4 ones.
    #[must_use]
    pub fn contains(&self, address: IpAddr) -> bool {
        let bits = to_bits(address);
        self.prefix_lengths
            .iter()
            .any(|len| self.prefixes.contains(&(*len, mask(bits, *len))))
    }

    /// The number of distinct ranges.
    #[must_use]
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Are there no ranges?
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }
}
