//! Idle clients hold the last descriptor of the process while discovery cannot be reached. The test
//! limits the descriptors of its own process, which the ingress shares, so it has to be the only
//! test of its file.

mod common;

use common::*;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::fs::File;
use std::time::Duration;

/// The number of descriptors reserved for the test, which needs one for each connection it accepts.
const RESERVED_DESCRIPTORS: usize = 8;

/// Leaves the process without free descriptors until it is dropped. The reserved ones are open
/// files, which the test closes to use their descriptors.
struct DescriptorShortage {
    limit_before: Rlimit,
    held: Vec<File>,
}

impl DescriptorShortage {
    fn new() -> DescriptorShortage {
        let limit_before = getrlimit(Resource::Nofile);
        let open = std::fs::read_dir("/proc/self/fd").unwrap();
        let highest = open
            .map(|entry| {
                entry
                    .unwrap()
                    .file_name()
                    .to_str()
                    .unwrap()
                    .parse::<u64>()
                    .unwrap()
            })
            .max();
        // The limit bounds the numbers of descriptors. `held` fills the unused numbers below it.
        let current = Some(highest.unwrap() + 1 + RESERVED_DESCRIPTORS as u64);
        setrlimit(
            Resource::Nofile,
            Rlimit {
                current,
                maximum: limit_before.maximum,
            },
        )
        .unwrap();
        let held: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
        assert!(
            held.len() >= RESERVED_DESCRIPTORS,
            "only {} descriptors reserved for the test",
            held.len()
        );
        DescriptorShortage { limit_before, held }
    }

    /// Frees one descriptor while the test does `work`. The ingress does not run meanwhile, so it
    /// cannot take the descriptor.
    fn with_free_descriptor<T>(&mut self, work: impl FnOnce() -> T) -> T {
        self.held.pop().expect("a reserved descriptor is left");
        let result = work();
        // Opens nothing if `work` has kept the descriptor.
        self.held.extend(File::open("/dev/null").ok());
        result
    }
}

impl Drop for DescriptorShortage {
    fn drop(&mut self) {
        self.held.clear();
        setrlimit(Resource::Nofile, self.limit_before).unwrap();
    }
}

/// Runs one iteration of the ingress, while its peers do nothing.
fn run_iteration_alone(harness: &mut Harness) {
    let now = harness.now;
    harness
        .program
        .run_iteration(Some(Duration::from_millis(1)), || now)
        .unwrap();
}

/// Runs the ingress until the peer has accepted another connection, which has to happen within
/// `max_delay` on the test's clock.
fn run_until_connected(
    harness: &mut Harness,
    shortage: &mut DescriptorShortage,
    (what, peer): (&str, fn(&mut Harness) -> &mut Peer),
    max_delay: Duration,
) {
    let (connections_before, since) = (peer(harness).connections.len(), harness.now);
    loop {
        for _ in 0..5 {
            run_iteration_alone(harness);
            shortage.with_free_descriptor(|| peer(harness).accept());
        }
        if peer(harness).connections.len() > connections_before {
            return;
        }
        let open = harness.program.open();
        assert!(
            harness.now - since < max_delay,
            "no connection to {what} within {max_delay:?}; open: {open:?}"
        );
        harness.now += Duration::from_millis(50);
    }
}

/// Lets discovery send that the first endpoint drains, and waits until the ingress has applied it.
fn apply_drain(harness: &mut Harness) {
    let update = endpoint_list(
        42,
        false,
        &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
    );
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(format!("{WATCH_HEAD}{}", chunk(&update)));
    while harness.program.list_revision() == 41 {
        run_iteration_alone(harness);
    }
}

const IDLE_CLIENTS: usize = 30;
const NEW_CLIENTS: usize = 12;
const PING: &str = "*1\r\n$4\r\nPING\r\n";

#[test]
fn discovery_counter_and_endpoints_are_reachable_while_idle_clients_hold_the_last_descriptor() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    let mut active = harness.connect();
    active.send(PING.repeat(2));
    harness.expect_reply(&mut active, "+PONG\r\n+PONG\r\n");
    let mut idle: Vec<Connection> = (0..IDLE_CLIENTS).map(|_| harness.connect()).collect();
    for client in &mut idle {
        client.send(PING);
        harness.expect_reply(client, "+PONG\r\n");
    }
    // The connections to the counter and discovery are closed, and new clients wait to be accepted
    // with the descriptors that this frees.
    harness.discovery.stop();
    harness.counter.peer.connections.clear();
    idle.extend((0..NEW_CLIENTS).map(|_| harness.connect()));
    let mut shortage = DescriptorShortage::new();
    for _ in 0..10 {
        harness.now += Duration::from_millis(50);
        run_iteration_alone(&mut harness);
    }
    assert!(
        harness.program.open().clients < IDLE_CLIENTS + NEW_CLIENTS,
        "there are fewer descriptors than clients"
    );
    shortage.with_free_descriptor(|| harness.discovery.restart());
    // A call that failed is repeated within half of the drain grace, at most 1 s.
    run_until_connected(
        &mut harness,
        &mut shortage,
        ("discovery", |h| &mut h.discovery),
        Duration::from_millis(1050),
    );
    apply_drain(&mut harness);
    active.send(read_request(1));
    run_until_connected(
        &mut harness,
        &mut shortage,
        ("the counter", |h| &mut h.counter.peer),
        Duration::ZERO,
    );
    while harness.counter.calls.is_empty() {
        run_iteration_alone(&mut harness);
        harness.counter.serve();
    }
    run_until_connected(
        &mut harness,
        &mut shortage,
        ("the endpoint", |h| &mut h.endpoints[1]),
        Duration::ZERO,
    );
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut active, "$1\r\nv\r\n");
    assert_eq!((endpoint, harness.counter.calls.len()), (1, 1));
}
