//! A client that disconnects, in any way, has no attempt begun for it, whatever the attempt waits for.

mod common;

use common::*;
use roseyard_ingress::routing::frontend::FrontendUsage;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    /// It does not: the control, in which the attempt must be made.
    Stays,
    Closes,
    EndsSending,
    Resets,
}

/// What the next attempt of its request waits for.
#[derive(Clone, Copy, Debug)]
enum Awaited {
    Counter,
    Connect,
    /// The rejection of the first attempt, after which it is retried.
    Rejection,
}

/// What else is on its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientState {
    Single,
    /// More requests wait behind the first.
    Pipelined,
    /// As many commands wait as may, and more bytes than the system's buffers take are sent behind
    /// them.
    PausedByCommands,
    /// It reads no replies, and requests are sent behind them.
    PausedByAnswers,
}

const PING: &str = "*1\r\n$4\r\nPING\r\n";

const ENDPOINTS: usize = 4;

/// More than the ingress reads at once and the system buffers behind that, and less than the
/// ingress buffers of one client.
const UNREAD_BEHIND: usize = 300_000;

/// More than may be pipelined on a connection.
const PINGS: usize = 1100;

/// A request whose next attempt is about to be made.
struct PendingAttempt {
    harness: Harness,
    client: Connection,
    awaited: Awaited,
    /// Endpoint and connection of the attempts in flight, in the order of the requests.
    out: Vec<(usize, usize)>,
}

impl PendingAttempt {
    fn new(awaited: Awaited, connection: ClientState) -> PendingAttempt {
        let mut harness = Harness::new(ENDPOINTS);
        let client = match connection {
            ClientState::PausedByAnswers => {
                Connection::with_small_buffers(harness.program.address().unwrap())
            }
            _ => harness.connect(),
        };
        harness.run_until("the client is accepted", |s| s.program.open().clients == 1);
        let mut case = PendingAttempt {
            harness,
            client,
            awaited,
            out: Vec::new(),
        };
        match awaited {
            Awaited::Counter => case.harness.counter.mode = CounterMode::Silent,
            Awaited::Connect => case
                .harness
                .endpoints
                .iter_mut()
                .for_each(Peer::stop_accepting),
            Awaited::Rejection => {}
        }
        let requests = match connection {
            ClientState::Single | ClientState::PausedByCommands => 1,
            ClientState::Pipelined => 3,
            ClientState::PausedByAnswers => 7,
        };
        case.client.send(
            (0..requests)
                .flat_map(|id| read_request_of_customer(100 + id, id))
                .collect::<Vec<u8>>(),
        );
        case.wait(requests as usize);
        match connection {
            ClientState::Single | ClientState::Pipelined => {}
            ClientState::PausedByCommands => case.pause_by_commands(),
            ClientState::PausedByAnswers => case.pause_by_answers(),
        }
        case
    }

    /// Runs until all requests wait for what is awaited.
    fn wait(&mut self, requests: usize) {
        let harness = &mut self.harness;
        harness.run_until("the requests", |s| s.program.open().requests == requests);
        match self.awaited {
            Awaited::Counter => harness.run_until("the calls", |s| has_unanswered_call(s)),
            Awaited::Connect => harness.run_until("the connections are begun", |s| {
                s.program.open().upstream_connections == requests
            }),
            Awaited::Rejection => {
                let mut out: Vec<_> = (0..requests).map(|_| harness.next_request()).collect();
                out.sort_by_key(|(_, _, words)| words[2].clone());
                self.out = out
                    .into_iter()
                    .map(|(endpoint, connection, _)| (endpoint, connection))
                    .collect();
            }
        }
    }

    fn pause_by_commands(&mut self) {
        self.client.send(PING.repeat(PINGS));
        let behind: Vec<u8> = (0..)
            .flat_map(|id| read_request_of_customer(5000 + id, 5000 + id))
            .take(UNREAD_BEHIND)
            .collect();
        let mut remaining = &behind[..];
        // What the system does not take at once it takes while the ingress reads.
        for _ in 0..100 {
            remaining = &remaining[self.client.send_some(remaining)..];
            self.harness.run_iteration();
        }
        assert!(
            remaining.is_empty(),
            "{} bytes could not be sent",
            remaining.len()
        );
        assert_eq!(
            self.harness.program.open().requests,
            1,
            "nothing behind the pause is read"
        );
    }

    /// All but the last request have replies, which the client does not read.
    fn pause_by_answers(&mut self) {
        let last = self.out.len() - 1;
        for (endpoint, connection) in self.out.drain(..last) {
            self.harness.endpoints[endpoint].connections[connection]
                .send(served_reply(&"v".repeat(60_000)));
        }
        self.harness.run_until("replies are not read", |s| {
            s.program.client_usage().buffered_bytes > 256 << 10
        });
        self.client.send(read_request_of_customer(5000, 5000));
        for _ in 0..5 {
            self.harness.run_iteration();
        }
        assert_eq!(
            self.harness.program.open().requests,
            1,
            "nothing behind the pause is read"
        );
    }

    fn disconnect(&mut self, disconnect: Disconnect) {
        match disconnect {
            Disconnect::Stays => return,
            Disconnect::Closes => {
                let elsewhere = Connection::connect(self.harness.discovery.address);
                drop(std::mem::replace(&mut self.client, elsewhere));
            }
            Disconnect::EndsSending => self.client.half_close(),
            Disconnect::Resets => self.client.reset(),
        }
        // No time passes until then.
        self.harness.run_until("the client is disconnected", |s| {
            s.program.open().clients == 0
        });
    }

    /// What was awaited comes.
    fn release(&mut self) {
        match self.awaited {
            Awaited::Counter => self.harness.counter.mode = CounterMode::Replies,
            Awaited::Connect => self
                .harness
                .endpoints
                .iter_mut()
                .for_each(Peer::resume_accepting),
            Awaited::Rejection => {
                for (endpoint, connection) in &self.out {
                    self.harness.endpoints[*endpoint].connections[*connection].send("-BUSY\r\n");
                }
            }
        }
    }
}

/// A client disconnects in each way while an attempt is awaited: none is begun.
fn assert_no_attempt_after_disconnect(awaited: Awaited, connection: ClientState) {
    for disconnect in [
        Disconnect::Stays,
        Disconnect::Closes,
        Disconnect::EndsSending,
        Disconnect::Resets,
    ] {
        let mut case = PendingAttempt::new(awaited, connection);
        case.disconnect(disconnect);
        case.release();
        let what = format!("{awaited:?}, {connection:?}, {disconnect:?}");
        if disconnect == Disconnect::Stays {
            case.harness.next_request();
            continue;
        }
        assert_nothing_forwarded(&mut case.harness, &what);
        let open = case.harness.program.open();
        assert_eq!(
            (open.requests, open.clients),
            (0, 0),
            "{what}: its requests are released"
        );
        assert_eq!(
            case.harness.program.client_usage(),
            FrontendUsage::default(),
            "{what}"
        );
    }
}

#[test]
fn a_disconnected_client_has_no_first_attempt_begun() {
    for connection in [ClientState::Single, ClientState::Pipelined] {
        assert_no_attempt_after_disconnect(Awaited::Counter, connection);
        assert_no_attempt_after_disconnect(Awaited::Connect, connection);
    }
}

#[test]
fn a_disconnected_client_has_no_retry_begun() {
    for connection in [ClientState::Single, ClientState::Pipelined] {
        assert_no_attempt_after_disconnect(Awaited::Rejection, connection);
    }
}

#[test]
fn a_client_that_disconnects_while_its_commands_are_paused_has_no_attempt_begun() {
    for awaited in [Awaited::Counter, Awaited::Connect, Awaited::Rejection] {
        assert_no_attempt_after_disconnect(awaited, ClientState::PausedByCommands);
    }
}

#[test]
fn a_client_that_disconnects_without_reading_its_replies_has_no_retry_begun() {
    assert_no_attempt_after_disconnect(Awaited::Rejection, ClientState::PausedByAnswers);
}
