//! Clients that keep their connections: each sends a few requests at once, reads the responses, and
//! goes on for as long as the connection stays open.

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

/// A response comes this long after its request at the latest: the request's own time of 2 s, half
/// a second in which it only earns nothing, and the slack of the rules on sockets.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2550);
/// A client looks this often for a daemon that accepts its connection.
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two batches of a client, in milliseconds.
const PAUSE_MS: Range<u64> = 0..60;
/// Requests that a client sends at once.
const BATCH: Range<usize> = 1..4;
/// Share of the batches after which a client closes its connection.
const RECONNECT_RATIO: f64 = 0.03;
/// Share of the batches without an idempotent request.
const NON_IDEMPOTENT_RATIO: f64 = 0.4;
/// Beside a crowd, new connections may be closed unread: a client tries so many.
const ATTEMPTS_BESIDE_CROWD: u32 = 100;
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const CUSTOMERS: u64 = 200;

/// One request of a client.
#[derive(Clone, Copy)]
struct ClientRequest {
    id: u64,
    idempotent: bool,
}

impl ClientRequest {
    fn encode(self) -> Vec<u8> {
        let customer = 1 + self.id % CUSTOMERS;
        if self.idempotent {
            request(customer, self.id)
        } else {
            non_idempotent_request(customer, self.id)
        }
    }
}

/// An open connection.
struct Connection {
    stream: BufReader<TcpStream>,
    target: Target,
    /// Whether a response has come on it.
    is_used: bool,
}

/// Clients of one soak, each a thread.
pub(super) struct Clients<'a> {
    pub targets: &'a Targets,
    pub history: History,
    pub seed: u64,
    /// Whether a crowd fills the descriptors.
    pub has_crowd: bool,
    pub stop: &'a AtomicBool,
    pub next_id: AtomicU64,
}

impl Clients<'_> {
    /// Plays one client until stopped.
    pub(super) fn run(&self, number: u64) {
        let mut random = StdRng::seed_from_u64(self.seed << 16 | number);
        let mut connection = None;
        while !self.is_stopped() {
            let idempotent = !random.random_bool(NON_IDEMPOTENT_RATIO);
            let count = random.random_range(BATCH);
            self.send_batch(&mut connection, count, idempotent, &mut random);
            if random.random_bool(RECONNECT_RATIO) {
                connection = None;
            }
            std::thread::sleep(Duration::from_millis(random.random_range(PAUSE_MS)));
        }
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sends new requests at once and reads all responses. What the connection's end leaves without
    /// one is sent again on new connections.
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
                return self.record_unanswered(&pending, true); // The soak is over.
            };
            attempts += 1;
            match open.exchange(&mut pending, &self.history) {
                Ok(()) => *connection = Some(open),
                Err(error) if !self.may_resend(&open, &error, attempts) => {
                    let excused = self.targets.has_crashed(&open.target);
                    return self.record_unanswered(&pending, excused);
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

    /// Whether requests that the connection's end has left without a response are sent once more: an
    /// ingress may close a connection between requests, and beside a crowd a new one unread.
    fn may_resend(&self, connection: &Connection, error: &io::Error, attempts: u32) -> bool {
        let is_timeout = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
        let is_closed_unread = connection.is_used && attempts == 1
            || self.has_crowd && attempts < ATTEMPTS_BESIDE_CROWD;
        let target = &connection.target;
        let is_closed_by_ingress =
            !self.targets.has_crashed(target) && !self.targets.was_killed(target);
        !is_timeout && is_closed_by_ingress && is_closed_unread
    }

    fn record_unanswered(&self, requests: &[ClientRequest], excused_by_fault: bool) {
        for request in requests {
            let observation = Observation::NoResponse { excused_by_fault };
            self.history.record(request.id, observation);
        }
    }

    /// Connects to one of the daemons that accept; none once the soak is over.
    fn connect(&self, random: &mut StdRng) -> Option<Connection> {
        while !self.is_stopped() {
            let accepting = self.targets.accepting();
            if !accepting.is_empty() {
                let target = accepting[random.random_range(0..accepting.len())];
                if let Ok(stream) = open(&target) {
                    // The front sends nothing new to one that has been told to end.
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
    /// Writes these requests and reads their responses; those that were answered are taken out.
    fn exchange(&mut self, pending: &mut Vec<ClientRequest>, history: &History) -> io::Result<()> {
        let bytes: Vec<u8> = pending
            .iter()
            .flat_map(|request| request.encode())
            .collect();
        // What was answered before the connection ended still counts.
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
