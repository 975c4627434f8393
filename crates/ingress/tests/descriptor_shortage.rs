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

fn round(site: &mut Site) {
    let now = site.now;
    site.program
        .round(Some(Duration::from_millis(1)), || now)
        .unwrap();
}

/// Rounds until the party has a connection more; none within this time of the test's clock is a
/// failure.
fn until_connected(
    site: &mut Site,
    shortage: &mut Shortage,
    (what, party): (&str, fn(&mut Site) -> &mut Party),
    most: Duration,
) {
    let (before, since) = (party(site).ends.len(), site.now);
    loop {
        for _ in 0..5 {
            round(site);
            shortage.lend(|| party(site).accept());
        }
        if party(site).ends.len() > before {
            return;
        }
        let open = site.program.open();
        assert!(
            site.now - since < most,
            "no connection to {what} within {most:?}; open: {open:?}"
        );
        site.now += Duration::from_millis(50);
    }
}

const IDLE: usize = 30;
const NEWCOMERS: usize = 12;
const PING: &str = "*1\r\n$4\r\nPING\r\n";

#[test]
fn discovery_counter_and_endpoints_are_reached_though_idle_clients_hold_the_last_descriptor() {
    let mut site = Site::new(2);
    site.talks = false;
    let mut usual = site.client();
    usual.send(PING.repeat(2));
    site.expect(&mut usual, "+PONG\r\n+PONG\r\n");
    let mut idle: Vec<End> = (0..IDLE).map(|_| site.client()).collect();
    for client in &mut idle {
        client.send(PING);
        site.expect(client, "+PONG\r\n");
    }
    // The counter's connections and discovery's are gone, and newcomers wait for what they leave.
    site.discovery.die();
    site.counter.party.ends.clear();
    idle.extend((0..NEWCOMERS).map(|_| site.client()));
    let mut shortage = Shortage::new();
    for _ in 0..10 {
        site.now += Duration::from_millis(50);
        round(&mut site);
    }
    assert!(
        site.program.open().clients < IDLE + NEWCOMERS,
        "there were more clients than descriptors"
    );
    shortage.lend(|| site.discovery.revive());
    // A call that broke is made again within half of the grace, 1 s at most.
    until_connected(
        &mut site,
        &mut shortage,
        ("discovery", |s| &mut s.discovery),
        Duration::from_millis(1050),
    );
    let news = list(
        42,
        false,
        &[target(0, site.endpoints[0].address, "DRAINING")],
    );
    site.discovery
        .ends
        .last_mut()
        .unwrap()
        .send(format!("{HEAD}{}", chunk(&news)));
    while site.program.list_version() == 41 {
        round(&mut site);
    }
    usual.send(load(1));
    until_connected(
        &mut site,
        &mut shortage,
        ("the counter", |s| &mut s.counter.party),
        Duration::ZERO,
    );
    while site.counter.calls.is_empty() {
        round(&mut site);
        site.counter.serve();
    }
    until_connected(
        &mut site,
        &mut shortage,
        ("the server", |s| &mut s.endpoints[1]),
        Duration::ZERO,
    );
    let (endpoint, connection, _) = site.arrival();
    site.endpoints[endpoint].ends[connection].send(served("v"));
    site.expect(&mut usual, "$1\r\nv\r\n");
    assert_eq!((endpoint, site.counter.calls.len()), (1, 1));
}
