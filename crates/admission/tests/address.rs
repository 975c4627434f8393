//! The keys of addresses and networks, and lookups in address lists.

use roseyard_admission::*;
use std::net::IpAddr;

fn ip(text: &str) -> IpAddr {
    text.parse().unwrap()
}

#[test]
fn an_ipv4_mapped_address_has_the_same_keys_as_its_ipv4_address() {
    let prefix_lengths = PrefixLengths::default();
    let (unmapped, mapped) = (ip("192.0.2.7"), ip("::ffff:192.0.2.7"));
    assert_eq!(
        prefix_lengths.client_key(unmapped),
        prefix_lengths.client_key(mapped)
    );
    assert_eq!(
        prefix_lengths.network_key(unmapped),
        prefix_lengths.network_key(mapped)
    );
    assert_eq!(
        prefix_lengths.network_key(unmapped),
        prefix_lengths.network_key(ip("192.0.2.250"))
    );
    assert_ne!(
        prefix_lengths.network_key(unmapped),
        prefix_lengths.network_key(ip("192.0.3.7"))
    );
    assert_ne!(
        prefix_lengths.client_key(unmapped),
        prefix_lengths.client_key(ip("192.0.2.8"))
    );
    let allowlist = AddressList::new(["192.0.2.0/24".parse().unwrap()]);
    assert!(allowlist.contains(mapped) && !allowlist.contains(ip("192.0.3.1")));
}

#[test]
fn ipv6_clients_are_identified_by_64_bits_and_networks_by_48() {
    let prefix_lengths = PrefixLengths::default();
    let (a, b, c) = (
        ip("2001:db8:1:2::1"),
        ip("2001:db8:1:2:ffff::9"),
        ip("2001:db8:1:3::1"),
    );
    assert_eq!(prefix_lengths.client_key(a), prefix_lengths.client_key(b));
    assert_ne!(prefix_lengths.client_key(a), prefix_lengths.client_key(c));
    assert_eq!(prefix_lengths.network_key(a), prefix_lengths.network_key(c));
    let allowlist =
        AddressList::new(["2001:db8::/32".parse().unwrap(), "::1/128".parse().unwrap()]);
    assert!(
        allowlist.contains(a) && allowlist.contains(ip("::1")) && !allowlist.contains(ip("::2"))
    );
}
