//! An ingress that runs inside the test process, under a clock that the test advances, connected to
//! fakes of the counter, discovery and the endpoints.

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

/// The real time within which an awaited event has to occur.
const RUN_TIMEOUT: Duration = Duration::from_secs(20);

/// An ingress and the fakes that it is connected to.
pub(crate) struct Harness {
    pub program: Program,
    /// The time on the test's clock, which only the test advances.
    pub now: Duration,
    pub counter: FakeCounter,
    pub discovery: Peer,
    pub endpoints: Vec<Peer>,
    /// The request lines of all calls that discovery has received.
    pub watch_requests: Vec<String>,
    /// Whether discovery replies to a call with an empty line, which says that nothing has changed.
    pub discovery_replies: bool,
}

impl Harness {
    /// Starts an ingress with 1024 descriptors and 192 MB of memory.
    pub(crate) fn new(endpoints: usize) -> Harness {
        Harness::with_descriptors(endpoints, 1024)
    }

    /// Starts an ingress that may hold this many descriptors.
    pub(crate) fn with_descriptors(endpoints: usize, platform_descriptors: usize) -> Harness {
        Harness::with_memory(endpoints, platform_descriptors, 192)
    }

    /// Starts an ingress that may hold this many descriptors and this much memory.
    pub(crate) fn with_memory(
        endpoints: usize,
        platform_descriptors: usize,
        memory_mb: usize,
    ) -> Harness {
        Harness::with_operator_file(endpoints, platform_descriptors, memory_mb, "")
    }

    /// Starts an ingress with an operator's file, and waits for its call to discovery.
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
        harness.run_until("the watch", |h| !h.watch_requests.is_empty());
        harness
    }

    /// Restarts the ingress with the same peers and another configuration, and waits for its call
    /// to discovery.
    pub(crate) fn restart_with_config(&mut self, text: String) {
        let clock = Clock::start();
        let config = Config::parse(text.into(), |_| None).unwrap();
        self.program = Program::start(&config, &operator_file(""), clock).unwrap();
        self.now = clock.now();
        let watch_requests = self.watch_requests.len();
        self.run_until("the watch", |h| h.watch_requests.len() > watch_requests);
    }

    /// Restarts the ingress after replacing texts of its default configuration, each of which has
    /// to occur in it.
    pub(crate) fn restart_with_replacements(&mut self, replacements: &[(&str, &str)]) {
        let mut text = config(&self.counter.peer, &self.discovery, &self.endpoints, 1024);
        for (old, new) in replacements {
            assert!(text.contains(old), "the configuration has no {old}");
            text = text.replace(old, new);
        }
        self.restart_with_config(text);
    }

    /// Restarts the ingress like `restart_with_replacements`, where in addition requests to a
    /// draining endpoint may take up to `drain_grace_ms`.
    pub(crate) fn restart_with_drain_grace(
        &mut self,
        drain_grace_ms: u64,
        replacements: &[(&str, &str)],
    ) {
        let grace = format!("\"StopSendingWithinMs\":{drain_grace_ms}.0");
        self.restart_with_replacements(
            &[
                &[("\"StopSendingWithinMs\":2000.0", grace.as_str())],
                replacements,
            ]
            .concat(),
        );
    }

    /// Connects a client to the ingress.
    pub(crate) fn connect(&self) -> Connection {
        Connection::connect(self.program.address().unwrap())
    }

    /// Runs one iteration of the ingress's event loop at the time of the test's clock, then lets
    /// the peers read and reply. Returns false once the ingress has shut down.
    pub(crate) fn run_iteration(&mut self) -> bool {
        let now = self.now;
        let is_running = self
            .program
            .run_iteration(Some(Duration::from_millis(1)), || now)
            .unwrap();
        self.counter.serve();
        self.endpoints.iter_mut().for_each(Peer::read);
        self.discovery.read();
        for connection in &mut self.discovery.connections {
            if let Some(head_end) = connection.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = connection.input.drain(..head_end + 4).collect();
                self.watch_requests.push(
                    String::from_utf8(head)
                        .unwrap()
                        .lines()
                        .next()
                        .unwrap()
                        .to_owned(),
                );
                if self.discovery_replies {
                    connection
                        .send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                }
            }
        }
        is_running
    }

    /// Runs until an endpoint meets the condition, while endpoints accept connections and read
    /// nothing. Returns the endpoint's index.
    pub(crate) fn run_until_contacted(&mut self, condition: impl Fn(&Peer) -> bool) -> usize {
        let start = Instant::now();
        loop {
            let now = self.now;
            self.program
                .run_iteration(Some(Duration::from_millis(1)), || now)
                .unwrap();
            self.counter.serve();
            self.endpoints.iter_mut().for_each(Peer::accept);
            if let Some(endpoint) = self.endpoints.iter().position(&condition) {
                return endpoint;
            }
            assert!(
                start.elapsed() < RUN_TIMEOUT,
                "no endpoint met the condition in time"
            );
        }
    }

    /// Runs iterations until the condition holds; `what` names it in the failure message.
    pub(crate) fn run_until(
        &mut self,
        what: &str,
        mut condition: impl FnMut(&mut Harness) -> bool,
    ) {
        let start = Instant::now();
        loop {
            self.run_iteration();
            if condition(self) {
                return;
            }
            assert!(start.elapsed() < RUN_TIMEOUT, "timed out: {what}");
        }
    }

    /// Replaces discovery and the counter by new ones at other addresses, and reloads the ingress
    /// with these. Returns the old counter, which no longer replies.
    pub(crate) fn reload_with_new_peers(&mut self) -> FakeCounter {
        let old = std::mem::replace(&mut self.counter, FakeCounter::new());
        self.discovery = Peer::new();
        let text = config(&self.counter.peer, &self.discovery, &self.endpoints, 1024);
        self.program
            .reload(parse_config(&text).map(|config| (config, OperatorFile::empty())));
        old
    }

    /// Advances the clock and runs one iteration.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.run_iteration();
    }

    /// Lets discovery send a partial list with the states of these endpoints.
    pub(crate) fn send_endpoint_states(&mut self, rev: u64, states: &[(usize, &str)]) {
        let targets: Vec<String> = states
            .iter()
            .map(|(n, state)| endpoint_entry(*n, self.endpoints[*n].address, state))
            .collect();
        let line = format!(
            "{{\"rev\":{rev},\"all\":false,\"targets\":[{}]}}\n",
            targets.join(",")
        );
        let watch = self.discovery.connections.last_mut().unwrap();
        watch.send(format!("{:x}\r\n{line}\r\n", line.len()));
    }

    /// Runs until an endpoint has received a command. Returns the endpoint's index, the
    /// connection's index and the words of the command.
    pub(crate) fn next_request(&mut self) -> (usize, usize, Vec<String>) {
        let mut found = None;
        self.run_until("a command at an endpoint", |h| {
            found = h
                .endpoints
                .iter_mut()
                .enumerate()
                .find_map(|(n, p)| p.next_command().map(|(c, w)| (n, c, w)));
            found.is_some()
        });
        found.unwrap()
    }

    /// Runs until the client has received as many bytes as `reply` has, and checks that they are
    /// equal.
    pub(crate) fn expect_reply(&mut self, client: &mut Connection, reply: &str) {
        self.run_until(reply, |_| {
            client.read();
            client.input.len() >= reply.len()
        });
        assert_eq!(client.received_text(), reply);
        client.input.clear();
    }

    /// Runs until the client has received a line. Removes the line from its input and returns it.
    pub(crate) fn read_line(&mut self, client: &mut Connection) -> String {
        self.run_until("a line", |_| {
            client.read();
            client.input.contains(&b'\n')
        });
        let end = client.input.iter().position(|b| *b == b'\n').unwrap() + 1;
        String::from_utf8(client.input.drain(..end).collect()).unwrap()
    }

    /// Runs until the ingress has closed the client's connection.
    pub(crate) fn run_until_closed(&mut self, client: &mut Connection) {
        self.run_until("the connection is closed", |_| {
            client.read();
            !client.is_open
        });
    }
}
