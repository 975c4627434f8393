//! Writes in flight while the process has no descriptor left.

mod common;

use common::ingress_process::IngressProcess;
use common::*;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::time::{Duration, Instant};

const PING: &str = "*1\r\n$4\r\nPING\r\n";
const CLIENTS: usize = 6;
const FLOOD_CONNECTIONS: usize = 40;
/// The number of retries after which the process is sent SIGTERM.
const RETRIES_BEFORE_SIGTERM: usize = 2;

/// The peers of an ingress that runs as a process of its own, in real time.
struct Peers {
    counter: FakeCounter,
    discovery: Peer,
    endpoints: Vec<Peer>,
}

impl Peers {
    fn new(endpoints: usize) -> Peers {
        Peers {
            counter: FakeCounter::new(),
            discovery: Peer::new(),
            endpoints: (0..endpoints).map(|_| Peer::new()).collect(),
        }
    }

    /// Returns the configuration of an ingress with these peers.
    fn config(&self) -> String {
        config(&self.counter.peer, &self.discovery, &self.endpoints, 1024)
    }

    /// Lets the counter and discovery reply, and the endpoints read.
    fn serve(&mut self) {
        self.counter.serve();
        self.discovery.read();
        for connection in &mut self.discovery.connections {
            if connection.input.ends_with(b"\r\n\r\n") {
                connection.input.clear();
                connection.send(format!("{WATCH_HEAD}{}", chunk("\n")));
            }
        }
        self.endpoints.iter_mut().for_each(Peer::read);
    }

    /// Serves until the condition holds; `what` names it in the failure message.
    fn run_until(&mut self, what: &str, mut condition: impl FnMut(&mut Peers) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            self.serve();
            assert!(
                start.elapsed() < Duration::from_secs(20),
                "timed out: {what}"
            );
            std::thread::yield_now();
        }
    }

    /// Removes the writes that the endpoints have received. Returns the indices of the endpoint and
    /// of the connection of each.
    fn take_writes(&mut self) -> Vec<(usize, usize)> {
        let mut writes = Vec::new();
        for (endpoint, peer) in self.endpoints.iter_mut().enumerate() {
            while let Some((connection, words)) = peer.next_command() {
                if words[0] == "API.WRITE" {
                    writes.push((endpoint, connection));
                }
            }
        }
        writes
    }

    /// Waits until the process is ready. Before that, requests are rejected.
    fn run_until_ready(&mut self, client: &mut Connection) {
        client.send(PING);
        self.run_until("the process is ready", |_| {
            client.read();
            if client.input.starts_with(b"-LOADING") && client.input.ends_with(b"\n") {
                client.input.clear();
                client.send(PING);
            }
            client.input == b"+PONG\r\n"
        });
        client.input.clear();
    }

    /// Sends a write from each client. Returns the indices of the endpoint and of the connection on
    /// which each is in flight.
    fn send_writes(&mut self, clients: &mut [Connection]) -> Vec<(usize, usize)> {
        for (n, client) in clients.iter_mut().enumerate() {
            let n = n as u64;
            client.send(request_of_customer(
                500 + n,
                "API.WRITE",
                1 + n,
                WRITE_FIELDS,
            ));
        }
        let mut in_flight = Vec::new();
        self.run_until("a write of each client at an endpoint", |peers| {
            in_flight.extend(peers.take_writes());
            in_flight.len() == clients.len()
        });
        in_flight
    }

    /// Serves retries until each client has a reply, and sends SIGTERM after some of them. Returns
    /// the number of retries.
    fn serve_retries(&mut self, clients: &mut [Connection], process: Pid) -> usize {
        let mut retries = 0;
        let mut is_term_sent = false;
        self.run_until("a reply to each write", |peers| {
            for (endpoint, connection) in peers.take_writes() {
                retries += 1;
                peers.endpoints[endpoint].connections[connection].send(served_reply("v"));
            }
            if retries >= RETRIES_BEFORE_SIGTERM && !std::mem::replace(&mut is_term_sent, true) {
                kill_process(process, Signal::TERM).unwrap();
            }
            clients.iter_mut().for_each(Connection::read);
            clients.iter().all(|client| !client.input.is_empty())
        });
        retries
    }
}

/// Limits the process to the number of descriptors that it has open.
fn limit_descriptors(process: Pid) {
    let open = std::fs::read_dir(format!("/proc/{}/fd", process.as_raw_nonzero()))
        .unwrap()
        .count() as u64;
    let limit = Rlimit {
        current: Some(open),
        maximum: Some(open),
    };
    prlimit(Some(process), Resource::Nofile, limit).unwrap();
}

fn assert_one_reply(client: &Connection) {
    let text = client.received_text();
    let is_valid = ["$1\r\nv\r\n", "-ERR failed\r\n"].contains(&text)
        || text.starts_with("-BUSY") && text.matches("\r\n").count() == 1;
    assert!(is_valid, "expected exactly one reply, got {text:?}");
}

/// While writes are in flight, the process runs out of descriptors, a flood of clients connects,
/// and the endpoints reject every write, so that each retry needs a connection to another endpoint.
/// Each write gets exactly one reply, also across SIGHUP and SIGTERM.
#[test]
fn writes_in_flight_get_one_reply_each_when_descriptors_run_out() {
    let mut peers = Peers::new(3);
    let mut process = IngressProcess::start("run-out", &peers.config());
    let pid = Pid::from_child(&process.child);
    let connect = |_| Connection::connect(process.address);
    let mut clients: Vec<Connection> = (0..CLIENTS).map(connect).collect();
    peers.run_until_ready(&mut clients[0]);
    let in_flight = peers.send_writes(&mut clients);
    limit_descriptors(pid);
    let mut flood: Vec<Connection> = (0..FLOOD_CONNECTIONS).map(connect).collect();
    peers.run_until("a client of the flood is rejected", |_| {
        flood.iter_mut().for_each(Connection::read);
        flood
            .iter()
            .any(|c| c.input.starts_with(b"-BUSY ") || !c.is_open)
    });
    kill_process(pid, Signal::HUP).unwrap();
    for (endpoint, connection) in in_flight {
        peers.endpoints[endpoint].connections[connection].send("-BUSY\r\n");
    }
    let retries = peers.serve_retries(&mut clients, pid);
    peers.run_until("each connection is closed", |_| {
        clients.iter_mut().for_each(Connection::read);
        clients.iter().all(|client| !client.is_open)
    });
    clients.iter().for_each(assert_one_reply);
    let is_served = |client: &&Connection| client.received_text() == "$1\r\nv\r\n";
    let served = clients.iter().filter(is_served).count();
    assert!(
        served >= 2 && retries >= served,
        "retries found connections: {served} served, {retries} retries"
    );
    peers.run_until("the exit", |_| process.child.try_wait().unwrap().is_some());
    assert_eq!(process.child.wait().unwrap().code(), Some(0));
}

/// Guards against: of many connections that wait while the process has no descriptor left, those
/// behind the first ones have no reply to their requests until long after their time.
#[test]
fn requests_on_waiting_connections_are_rejected_in_time_when_descriptors_run_out() {
    const WAITING: u64 = 200;
    /// The time of a request, and half a second for its answer to arrive.
    const MAX_DELAY: Duration = Duration::from_millis(1000);
    let mut peers = Peers::new(3);
    let process = IngressProcess::start("waiting", &peers.config());
    let connect = || Connection::connect(process.address);
    let mut clients: Vec<Connection> = (0..CLIENTS).map(|_| connect()).collect();
    peers.run_until_ready(&mut clients[0]);
    let _in_flight = peers.send_writes(&mut clients);
    limit_descriptors(Pid::from_child(&process.child));
    let mut waiting = Vec::new();
    for id in 1..=WAITING {
        let mut client = connect();
        let fields = READ_FIELDS.replace("d=3000", "d=500");
        client.send(request_of_customer(id, "API.READ", 1000 + id, &fields));
        waiting.push((client, Instant::now()));
    }
    peers.run_until("a reply to each request", |_| {
        waiting.retain_mut(|(client, sent_at)| {
            client.read();
            let delay = sent_at.elapsed();
            assert!(delay < MAX_DELAY, "a request has no reply after {delay:?}");
            client.input.is_empty()
        });
        waiting.is_empty()
    });
}
