//! The source addresses of a flood.

use roseyard_testbed::flood::source_address;
use std::collections::HashSet;
use std::net::Ipv4Addr;

#[test]
fn source_addresses_are_as_many_as_requested_and_all_on_loopback() {
    let all: HashSet<_> = (0..20_000).map(|n| source_address(n, 4000)).collect();
    assert_eq!(all.len(), 4000);
    assert!(all.iter().all(Ipv4Addr::is_loopback));
}
