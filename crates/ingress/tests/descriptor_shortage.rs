//! The fourth term of the standing test with the system's last descriptor gone: idle clients hold
//! all there are while discovery is down. This test takes its own process's descriptors away, which
//! the ingress shares: it has to be the only one of its file.

mod common;

use common::*;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::fs::File;
use std::time::Duration;

/// So many descriptors are there to be lent to the test itself, which keeps one for each connection
/// that it accepts.
const LENT: usize = 8;

/// No descriptor is left to this process while this lives, but for those that are lent.
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
        // Whatever number of gaps the process has inherited below the highest descriptor.
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

    /// One is free for what the test itself does; the ingress never has it.
    fn lend<T>(&mut self, work: impl FnOnce() -> T) -> T {
        self.held.pop().expect("descriptors to lend");
        let done = work();
        // Unless the work has used it up.
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
        .round(Some(Duration::from_millis(1)), || now)
        .unwrap();
}

/// Rounds until the party has a connection more; none within this time of the test's clock is a
/// failure.
fn until_connected(
    harness: &mut Harness,
    shortage: &mut Shortage,
    (what, party): (&str, fn(&mut Harness) -> &mut Peer),
    most: Duration,
) {
    let (before, since) = (party(harness).connections.len(), harness.now);
    loop {
        for _ in 0..5 {
            round(harness);
            shortage.lend(|| party(harness).accept());
        }
        if party(harness).connections.len() > before {
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

const IDLE: usize = 30;
const NEWCOMERS: usize = 12;
const PING: &str = "*1\r\n$4\r\nPING\r\n";

#[test]
fn discovery_counter_and_endpoints_are_reached_though_idle_clients_hold_the_last_descriptor() {
    let mut harness = Harness::new(2);
    harness.discovery_replies = false;
    let mut usual = harness.connect();
    usual.send(PING.repeat(2));
    harness.expect_reply(&mut usual, "+PONG\r\n+PONG\r\n");
    let mut idle: Vec<Connection> = (0..IDLE).map(|_| harness.connect()).collect();
    for client in &mut idle {
        client.send(PING);
        harness.expect_reply(client, "+PONG\r\n");
    }
    // The counter's connections and discovery's are gone, and newcomers wait for what they leave.
    harness.discovery.stop();
    harness.counter.peer.connections.clear();
    idle.extend((0..NEWCOMERS).map(|_| harness.connect()));
    let mut shortage = Shortage::new();
    for _ in 0..10 {
        harness.now += Duration::from_millis(50);
        round(&mut harness);
    }
    assert!(
        harness.program.open().clients < IDLE + NEWCOMERS,
        "there were more clients than descriptors"
    );
    shortage.lend(|| harness.discovery.restart());
    // A call that broke is made again within half of the grace, 1 s at most.
    until_connected(
        &mut harness,
        &mut shortage,
        ("discovery", |s| &mut s.discovery),
        Duration::from_millis(1050),
    );
    let news = endpoint_list(
        42,
        false,
        &[endpoint_entry(0, harness.endpoints[0].address, "DRAINING")],
    );
    harness
        .discovery
        .connections
        .last_mut()
        .unwrap()
        .send(format!("{WATCH_HEAD}{}", chunk(&news)));
    while harness.program.list_revision() == 41 {
        round(&mut harness);
    }
    usual.send(read_request(1));
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
        ("the server", |s| &mut s.endpoints[1]),
        Duration::ZERO,
    );
    let (endpoint, connection, _) = harness.next_request();
    harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    harness.expect_reply(&mut usual, "$1\r\nv\r\n");
    assert_eq!((endpoint, harness.counter.calls.len()), (1, 1));
}
