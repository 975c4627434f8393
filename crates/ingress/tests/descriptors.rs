//! The system has no descriptor left. This test takes its own process's descriptors away, which the
//! ingress shares: it has to be the only one of its file.

mod common;

use common::*;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::time::Duration;

/// In one round servers turn submits away and newcomers wait at the listener. The descriptors of
/// the links that are free again belong to the further attempts of what is held, not to the
/// newcomers.
#[test]
fn newcomers_do_not_take_the_descriptors_of_further_attempts() {
    let mut harness = Harness::new(3);
    let to = harness.program.address().unwrap();
    let mut clients: Vec<Connection> = (0..6).map(|_| Connection::connect(to)).collect();
    let mut out = Vec::new();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(request_of_customer(
            500 + n as u64,
            "API.WRITE",
            1 + n as u64,
            WRITE_FIELDS,
        ));
        out.push(harness.next_request());
    }
    // In this order the ingress hears of the answers first.
    out.iter()
        .for_each(|(s, c, _)| harness.endpoints[*s].connections[*c].send("-BUSY\r\n"));
    let flood: Vec<Connection> = (0..12).map(|_| Connection::connect(to)).collect();
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
    let current = Some(highest.unwrap() + 1);
    setrlimit(
        Resource::Nofile,
        Rlimit {
            current,
            maximum: before.maximum,
        },
    )
    .unwrap();
    let filling: Vec<_> = std::iter::from_fn(|| std::fs::File::open("/dev/null").ok()).collect();
    let now = harness.now;
    harness
        .program
        .round(Some(Duration::from_millis(1)), || now)
        .unwrap();
    setrlimit(Resource::Nofile, before).unwrap();
    drop(filling);
    // As many as the budget of further attempts pays for after six requests.
    for n in 0..2 {
        let (s, c, words) = harness.next_request();
        assert_eq!(words[0], "API.WRITE", "further attempt {n}");
        harness.endpoints[s].connections[c].send(served_reply("v"));
    }
    harness.run_until("an answer to each submit", |_| {
        clients.iter_mut().for_each(Connection::read);
        clients.iter().all(|c| !c.input.is_empty())
    });
    let served = clients.iter().filter(|c| c.text() == "$1\r\nv\r\n").count();
    let refused = clients
        .iter()
        .filter(|c| c.text().starts_with("-BUSY "))
        .count();
    assert_eq!((served, refused), (2, 4), "exactly one answer each");
    drop(flood);
}
