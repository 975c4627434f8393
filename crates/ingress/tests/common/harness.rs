//! An ingress in this process under a clock that the test moves, among fakes of everything that it
//! is connected to.

use super::config::{config, operator_file, parse_config};
use super::connection::Connection;
use super::fake_counter::FakeCounter;
use super::messages::endpoint_entry;
use super::peer::Peer;
use roseyard_ingress::clock::Clock;
use roseyard_ingress::program::{config::Config, Program};
use roseyard_operator_config::OperatorFile;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Real time within which an awaited event must come.
const RUN_TIMEOUT: Duration = Duration::from_secs(20);

/// An ingress and its peers.
pub(crate) struct Harness {
    pub program: Program,
    pub now: Duration,
    pub counter: FakeCounter,
    pub discovery: Peer,
    pub endpoints: Vec<Peer>,
    /// First lines of the requests that discovery has received.
    pub watch_requests: Vec<String>,
    pub discovery_replies: bool,
}

impl Harness {
    pub(crate) fn new(endpoints: usize) -> Harness {
        Harness::with_descriptors(endpoints, 1024)
    }

    pub(crate) fn with_descriptors(endpoints: usize, platform_descriptors: usize) -> Harness {
        Harness::with_memory(endpoints, platform_descriptors, 192)
    }

    pub(crate) fn with_memory(
        endpoints: usize,
        platform_descriptors: usize,
        memory_mb: usize,
    ) -> Harness {
        Harness::with_operator_file(endpoints, platform_descriptors, memory_mb, "")
    }

    /// Starts under an operator's file.
    pub(crate) fn with_operator_file(
        endpoints: usize,
        platform_descriptors: usize,
        memory_mb: usize,
        file: &str,
    ) -> Harness {
        let endpoints: Vec<Peer> = (0..endpoints).map(|_| Peer::new()).collect();
        let (counter, discovery) = (FakeCounter::new(), Peer::new());
        let text = config(&counter.peer, &discovery, &endpoints, platform_descriptors);
        let text = text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mb}"));
        let clock = Clock::start();
        let program = Program::start(
            &Config::parse(text.into(), |_| None).unwrap(),
            &operator_file(file),
            clock,
        )
        .unwrap();
        let (now, watch_requests) = (clock.now(), Vec::new());
        let mut harness = Harness {
            program,
            now,
            counter,
            discovery,
            endpoints,
            watch_requests,
            discovery_replies: true,
        };
        harness.run_until("the watch", |s| !s.watch_requests.is_empty());
        harness
    }

    /// Restarts the ingress among the same peers, with this configuration.
    pub(crate) fn restart_with_config(&mut self, text: String) {
        let clock = Clock::start();
        let config = Config::parse(text.into(), |_| None).unwrap();
        self.program = Program::start(&config, &operator_file(""), clock).unwrap();
        self.now = clock.now();
        let watch_requests = self.watch_requests.len();
        self.run_until("the watch", |s| s.watch_requests.len() > watch_requests);
    }

    /// Restarts the ingress with parts of its configuration, each of which it must have, replaced.
    pub(crate) fn restart_with_replacements(&mut self, words: &[(&str, &str)]) {
        let mut text = config(&self.counter.peer, &self.discovery, &self.endpoints, 1024);
        for (was, is) in words {
            assert!(text.contains(was), "the configuration has no {was}");
            text = text.replace(was, is);
        }
        self.restart_with_config(text);
    }

    /// The same, with so many milliseconds of grace for requests to endpoints that drain.
    pub(crate) fn restart_with_drain_grace(&mut self, ms: u64, words: &[(&str, &str)]) {
        let grace = format!("\"StopSendingWithinMs\":{ms}.0");
        self.restart_with_replacements(
            &[&[("\"StopSendingWithinMs\":2000.0", grace.as_str())], words].concat(),
        );
    }

    pub(crate) fn connect(&self) -> Connection {
        Connection::connect(self.program.address().unwrap())
    }

    /// One round of the ingress at the test's time, then one of its peers. False once the ingress has
    /// ended.
    pub(crate) fn run_round(&mut self) -> bool {
        let now = self.now;
        let goes_on = self
            .program
            .run_iteration(Some(Duration::from_millis(1)), || now)
            .unwrap();
        self.counter.serve();
        self.endpoints.iter_mut().for_each(Peer::read);
        self.discovery.read();
        for end in &mut self.discovery.connections {
            if let Some(at) = end.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = end.input.drain(..at + 4).collect();
                self.watch_requests.push(
                    String::from_utf8(head)
                        .unwrap()
                        .lines()
                        .next()
                        .unwrap()
                        .to_owned(),
                );
                if self.discovery_replies {
                    end.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                }
            }
        }
        goes_on
    }

    /// Runs until an endpoint, which reads nothing, meets the condition; its index.
    pub(crate) fn run_until_contacted(&mut self, begun: impl Fn(&Peer) -> bool) -> usize {
        let start = Instant::now();
        loop {
            let now = self.now;
            self.program
                .run_iteration(Some(Duration::from_millis(1)), || now)
                .unwrap();
            self.counter.serve();
            self.endpoints.iter_mut().for_each(Peer::accept);
            if let Some(s) = self.endpoints.iter().position(&begun) {
                return s;
            }
            assert!(start.elapsed() < RUN_TIMEOUT, "no endpoint was contacted");
        }
    }

    /// Runs until the event has come.
    pub(crate) fn run_until(&mut self, what: &str, mut come: impl FnMut(&mut Harness) -> bool) {
        let start = Instant::now();
        loop {
            self.run_round();
            if come(self) {
                return;
            }
            assert!(start.elapsed() < RUN_TIMEOUT, "never came: {what}");
        }
    }

    /// Discovery and counter move to new addresses, and the ingress reloads its configuration. The
    /// old counter is returned, and no longer served.
    pub(crate) fn reload_with_new_peers(&mut self) -> FakeCounter {
        let old = std::mem::replace(&mut self.counter, FakeCounter::new());
        self.discovery = Peer::new();
        let text = config(&self.counter.peer, &self.discovery, &self.endpoints, 1024);
        self.program
            .reload(parse_config(&text).map(|config| (config, OperatorFile::empty())));
        old
    }

    /// Moves the clock, and runs a round.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.run_round();
    }

    /// Discovery sends these states of endpoints.
    pub(crate) fn send_endpoint_states(&mut self, rev: u64, states: &[(usize, &str)]) {
        let targets: Vec<String> = states
            .iter()
            .map(|(n, state)| endpoint_entry(*n, self.endpoints[*n].address, state))
            .collect();
        let line = format!(
            "{{\"rev\":{rev},\"all\":false,\"targets\":[{}]}}\n",
            targets.join(",")
        );
        let end = self.discovery.connections.last_mut().unwrap();
        end.send(format!("{:x}\r\n{line}\r\n", line.len()));
    }

    /// Runs until a command has come at any endpoint: endpoint, connection, words.
    pub(crate) fn next_request(&mut self) -> (usize, usize, Vec<String>) {
        let mut found = None;
        self.run_until("a command at an endpoint", |s| {
            found = s
                .endpoints
                .iter_mut()
                .enumerate()
                .find_map(|(n, p)| p.next_command().map(|(c, w)| (n, c, w)));
            found.is_some()
        });
        found.unwrap()
    }

    /// Runs until a client has been sent exactly this.
    pub(crate) fn expect_reply(&mut self, client: &mut Connection, text: &str) {
        self.run_until(text, |_| {
            client.read();
            client.input.len() >= text.len()
        });
        assert_eq!(client.received_text(), text);
        client.input.clear();
    }

    /// Runs until a client has been sent a line, and takes it.
    pub(crate) fn read_line(&mut self, client: &mut Connection) -> String {
        self.run_until("a line", |_| {
            client.read();
            client.input.contains(&b'\n')
        });
        let end = client.input.iter().position(|b| *b == b'\n').unwrap() + 1;
        String::from_utf8(client.input.drain(..end).collect()).unwrap()
    }

    /// Runs until a client's connection has been closed.
    pub(crate) fn run_until_closed(&mut self, client: &mut Connection) {
        self.run_until("the connection's end", |_| {
            client.read();
            !client.is_open
        });
    }
}
