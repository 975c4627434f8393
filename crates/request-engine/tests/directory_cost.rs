//! Tests that the memory use of the directory follows the number of live services, and that the
//! cost of lookups and changes does not depend on the size of the directory.

#[path = "directory/changes.rs"]
mod changes;

use changes::{add, assign, remove, set_route};
use ipnet::IpNet;
use roseyard_decision::ServiceId;
use roseyard_request_engine::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn address(n: u32) -> SocketAddr {
    SocketAddr::from((n.to_be_bytes(), 80))
}

fn selectors(n: u32) -> [EndpointSelector; 2] {
    let network = IpNet::from(address(n).ip());
    [
        EndpointSelector::network(network),
        EndpointSelector::uid(&format!("s-{n}")),
    ]
}

/// Adds a service with a route and two selectors.
fn add_service(directory: &mut Directory, n: u32) {
    let name = format!("service-{n}");
    directory.apply(add(&name)).unwrap();
    directory.apply(set_route(&name, &name)).unwrap();
    for selector in selectors(n) {
        directory.apply(assign(selector, &name)).unwrap();
    }
}

/// Removes a service with its route and selectors.
fn remove_service(directory: &mut Directory, n: u32) {
    let name = format!("service-{n}");
    directory
        .apply(DirectoryChange::RemoveRoute {
            route: name.as_str().into(),
        })
        .unwrap();
    for selector in selectors(n) {
        directory
            .apply(DirectoryChange::Unassign { selector })
            .unwrap();
    }
    directory.apply(remove(&name)).unwrap();
}

#[test]
fn memory_use_follows_the_number_of_live_services() {
    const ROUNDS: u32 = 100_000;
    const LIVE: u32 = 100;
    let mut directory = Directory::new(DirectoryBounds {
        services: 60_000,
        routes: 60_000,
    });
    // The first half of the services is added and removed one by one; all services of the second
    // half exist at the same time.
    for n in 0..ROUNDS / 2 {
        add_service(&mut directory, n);
        if n >= LIVE {
            remove_service(&mut directory, n - LIVE);
        }
    }
    for n in ROUNDS / 2..ROUNDS {
        add_service(&mut directory, n);
    }
    let largest = directory.capacity();
    for n in ROUNDS / 2 - LIVE..ROUNDS - LIVE {
        remove_service(&mut directory, n);
    }
    let counts = (
        directory.service_count(),
        directory.route_count(),
        directory.selector_count(),
    );
    assert_eq!(counts, (LIVE as usize, LIVE as usize, 2 * LIVE as usize));
    // The five tables each have space for at most eight times their entries.
    let capacity = directory.capacity();
    assert!(
        capacity <= 5 * 8 * LIVE as usize,
        "capacity for {capacity} entries, {largest} before the removals"
    );
    assert_eq!(
        directory.id("service-99999"),
        Some(ServiceId(ROUNDS)),
        "ids are not reused"
    );
    assert_eq!(directory.service_of_endpoint("s-1", address(1)), None);
}

/// Returns the median time of a round of `CALLS` calls.
fn median(mut call: impl FnMut(usize)) -> Duration {
    const ROUNDS: usize = 201;
    const CALLS: usize = 50;
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|round| {
            let started_at = Instant::now();
            (0..CALLS).for_each(|n| call(round * CALLS + n));
            started_at.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

#[test]
fn lookups_and_changes_cost_the_same_at_a_thousand_times_the_size() {
    /// A linear search would increase the cost a thousandfold. The limit allows for cache misses
    /// and for other load on the machine.
    const MAX_COST_RATIO: u32 = 20;
    let measure = |size: usize| {
        let mut directory = Directory::new(DirectoryBounds {
            services: size + 2,
            routes: 2 * size + 2,
        });
        let name = |n: usize| format!("service-{n}");
        let uid_selector = |n: usize| EndpointSelector::uid(&format!("s-{n}"));
        for n in 0..size {
            directory.apply(add(&name(n))).unwrap();
            directory.apply(set_route(&name(n), &name(n))).unwrap();
            directory.apply(assign(uid_selector(n), &name(n))).unwrap();
            let network = IpNet::from(std::net::IpAddr::from((n as u32).to_be_bytes()));
            directory
                .apply(assign(EndpointSelector::network(network), &name(n)))
                .unwrap();
        }
        let names: Vec<String> = (0..size).map(name).collect();
        let address: SocketAddr = "10.0.0.1:80".parse().unwrap();
        let lookup = median(|n| {
            let index = n * 7919 % size;
            assert!(directory.service_of_route(&names[index]).is_some());
            std::hint::black_box(directory.service_of_endpoint("none", address));
        });
        let change = median(|n| {
            let (route, service) = (&names[n * 7919 % size], &names[n * 6007 % size]);
            directory.apply(set_route(route, service)).unwrap();
            directory
                .apply(assign(uid_selector(n * 7919 % size), service))
                .unwrap();
            directory.apply(add("additional")).unwrap();
            directory.apply(remove("additional")).unwrap();
        });
        (lookup, change)
    };
    let (small, large) = (measure(100), measure(100_000));
    assert!(
        large.0 < small.0 * MAX_COST_RATIO,
        "time of 50 lookups: {:?} with 100 services, {:?} with 100,000",
        small.0,
        large.0
    );
    assert!(
        large.1 < small.1 * MAX_COST_RATIO,
        "time of 50 changes: {:?} with 100 services, {:?} with 100,000",
        small.1,
        large.1
    );
    println!(
        "time of 50 lookups: {:?} -> {:?}, of 50 changes: {:?} -> {:?}",
        small.0, large.0, small.1, large.1
    );
}
