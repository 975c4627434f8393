//! The clients of a scenario. Each request is sent on its own connection to a running daemon.

use super::model::Scenario;
use crate::checker::{History, Observation, ResponseKind};
use crate::request::{non_idempotent_request, request};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The maximum request rate of one client thread.
const MAX_REQUESTS_PER_SECOND_PER_THREAD: f64 = 5.0;
/// The time between two checks of a client thread for the end of the scenario.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a client waits for more bytes of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a client waits for unexpected bytes after a complete response.
const EXCESS_DATA_TIMEOUT: Duration = Duration::from_millis(1);
/// The number of customers among which the requests are spread.
const CUSTOMER_COUNT: u64 = 200;

/// The daemons to which clients connect, and the number of faults of each.
#[derive(Default)]
struct Targets {
    /// The client address of each member; `None` while clients do not connect to it.
    addresses: Vec<Option<SocketAddr>>,
    /// The number of faults of each member so far. A request without a response is excused if this
    /// count changes between connecting and the end of the request.
    faults: Vec<u64>,
}

/// The daemon that a client has chosen for a request.
struct Target {
    member: usize,
    address: SocketAddr,
    /// The number of faults of the member when it was chosen.
    faults: u64,
}

/// [`Targets`] that the client threads share with the thread that runs the steps.
pub(super) struct ClientTargets(Mutex<Targets>);

impl ClientTargets {
    pub(super) fn new(addresses: Vec<Option<SocketAddr>>) -> ClientTargets {
        let faults = vec![0; addresses.len()];
        ClientTargets(Mutex::new(Targets { addresses, faults }))
    }

    fn lock(&self) -> MutexGuard<'_, Targets> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the address of a member after a fault of its process; with `None`, clients do not
    /// connect to it. Requests in flight are excused if they remain without a response.
    pub(super) fn set_after_fault(&self, member: usize, address: Option<SocketAddr>) {
        let mut targets = self.lock();
        targets.addresses[member] = address;
        targets.faults[member] += 1;
    }

    /// Stops clients from connecting to this member. Requests in flight still need a response.
    pub(super) fn remove(&self, member: usize) {
        self.lock().addresses[member] = None;
    }

    /// Returns the member with number `turn` if clients may connect to it, or else the next such
    /// member, in cyclic order; `None` if there is none.
    fn choose(&self, turn: usize) -> Option<Target> {
        let targets = self.lock();
        let members = targets.addresses.len();
        (0..members)
            .map(|offset| (turn + offset) % members)
            .find_map(|member| {
                targets.addresses[member].map(|address| Target {
                    member,
                    address,
                    faults: targets.faults[member],
                })
            })
    }

    fn has_failed_since(&self, target: &Target) -> bool {
        self.lock().faults[target.member] != target.faults
    }
}

/// The client threads of a scenario.
pub(super) struct Clients<'a> {
    scenario: &'a Scenario,
    targets: &'a ClientTargets,
    history: History,
    stop: AtomicBool,
    next_id: AtomicU64,
}

impl<'a> Clients<'a> {
    pub(super) fn new(
        scenario: &'a Scenario,
        targets: &'a ClientTargets,
        history: History,
    ) -> Clients<'a> {
        Clients {
            scenario,
            targets,
            history,
            stop: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
        }
    }

    /// Returns the number of client threads. Each thread sends at its own interval, so that one
    /// that waits for a response does not delay the others.
    pub(super) fn threads(&self) -> usize {
        (self.scenario.rate / MAX_REQUESTS_PER_SECOND_PER_THREAD)
            .ceil()
            .max(1.0) as usize
    }

    /// Makes [`Clients::run`] return in all threads.
    pub(super) fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Sends the requests of one thread until [`Clients::stop`] is called.
    pub(super) fn run(&self, thread: usize) {
        if self.scenario.rate <= 0.0 {
            return;
        }
        let threads = self.threads() as f64;
        let interval = Duration::from_secs_f64(threads / self.scenario.rate.max(0.001));
        let mut next = Instant::now() + interval.mul_f64(thread as f64 / threads);
        while !self.stop.load(Ordering::Relaxed) {
            let wait = next.saturating_duration_since(Instant::now());
            std::thread::sleep(wait.min(STOP_CHECK_INTERVAL));
            if Instant::now() < next {
                continue;
            }
            next += interval;
            self.send_next();
        }
    }

    /// Sends the next request. Its id determines the member and whether the request is idempotent.
    fn send_next(&self) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let turn = id as usize % self.scenario.members;
        let idempotent = (id * 37 % 100) as f64 >= self.scenario.non_idempotent_ratio * 100.0;
        let Some(target) = self.targets.choose(turn) else {
            return;
        };
        // A request is not recorded if no ingress accepted its connection.
        let Ok(stream) = TcpStream::connect(target.address) else {
            return;
        };
        self.send(stream, &target, id, idempotent);
    }

    fn send(&self, mut stream: TcpStream, target: &Target, id: u64, idempotent: bool) {
        let customer = 1 + id % CUSTOMER_COUNT;
        let bytes = if idempotent {
            request(customer, id)
        } else {
            non_idempotent_request(customer, id)
        };
        let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
        self.history
            .record(id, Observation::RequestSent { idempotent });
        let response = match stream.write_all(&bytes) {
            Ok(()) => read_response(&mut stream),
            Err(_) => Vec::new(),
        };
        // Any bytes after the response are recorded as a second response.
        let _ = stream.set_read_timeout(Some(EXCESS_DATA_TIMEOUT));
        let has_excess_data =
            is_complete(&response) && matches!(stream.read(&mut [0; 512]), Ok(1..));
        let observation = match response_kind(&response) {
            Some(kind) => Observation::ResponseReceived(kind),
            None => Observation::NoResponse {
                excused_by_fault: self.targets.has_failed_since(target),
            },
        };
        self.history.record(id, observation);
        if has_excess_data {
            let second = Observation::ResponseReceived(ResponseKind::Failed);
            self.history.record(id, second);
        }
    }
}

/// Reads until the response is complete, the connection ends or the read times out.
fn read_response(stream: &mut TcpStream) -> Vec<u8> {
    let mut response = Vec::new();
    let mut buffer = [0; 512];
    while !is_complete(&response) {
        match stream.read(&mut buffer) {
            Ok(length @ 1..) => response.extend_from_slice(&buffer[..length]),
            _ => break,
        }
    }
    response
}

fn response_kind(response: &[u8]) -> Option<ResponseKind> {
    match response.first() {
        Some(b'$') if is_complete(response) => Some(ResponseKind::Served),
        Some(b'-') if response.starts_with(b"-BUSY") => Some(ResponseKind::Rejected),
        Some(b'-') => Some(ResponseKind::Failed),
        _ => None,
    }
}

/// Whether these bytes contain a complete RESP line or bulk string.
fn is_complete(response: &[u8]) -> bool {
    let Some(line_end) = response.windows(2).position(|pair| pair == b"\r\n") else {
        return false;
    };
    if response[0] != b'$' {
        return true;
    }
    let length = std::str::from_utf8(&response[1..line_end])
        .ok()
        .and_then(|digits| digits.parse::<usize>().ok());
    length.is_some_and(|length| response.len() >= line_end + 2 + length + 2)
}
