//! Keys of client addresses and networks, and sets of address ranges.
//!
//! An IPv4 address and its IPv4-mapped IPv6 form (RFC 4291, section 2.5.5.2) have the same key.
//! Otherwise a client could double its limits by connecting with both forms.

use ipnet::IpNet;
use std::collections::HashSet;
use std::net::IpAddr;

/// The length of the IPv6 prefix `::ffff:0:0/96`, which IPv4-mapped addresses start with.
const IPV4_MAPPED_PREFIX_BITS: u8 = 96;

/// Returns an address as 128 bits; an IPv4 address is converted to its IPv4-mapped form.
fn to_bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().to_bits(),
        IpAddr::V6(v6) => v6.to_bits(),
    }
}

/// Whether the bits are those of an IPv4-mapped address.
fn is_ipv4(bits: u128) -> bool {
    bits >> 32 == 0xffff
}

/// Clears all bits after the first `prefix_len` bits.
fn mask(bits: u128, prefix_len: u8) -> u128 {
    match prefix_len {
        0 => 0,
        len => bits & (u128::MAX << (128 - len.min(128))),
    }
}

/// The numbers of leading address bits that identify a client and its network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixLengths {
    /// The prefix length of an IPv4 network, 8 to 32; 24 by default. An IPv4 client is identified
    /// by all 32 bits of its address.
    pub ipv4_network: u8,
    /// The prefix length that identifies an IPv6 client, 32 to 128; 64 by default, because a client
    /// usually has a /64 of its own.
    pub ipv6_client: u8,
    /// The prefix length of an IPv6 network, 16 to 128; 48 by default.
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
    /// Returns the key of the client with this address.
    #[must_use]
    pub fn client_key(&self, address: IpAddr) -> u128 {
        let bits = to_bits(address);
        if is_ipv4(bits) {
            bits
        } else {
            mask(bits, self.ipv6_client)
        }
    }

    /// Returns the key of the network that contains this address.
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

/// A set of address ranges. A lookup takes one hash table access per distinct prefix length,
/// regardless of the number of ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressList {
    prefix_lengths: Vec<u8>,
    prefixes: HashSet<(u8, u128)>,
}

impl AddressList {
    /// Creates a list of these ranges. A single address is a range with the full prefix length.
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

    /// Whether one of the ranges contains this address. An IPv4 range also contains the IPv4-mapped
    /// form of its addresses, and a range of IPv4-mapped addresses contains their IPv4 form.
    #[must_use]
    pub fn contains(&self, address: IpAddr) -> bool {
        let bits = to_bits(address);
        self.prefix_lengths
            .iter()
            .any(|len| self.prefixes.contains(&(*len, mask(bits, *len))))
    }

    /// Returns the number of distinct ranges.
    #[must_use]
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether the list has no ranges, so that it contains no address.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }
}
