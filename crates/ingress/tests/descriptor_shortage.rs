//! Idle clients hold the system's last descriptor while discovery is down. This test limits its own
//! process's descriptors, which the ingress shares: it must be the only one of its file.

mod common;

use common::*;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::fs::File;
use std::time::Duration;

/// Descriptors kept for the test itself, which needs one for each connection that it accepts.
const LENT: usize = 8;

/// While this lives, the process has no descriptor left but those that are lent.
struct Shortage {
    before: Rlimit,
    held: Vec<File>,
}

impl Shortage {
    fn new() -> Shortage {
        let before = getrlimit(Resource::Nofile);
        let open = std::fs::read_dir("/proc/self/fd").unwrap();
        let highest = open
            .map(|e| {
                e.unwrap()
                    .file_name()
                    .to_str()
                    .unwrap()
                    .parse::<u64>()
                    .unwrap()
            })
            .max();
        // However many gaps there are below the highest descriptor.
        let current = Some(highest.unwrap() + 1 + LENT as u64);
        setrlimit(
            Resource::Nofile,
            Rlimit {
                current,
                maximum: before.maximum,
            },
        )
        .unwrap();
        let held: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
        assert!(
            held.len() >= LENT,
            "only {} descriptors to lend",
            held.len()
        );
        Shortage { before, held }
    }

    /// One descriptor is free for the test itself; the ingress never gets it.
    fn lend<T>(&mut self, work: impl FnOnce() -> T) -> T {
        self.held.pop().expect("descriptors to lend");
        let done = work();
        // Unless the work has kept it.
        self.held.extend(File::open("/dev/null").ok());
        done
    }
}

impl Drop for Shortage {
    fn drop(&mut self) {
        self.held.clear();
        setrlimit(Resource::Nofile, self.before).unwrap();
    }
}

fn round(harness: &mut Harness) {
    let now = harness.now;
    harness
        .program
        .run_iteration(Some(Duration::from_millis(1)), || now)
        .unwrap();
}

/// Runs rounds until the peer has another connection, which must come within this time of the test's
/// clock.
fn until_connected(
    harness: &mut Harness,
    shortage: &mut Shortage,
    (what, peer): (&str, fn(&mut Harness) -> &mut Peer),
    most: Duration,
) {
    let (before, since) = (peer(harness).connections.len(), harness.now);
    loop {
        for _ in 0..5 {
            round(harness);
            shortage.lend(|| peer(harness).accept());
        }
        if peer(harness).connections.len() > before {
            return;
        }
        let open = harness.program.open();
        assert!(
            harness.now - since < most,
            "no connection to {what} within {most:?}; open: {open:?}"
        );
        harness.now += Duration::from_millis(50);
    }
}

/// Discovery sends that the first endpoint drains, which is applied.
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
        round(harness);
    }
}

const IDLE: usize = 30;
const NEW_CLIENTS: usize = 12;
const PING: &str = "*1\r\n$4\r\nPING\r\n";

#[test]
fn discovery_counter_and_endpoints_are_reachable_while_idle_clients_hold_the_last_descriptor() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    let mut active = harness.connect();
    active.send(PING.repeat(2));
    harness.expect_reply(&mut active, "+PONG\r\n+PONG\r\n");
    let mut idle: Vec<Connection> = (0..IDLE).map(|_| harness.connect()).collect();
    for client in &mut idle {
        client.send(PING);
        harness.expect_reply(client, "+PONG\r\n");
    }
    // The connections of counter and discovery are closed, and new clients wait for their
    // descriptors.
    harness.discovery.stop();
    harness.counter.peer.connections.clear();
    idle.extend((0..NEW_CLIENTS).map(|_| harness.connect()));
    let mut shortage = Shortage::new();
    for _ in 0..10 {
        harness.now += Duration::from_millis(50);
        round(&mut harness);
    }
    assert!(
        harness.program.open().clients < IDLE + NEW_CLIENTS,
        "there were more clients than descriptors"
    );
    shortage.lend(|| harness.discovery.restart());
    // A call that broke is repeated within half of the grace, 1 s at most.
    until_connected(
        &mut harness,
        &mut shortage,
        ("discovery", |s| &mut s.discovery),
        Duration::from_millis(1050),
    );
    apply_drain(&mut harness);
    active.send(read_request(1));
    until_connected(
        &mut harness,
        &mut shortage,
        ("the counter", |s| &mut s.counter.peer),
        Duration::ZERO,
    );
    while harness.counter.calls.is_empty() {
        round(&mut harness);
        harness.counter.serve();
    }
    until_connected(
        &mut harness,
        &mut shortage,
        ("the endpoint", |s| &mut s.endpoints[1]),
        Duration::ZERO,
    );
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut active, "$1\r\nv\r\n");
    assert_eq!((endpoint, harness.counter.calls.len()), (1, 1));
}
