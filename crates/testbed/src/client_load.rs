//! An open-loop load of clients: requests at random times with exponential gaps, whatever became of
//! those before, on connections that are reused.

use crate::checker::{History, Observation, ResponseKind};
use crate::client_connection::{ClientRequest, ConnectionPool, Reply};
use crate::request::request;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{sleep_until, timeout, Instant};

/// A client waits this long for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest latency that is distinguished.
const MAX_LATENCY_US: u64 = 60_000_000;

/// An open-loop load.
#[derive(Clone, Copy, Debug)]
pub struct OpenLoopLoad {
    /// Requests a second; above 0.
    pub rate: f64,
    /// Customers, from 1 on.
    pub customers: u64,
    /// Addresses that clients connect from.
    pub addresses: u8,
    /// Share of the requests after which the connection is closed.
    pub reconnect_ratio: f64,
    /// May a request be executed more than once?
    pub idempotent: bool,
    /// For times and customers.
    pub seed: u64,
}

/// What became of the requests of a load.
#[derive(Clone, Debug)]
pub struct LoadOutcome {
    /// Requests sent.
    pub requests: u64,
    /// Those served with their own value.
    pub served: u64,
    /// Those rejected.
    pub rejected: u64,
    /// Those that failed or had no response or connection.
    pub failed: u64,
    /// Microseconds from when a request was due to its complete response, of those served.
    pub latency_from_due: Histogram<u64>,
    /// Microseconds from when the client began to send it, which excludes the lateness of the
    /// client's timers of up to a millisecond.
    pub latency_from_send: Histogram<u64>,
}

impl Default for LoadOutcome {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("bounds that a histogram can hold");
        LoadOutcome {
            requests: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            latency_from_send: latency.clone(),
            latency_from_due: latency,
        }
    }
}

impl LoadOutcome {
    fn record(&mut self, reply: Reply, from_send: Duration, from_due: Duration) {
        self.requests += 1;
        match reply {
            Reply::Served => {
                self.served += 1;
                let from_due_us = from_due.as_micros() as u64;
                let from_send_us = from_send.as_micros() as u64;
                self.latency_from_due.saturating_record(from_due_us.max(1));
                self.latency_from_send
                    .saturating_record(from_send_us.max(1));
            }
            Reply::Rejected => self.rejected += 1,
            Reply::Failed | Reply::Missing => self.failed += 1,
        }
    }
}

impl From<Reply> for Observation {
    fn from(reply: Reply) -> Observation {
        match reply {
            Reply::Served => Observation::ResponseReceived(ResponseKind::Served),
            Reply::Rejected => Observation::ResponseReceived(ResponseKind::Rejected),
            Reply::Failed => Observation::ResponseReceived(ResponseKind::Failed),
            Reply::Missing => Observation::NoResponse {
                excused_by_fault: false,
            },
        }
    }
}

/// What the requests of one load share.
struct LoadState {
    pool: ConnectionPool,
    outcome: Mutex<LoadOutcome>,
    history: Option<History>,
}

impl LoadState {
    fn outcome(&self) -> MutexGuard<'_, LoadOutcome> {
        self.outcome.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn observe(&self, id: u64, observation: Observation) {
        if let Some(history) = &self.history {
            history.record(id, observation);
        }
    }

    /// Sends one request and counts what becomes of it.
    async fn send(&self, request: ClientRequest, idempotent: bool, due_at: Instant) {
        self.observe(request.id, Observation::RequestSent { idempotent });
        let sent_at = Instant::now();
        let exchange = self.pool.request(&request);
        let reply = timeout(RESPONSE_TIMEOUT, exchange)
            .await
            .unwrap_or(Reply::Missing);
        let from_send = sent_at.elapsed();
        let from_due = due_at.elapsed();
        self.observe(request.id, reply.into());
        self.outcome().record(reply, from_send, from_due);
    }
}

/// Plays a load of idempotent requests for this long, and waits for the responses.
pub async fn generate(
    load: OpenLoopLoad,
    destination: SocketAddr,
    length: Duration,
) -> LoadOutcome {
    generate_with(load, destination, length, None, |_, customer, id| {
        request(customer, id)
    })
    .await
}

/// The same with requests that `encode` makes of a customer and an id. Each request and its
/// response are recorded in the history.
pub async fn generate_with(
    load: OpenLoopLoad,
    destination: SocketAddr,
    length: Duration,
    history: Option<&History>,
    mut encode: impl FnMut(&mut StdRng, u64, u64) -> Vec<u8>,
) -> LoadOutcome {
    let mut random = StdRng::seed_from_u64(load.seed);
    let gaps = Exp::new(load.rate).expect("a rate above 0");
    let state = Arc::new(LoadState {
        pool: ConnectionPool::new(destination),
        outcome: Mutex::default(),
        history: history.cloned(),
    });
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut id = load.seed << 32;
    let mut tasks = Vec::new();
    loop {
        due += Duration::from_secs_f64(gaps.sample(&mut random));
        if due >= length {
            break;
        }
        id += 1;
        sleep_until(start + due).await;
        let customer = random.random_range(1..=load.customers);
        let close_after = random.random_bool(load.reconnect_ratio);
        let request = ClientRequest {
            source: load.source(id),
            id,
            bytes: encode(&mut random, customer, id),
            close_after,
        };
        let state = Arc::clone(&state);
        tasks.push(tokio::spawn(async move {
            state.send(request, load.idempotent, start + due).await;
        }));
    }
    for task in tasks {
        // A task that panicked has counted nothing and shows as a missing request.
        let _ = task.await;
    }
    let outcome = state.outcome().clone();
    outcome
}

impl OpenLoopLoad {
    /// The loopback address that the client of a request connects from.
    fn source(&self, id: u64) -> Ipv4Addr {
        let host = id % u64::from(self.addresses.max(1));
        Ipv4Addr::new(127, 1, 0, 1 + host as u8)
    }
}
