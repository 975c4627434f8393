//! Addresses and prefixes as keys. An IPv4 address and the same one mapped into IPv6 (RFC 4291,
//! section 2.5.5.2) are one: guards against a client that doubles its caps by the way it is
//! written.

use ipnet::IpNet;
use std::collections::HashSet;
use std::net::IpAddr;

/// An address as 128 bits: IPv6 as it is, IPv4 in its mapped form.
fn bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().to_bits(),
        IpAddr::V6(v6) => v6.to_bits(),
    }
}

fn is_v4(bits: u128) -> bool {
    bits >> 32 == 0xffff
}

fn masked(bits: u128, len: u8) -> u128 {
    match len {
        0 => 0,
        len => bits & (u128::MAX << (128 - len.min(128))),
    }
}

/// How much of an address names a client and its neighbourhood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefixes {
    /// Bits of an IPv4 address that name a neighbourhood, 8 to 32.
    pub v4: u8,
    /// Bits of an IPv6 address that name one client, 32 to 128: a client usually has a whole /64 to
    /// itself.
    pub v6_client: u8,
    /// Bits of an IPv6 address that name a neighbourhood, 16 to 128.
    pub v6: u8,
}

impl Default for Prefixes {
    fn default() -> Self {
        Prefixes {
            v4: 24,
            v6_client: 64,
            v6: 48,
        }
    }
}

impl Prefixes {
    /// What names the client at an address.
    pub fn client(&self, address: IpAddr) -> u128 {
        let bits = bits(address);
        if is_v4(bits) {
            bits
        } else {
            masked(bits, self.v6_client)
        }
    }

    /// What names its neighbourhood.
    pub fn neighbourhood(&self, address: IpAddr) -> u128 {
        let bits = bits(address);
        masked(
            bits,
            if is_v4(bits) {
                96 + self.v4.min(32)
            } else {
                self.v6
            },
        )
    }
}

/// The operator's own addresses and ranges. A look-up takes one step for each length of prefix in
/// use, however many ranges there are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressList {
    lengths: Vec<u8>,
    ranges: HashSet<(u8, u128)>,
}

impl AddressList {
    /// These ranges; one address is a range of its own.
    pub fn new(ranges: impl IntoIterator<Item = IpNet>) -> AddressList {
        let mut listed = AddressList::default();
        for range in ranges {
            let bits = bits(range.network());
            // A range of IPv6 that lies within the mapped addresses is one of IPv4.
            let len = if let IpNet::V4(v4) = range {
                96 + v4.prefix_len()
            } else {
                range.prefix_len()
            };
            listed.ranges.insert((len, masked(bits, len)));
            if !listed.lengths.contains(&len) {
                listed.lengths.push(len);
            }
        }
        listed
    }

    /// Is this address within one of the ranges?
    pub fn contains(&self, address: IpAddr) -> bool {
        let bits = bits(address);
        self.lengths
            .iter()
            .any(|len| self.ranges.contains(&(*len, masked(bits, *len))))
    }

    /// Ranges held.
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// Is nothing listed?
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }
}
