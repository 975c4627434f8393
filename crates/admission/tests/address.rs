//! Keys of addresses and networks.

use roseyard_admission::*;
use std::net::IpAddr;

fn ip(text: &str) -> IpAddr {
    text.parse().unwrap()
}

#[test]
fn a_mapped_address_is_the_ipv4_address_in_every_key() {
    let lengths = PrefixLengths::default();
    let (plain, mapped) = (ip("192.0.2.7"), ip("::ffff:192.0.2.7"));
    assert_eq!(lengths.client_key(plain), lengths.client_key(mapped));
    assert_eq!(lengths.network_key(plain), lengths.network_key(mapped));
    assert_eq!(
        lengths.network_key(plain),
        lengths.network_key(ip("192.0.2.250"))
    );
    assert_ne!(
        lengths.network_key(plain),
        lengths.network_key(ip("192.0.3.7"))
    );
    assert_ne!(
        lengths.client_key(plain),
        lengths.client_key(ip("192.0.2.8"))
    );
    let allowlist = AddressList::new(["192.0.2.0/24".parse().unwrap()]);
    assert!(allowlist.contains(mapped) && !allowlist.contains(ip("192.0.3.1")));
}

#[test]
fn ipv6_clients_are_identified_by_64_bits_and_networks_by_48() {
    let lengths = PrefixLengths::default();
    let (a, b, c) = (
        ip("2001:db8:1:2::1"),
        ip("2001:db8:1:2:ffff::9"),
        ip("2001:db8:1:3::1"),
    );
    assert_eq!(lengths.client_key(a), lengths.client_key(b));
    assert_ne!(lengths.client_key(a), lengths.client_key(c));
    assert_eq!(lengths.network_key(a), lengths.network_key(c));
    let allowlist =
        AddressList::new(["2001:db8::/32".parse().unwrap(), "::1/128".parse().unwrap()]);
    assert!(
        allowlist.contains(a) && allowlist.contains(ip("::1")) && !allowlist.contains(ip("::2"))
    );
}
