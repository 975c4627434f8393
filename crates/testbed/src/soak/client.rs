//! Clients that keep their connections open: each sends a pipelined batch of requests, reads the
//! responses, and reuses the connection until one side closes it.

use super::targets::{Target, Targets};
use crate::checker::{History, Observation, ResponseKind};
use crate::request::{non_idempotent_request, request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// The latest time of a response after its request: the deadline of 2 s, 500 ms in which a late
/// response has no value but is still allowed, and 50 ms of tolerance of the socket rules.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2550);
/// The time between two attempts of a client to connect to a daemon.
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);
/// The time between two batches of a client.
const BATCH_INTERVAL_MS: Range<u64> = 0..60;
/// The number of requests that a client pipelines.
const BATCH_SIZE: Range<usize> = 1..4;
/// The ratio of batches after which a client closes its connection.
const RECONNECT_RATIO: f64 = 0.03;
/// The ratio of batches whose requests are not idempotent.
const NON_IDEMPOTENT_RATIO: f64 = 0.4;
/// How often a client sends a request while a crowd exhausts the descriptors of the daemons, which
/// may then close new connections without reading from them.
const MAX_ATTEMPTS_WITH_CROWD: u32 = 100;
/// The time before a client resends its requests while there is a crowd.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The number of customers among which the requests are spread.
const CUSTOMER_COUNT: u64 = 200;

/// A request of a client.
#[derive(Clone, Copy)]
struct ClientRequest {
    id: u64,
    idempotent: bool,
}

impl ClientRequest {
    fn encode(self) -> Vec<u8> {
        let customer = 1 + self.id % CUSTOMER_COUNT;
        if self.idempotent {
            request(customer, self.id)
        } else {
            non_idempotent_request(customer, self.id)
        }
    }
}

/// An open connection to a daemon.
struct Connection {
    stream: BufReader<TcpStream>,
    target: Target,
    /// Whether a response has been received on the connection.
    is_used: bool,
}

/// The clients of one soak, each of which runs in its own thread.
pub(super) struct Clients<'a> {
    pub targets: &'a Targets,
    pub history: History,
    pub seed: u64,
    /// Whether a crowd of idle clients exhausts the descriptors of the daemons.
    pub has_crowd: bool,
    pub stop: &'a AtomicBool,
    pub next_id: AtomicU64,
}

impl Clients<'_> {
    /// Runs one client until `stop` is set.
    pub(super) fn run(&self, number: u64) {
        let mut random = StdRng::seed_from_u64(self.seed << 16 | number);
        let mut connection = None;
        while !self.is_stopped() {
            let idempotent = !random.random_bool(NON_IDEMPOTENT_RATIO);
            let count = random.random_range(BATCH_SIZE);
            self.send_batch(&mut connection, count, idempotent, &mut random);
            if random.random_bool(RECONNECT_RATIO) {
                connection = None;
            }
            std::thread::sleep(Duration::from_millis(
                random.random_range(BATCH_INTERVAL_MS),
            ));
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Pipelines `count` new requests and reads all responses. Requests that remain without a
    /// response when the connection ends are resent on a new one if [`Clients::may_resend`] allows
    /// it.
    fn send_batch(
        &self,
        connection: &mut Option<Connection>,
        count: usize,
        idempotent: bool,
        random: &mut StdRng,
    ) {
        if connection.is_none() {
            *connection = self.connect(random);
        }
        if connection.is_none() {
            return;
        }
        let mut pending: Vec<ClientRequest> = (0..count)
            .map(|_| ClientRequest {
                id: self.next_id.fetch_add(1, Ordering::Relaxed),
                idempotent,
            })
            .collect();
        for request in &pending {
            let sent = Observation::RequestSent { idempotent };
            self.history.record(request.id, sent);
        }
        let mut attempts = 0;
        while !pending.is_empty() {
            let Some(mut open) = connection.take().or_else(|| self.connect(random)) else {
                return self.record_no_response(&pending, true); // The soak is over.
            };
            attempts += 1;
            match open.exchange(&mut pending, &self.history) {
                Ok(()) => *connection = Some(open),
                Err(error) if !self.may_resend(&open, &error, attempts) => {
                    let excused = self.targets.has_crashed(&open.target);
                    return self.record_no_response(&pending, excused);
                }
                Err(_) => {
                    for request in &pending {
                        self.history.record(request.id, Observation::RequestResent);
                    }
                    if self.has_crowd {
                        std::thread::sleep(RETRY_INTERVAL);
                    }
                }
            }
        }
    }

    /// Whether requests without a response are resent after the connection has ended. An ingress
    /// may close a connection between two requests, and may close a new connection without reading
    /// from it while a crowd exhausts its descriptors.
    fn may_resend(&self, connection: &Connection, error: &io::Error, attempts: u32) -> bool {
        let is_timeout = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
        let is_close_allowed = connection.is_used && attempts == 1
            || self.has_crowd && attempts < MAX_ATTEMPTS_WITH_CROWD;
        let target = &connection.target;
        let was_closed_by_ingress =
            !self.targets.has_crashed(target) && !self.targets.was_killed(target);
        !is_timeout && was_closed_by_ingress && is_close_allowed
    }

    fn record_no_response(&self, requests: &[ClientRequest], excused_by_fault: bool) {
        for request in requests {
            let observation = Observation::NoResponse { excused_by_fault };
            self.history.record(request.id, observation);
        }
    }

    /// Connects to a random daemon that accepts connections. Returns `None` once the soak is over.
    fn connect(&self, random: &mut StdRng) -> Option<Connection> {
        while !self.is_stopped() {
            let accepting = self.targets.accepting();
            if !accepting.is_empty() {
                let target = accepting[random.random_range(0..accepting.len())];
                if let Ok(stream) = open(&target) {
                    // A load balancer opens no connection to a daemon that was told to exit.
                    if self.targets.is_accepting(&target) {
                        return Some(Connection {
                            stream,
                            target,
                            is_used: false,
                        });
                    }
                }
            }
            std::thread::sleep(CONNECT_INTERVAL);
        }
        None
    }
}

fn open(target: &Target) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(target.address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    Ok(BufReader::new(stream))
}

impl Connection {
    /// Writes the pending requests and reads their responses. Requests with a response are removed
    /// from `pending`, also if an error follows.
    fn exchange(&mut self, pending: &mut Vec<ClientRequest>, history: &History) -> io::Result<()> {
        let bytes: Vec<u8> = pending
            .iter()
            .flat_map(|request| request.encode())
            .collect();
        // Responses that arrived before the connection ended are read even if writing failed.
        let written = self.stream.get_mut().write_all(&bytes);
        while let Some(request) = pending.first() {
            let kind = self.read_response(request.id)?;
            history.record(request.id, Observation::ResponseReceived(kind));
            self.is_used = true;
            pending.remove(0);
        }
        written
    }

    fn read_response(&mut self, id: u64) -> io::Result<ResponseKind> {
        let mut line = String::new();
        if self.stream.read_line(&mut line)? == 0 || !line.ends_with('\n') {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        if line.starts_with("-BUSY") {
            return Ok(ResponseKind::Rejected);
        }
        let length = line
            .strip_prefix('$')
            .and_then(|digits| digits.trim().parse::<usize>().ok());
        let Some(length) = length else {
            return Ok(ResponseKind::Failed);
        };
        let mut value = vec![0; length + 2];
        self.stream.read_exact(&mut value)?;
        let expected = format!("{id:016x}\r\n");
        Ok(if value == expected.as_bytes() {
            ResponseKind::Served
        } else {
            ResponseKind::WrongValue
        })
    }
}
