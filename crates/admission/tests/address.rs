//! Keys of addresses: the same client is one key however its address is written.

use roseyard_admission::*;
use std::net::IpAddr;

fn ip(text: &str) -> IpAddr {
    text.parse().unwrap()
}

#[test]
fn a_mapped_address_is_the_ipv4_address_in_every_key() {
    let prefixes = Prefixes::default();
    let (plain, mapped) = (ip("192.0.2.7"), ip("::ffff:192.0.2.7"));
    assert_eq!(prefixes.client(plain), prefixes.client(mapped));
    assert_eq!(
        prefixes.neighbourhood(plain),
        prefixes.neighbourhood(mapped)
    );
    assert_eq!(
        prefixes.neighbourhood(plain),
        prefixes.neighbourhood(ip("192.0.2.250"))
    );
    assert_ne!(
        prefixes.neighbourhood(plain),
        prefixes.neighbourhood(ip("192.0.3.7"))
    );
    assert_ne!(prefixes.client(plain), prefixes.client(ip("192.0.2.8")));
    let listed = AddressList::new(["192.0.2.0/24".parse().unwrap()]);
    assert!(listed.contains(mapped) && !listed.contains(ip("192.0.3.1")));
}

#[test]
fn ipv6_clients_are_told_apart_by_64_bits_and_neighbours_by_48() {
    let prefixes = Prefixes::default();
    let (a, b, c) = (
        ip("2001:db8:1:2::1"),
        ip("2001:db8:1:2:ffff::9"),
        ip("2001:db8:1:3::1"),
    );
    assert_eq!(prefixes.client(a), prefixes.client(b));
    assert_ne!(prefixes.client(a), prefixes.client(c));
    assert_eq!(prefixes.neighbourhood(a), prefixes.neighbourhood(c));
    let listed = AddressList::new(["2001:db8::/32".parse().unwrap(), "::1/128".parse().unwrap()]);
    assert!(listed.contains(a) && listed.contains(ip("::1")) && !listed.contains(ip("::2")));
}
