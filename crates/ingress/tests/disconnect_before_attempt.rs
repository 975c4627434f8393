//! After a client has disconnected, no attempt of its requests is begun, however it disconnects and
//! whatever the attempt waits for.

mod common;

use common::*;
use roseyard_ingress::routing::frontend::FrontendUsage;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    /// It stays connected: the control case, in which the attempt has to be made.
    Stays,
    Closes,
    /// It closes its sending direction only.
    HalfCloses,
    Resets,
}

/// What the next attempt of the client's request waits for.
#[derive(Clone, Copy, Debug)]
enum Awaited {
    /// The counter's reply.
    Counter,
    /// The connection to the endpoint.
    Connect,
    /// The rejection of the first attempt, after which the request is retried.
    Rejection,
}

/// What the client's connection carries besides the request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClientState {
    /// Nothing else.
    Single,
    /// More requests after the first.
    Pipelined,
    /// Commands up to the pipeline limit, so that the ingress pauses reading, followed by more
    /// bytes than the system's buffers hold.
    PausedByCommands,
    /// Replies that the client does not read, so that the ingress pauses reading, and another
    /// request after that.
    PausedByReplies,
}

const PING: &str = "*1\r\n$4\r\nPING\r\n";

const ENDPOINTS: usize = 4;

/// More than the ingress reads at once and the system buffers in addition, but less than the
/// ingress buffers for one client.
const UNREAD_BYTES: usize = 300_000;

/// More commands than may be pipelined on a connection.
const PING_COUNT: usize = 1100;

/// A request whose next attempt is about to be made.
struct PendingAttempt {
    harness: Harness,
    client: Connection,
    awaited: Awaited,
    /// The indices of the endpoint and of the connection of each attempt in flight, in the order of
    /// the requests; empty unless a rejection is awaited.
    in_flight: Vec<(usize, usize)>,
}

impl PendingAttempt {
    /// Brings the client's requests to the point where they wait for what is awaited.
    fn new(awaited: Awaited, state: ClientState) -> PendingAttempt {
        let mut harness = Harness::new(ENDPOINTS);
        let client = match state {
            ClientState::PausedByReplies => {
                Connection::with_small_buffers(harness.program.address().unwrap())
            }
            _ => harness.connect(),
        };
        harness.run_until("the client is accepted", |h| h.program.open().clients == 1);
        let mut case = PendingAttempt {
            harness,
            client,
            awaited,
            in_flight: Vec::new(),
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
        let requests = match state {
            ClientState::Single | ClientState::PausedByCommands => 1,
            ClientState::Pipelined => 3,
            ClientState::PausedByReplies => 7,
        };
        case.client.send(
            (0..requests)
                .flat_map(|id| read_request_of_customer(100 + id, id))
                .collect::<Vec<u8>>(),
        );
        case.wait_until_pending(requests as usize);
        match state {
            ClientState::Single | ClientState::Pipelined => {}
            ClientState::PausedByCommands => case.pause_by_commands(),
            ClientState::PausedByReplies => case.pause_by_replies(),
        }
        case
    }

    /// Runs until all requests wait for what is awaited.
    fn wait_until_pending(&mut self, requests: usize) {
        let harness = &mut self.harness;
        harness.run_until("the requests", |h| h.program.open().requests == requests);
        match self.awaited {
            Awaited::Counter => harness.run_until("the calls", |h| has_unanswered_call(h)),
            Awaited::Connect => harness.run_until("connections to endpoints are begun", |h| {
                h.program.open().upstream_connections == requests
            }),
            Awaited::Rejection => {
                let mut in_flight: Vec<_> = (0..requests).map(|_| harness.next_request()).collect();
                in_flight.sort_by_key(|(_, _, words)| words[2].clone());
                self.in_flight = in_flight
                    .into_iter()
                    .map(|(endpoint, connection, _)| (endpoint, connection))
                    .collect();
            }
        }
    }

    /// Sends commands beyond the pipeline limit, and more bytes than the system buffers.
    fn pause_by_commands(&mut self) {
        self.client.send(PING.repeat(PING_COUNT));
        let unread: Vec<u8> = (0..)
            .flat_map(|id| read_request_of_customer(5000 + id, 5000 + id))
            .take(UNREAD_BYTES)
            .collect();
        let mut remaining = &unread[..];
        // The system accepts the rest while the ingress reads into its own buffer.
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
            "no request is read after the pause"
        );
    }

    /// Lets the endpoints reply to all requests but the last one, while the client does not read.
    fn pause_by_replies(&mut self) {
        let last = self.in_flight.len() - 1;
        for (endpoint, connection) in self.in_flight.drain(..last) {
            self.harness.endpoints[endpoint].connections[connection]
                .send(served_reply(&"v".repeat(60_000)));
        }
        self.harness.run_until("unread replies are buffered", |h| {
            h.program.client_usage().buffered_bytes > 256 << 10
        });
        self.client.send(read_request_of_customer(5000, 5000));
        for _ in 0..5 {
            self.harness.run_iteration();
        }
        assert_eq!(
            self.harness.program.open().requests,
            1,
            "no request is read after the pause"
        );
    }

    /// Disconnects the client, and waits until the ingress has noticed.
    fn disconnect(&mut self, disconnect: Disconnect) {
        match disconnect {
            Disconnect::Stays => return,
            Disconnect::Closes => {
                let replacement = Connection::connect(self.harness.discovery.address);
                drop(std::mem::replace(&mut self.client, replacement));
            }
            Disconnect::HalfCloses => self.client.half_close(),
            Disconnect::Resets => self.client.reset(),
        }
        // The clock stands still until then.
        self.harness.run_until("the client is disconnected", |h| {
            h.program.open().clients == 0
        });
    }

    /// Lets the event that is awaited occur.
    fn release(&mut self) {
        match self.awaited {
            Awaited::Counter => self.harness.counter.mode = CounterMode::Replies,
            Awaited::Connect => self
                .harness
                .endpoints
                .iter_mut()
                .for_each(Peer::resume_accepting),
            Awaited::Rejection => {
                for (endpoint, connection) in &self.in_flight {
                    self.harness.endpoints[*endpoint].connections[*connection].send("-BUSY\r\n");
                }
            }
        }
    }
}

/// Disconnects a client in each way while the next attempt is pending, and checks that no attempt
/// is begun.
fn assert_no_attempt_after_disconnect(awaited: Awaited, state: ClientState) {
    for disconnect in [
        Disconnect::Stays,
        Disconnect::Closes,
        Disconnect::HalfCloses,
        Disconnect::Resets,
    ] {
        let mut case = PendingAttempt::new(awaited, state);
        case.disconnect(disconnect);
        case.release();
        let what = format!("{awaited:?}, {state:?}, {disconnect:?}");
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
fn no_first_attempt_is_begun_for_a_disconnected_client() {
    for state in [ClientState::Single, ClientState::Pipelined] {
        assert_no_attempt_after_disconnect(Awaited::Counter, state);
        assert_no_attempt_after_disconnect(Awaited::Connect, state);
    }
}

#[test]
fn no_retry_is_begun_for_a_disconnected_client() {
    for state in [ClientState::Single, ClientState::Pipelined] {
        assert_no_attempt_after_disconnect(Awaited::Rejection, state);
    }
}

#[test]
fn no_attempt_is_begun_for_a_client_that_disconnects_while_reading_is_paused() {
    for awaited in [Awaited::Counter, Awaited::Connect, Awaited::Rejection] {
        assert_no_attempt_after_disconnect(awaited, ClientState::PausedByCommands);
    }
}

#[test]
fn no_retry_is_begun_for_a_client_that_disconnects_without_reading_its_replies() {
    assert_no_attempt_after_disconnect(Awaited::Rejection, ClientState::PausedByReplies);
}
