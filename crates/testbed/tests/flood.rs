//! Tests of the source addresses of a flood.

use roseyard_testbed::flood::source_address;
use std::collections::HashSet;
use std::net::Ipv4Addr;

#[test]
fn a_flood_uses_exactly_the_requested_number_of_loopback_addresses() {
    let all: HashSet<_> = (0..20_000).map(|n| source_address(n, 4000)).collect();
    assert_eq!(all.len(), 4000);
    assert!(all.iter().all(Ipv4Addr::is_loopback));
}
