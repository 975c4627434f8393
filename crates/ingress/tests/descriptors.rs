//! Retries while the process has no descriptor left. The test limits the descriptors of its own
//! process, which the ingress shares, so it has to be the only test of its file.

mod common;

use common::*;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::fs::{self, File};
use std::time::Duration;

/// Leaves this process without free descriptors until it is dropped.
struct ExhaustedDescriptors {
    limit_before: Rlimit,
    _held: Vec<File>,
}

impl ExhaustedDescriptors {
    fn new() -> ExhaustedDescriptors {
        let limit_before = getrlimit(Resource::Nofile);
        let limit = Rlimit {
            current: Some(highest_descriptor() + 1),
            maximum: limit_before.maximum,
        };
        setrlimit(Resource::Nofile, limit).unwrap();
        ExhaustedDescriptors {
            limit_before,
            _held: std::iter::from_fn(|| File::open("/dev/null").ok()).collect(),
        }
    }
}

impl Drop for ExhaustedDescriptors {
    fn drop(&mut self) {
        setrlimit(Resource::Nofile, self.limit_before).unwrap();
    }
}

/// Returns the highest descriptor that this process has open.
fn highest_descriptor() -> u64 {
    let open = fs::read_dir("/proc/self/fd").unwrap();
    let numbers = open.map(|entry| {
        let name = entry.unwrap().file_name();
        name.to_str().unwrap().parse().unwrap()
    });
    numbers.max().unwrap()
}

/// In one iteration of the event loop, endpoints reject writes while new clients wait to be
/// accepted. The descriptors of the endpoint connections that are closed have to go to the retries
/// and not to the new clients.
#[test]
fn new_clients_do_not_take_the_descriptors_of_retries() {
    let mut harness = Harness::new(3);
    let to = harness.program.address().unwrap();
    let mut clients: Vec<Connection> = (0..6).map(|_| Connection::connect(to)).collect();
    let mut in_flight = Vec::new();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(request_of_customer(
            500 + n as u64,
            "API.WRITE",
            1 + n as u64,
            WRITE_FIELDS,
        ));
        in_flight.push(harness.next_request());
    }
    // The replies are sent before the clients connect, so the ingress reads them first.
    in_flight
        .iter()
        .for_each(|(e, c, _)| harness.endpoints[*e].connections[*c].send("-BUSY\r\n"));
    let flood: Vec<Connection> = (0..12).map(|_| Connection::connect(to)).collect();
    let exhausted = ExhaustedDescriptors::new();
    let now = harness.now;
    harness
        .program
        .run_iteration(Some(Duration::from_millis(1)), || now)
        .unwrap();
    drop(exhausted);
    // The retry budget allows two retries after six requests.
    for n in 0..2 {
        let (endpoint, connection, words) = harness.next_request();
        assert_eq!(words[0], "API.WRITE", "retry {n}");
        harness.endpoints[endpoint].connections[connection].send(served_reply("v"));
    }
    harness.run_until("a reply to each write", |_| {
        clients.iter_mut().for_each(Connection::read);
        clients.iter().all(|c| !c.input.is_empty())
    });
    let served = clients
        .iter()
        .filter(|c| c.received_text() == "$1\r\nv\r\n")
        .count();
    let rejected = clients
        .iter()
        .filter(|c| c.received_text().starts_with("-BUSY "))
        .count();
    assert_eq!((served, rejected), (2, 4), "exactly one reply each");
    drop(flood);
}
