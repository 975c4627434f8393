//! An open-loop client load: requests are sent at exponentially distributed intervals, regardless
//! of the outcome of earlier requests, on reused connections.

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

/// Time that a client waits for a response, including the time to connect.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum latency that the histograms record; longer ones are counted as this one.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The parameters of an open-loop load.
#[derive(Clone, Copy, Debug)]
pub struct OpenLoopLoad {
    /// Mean number of requests per second; above 0.
    pub rate: f64,
    /// The number of customers; at least 1. Each request is for a random one.
    pub customers: u64,
    /// The number of loopback addresses that clients connect from.
    pub addresses: u8,
    /// Share of the requests, from 0 to 1, after which the connection is closed.
    pub reconnect_ratio: f64,
    /// Whether a request may be executed more than once. The request's encoding has to agree.
    pub idempotent: bool,
    /// Seed of the request times and of the choice of customers; also the upper 32 bits of each
    /// request's id.
    pub seed: u64,
}

/// The numbers of requests of a load by outcome, and their latencies.
#[derive(Clone, Debug)]
pub struct LoadOutcome {
    /// The number of requests sent.
    pub requests: u64,
    /// Requests that were served with their own value.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed or got no response or connection.
    pub failed: u64,
    /// Latency of served requests in microseconds, from the time at which the request was due to
    /// its complete response.
    pub latency_from_due: Histogram<u64>,
    /// Latency of served requests in microseconds, from the time at which the client began to send
    /// the request. This excludes the delay of the client's timers, of up to a millisecond.
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
    /// Counts a request with this reply.
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

/// The state that the requests of one load share.
struct LoadState {
    pool: ConnectionPool,
    outcome: Mutex<LoadOutcome>,
    history: Option<History>,
}

impl LoadState {
    fn outcome(&self) -> MutexGuard<'_, LoadOutcome> {
        self.outcome.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an observation in the history, if there is one.
    fn observe(&self, id: u64, observation: Observation) {
        if let Some(history) = &self.history {
            history.record(id, observation);
        }
    }

    /// Sends one request, and counts and records its outcome.
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

/// Generates a load of idempotent requests for `length`, waits for the responses and returns the
/// outcome.
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

/// Like [`generate`], but with requests that `encode` returns for a customer and a request id. If
/// there is a history, each request and its response are recorded in it.
pub async fn generate_with(
    load: OpenLoopLoad,
    destination: SocketAddr,
    length: Duration,
    history: Option<&History>,
    mut encode: impl FnMut(&mut StdRng, u64, u64) -> Vec<u8>,
) -> LoadOutcome {
    let mut random = StdRng::seed_from_u64(load.seed);
    let intervals = Exp::new(load.rate).expect("a rate above 0");
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
        due += Duration::from_secs_f64(intervals.sample(&mut random));
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
        // A request whose task panicked is missing from the counts.
        let _ = task.await;
    }
    let outcome = state.outcome().clone();
    outcome
}

impl OpenLoopLoad {
    /// Returns the loopback address that the client of a request connects from.
    fn source(&self, id: u64) -> Ipv4Addr {
        let host = id % u64::from(self.addresses.max(1));
        Ipv4Addr::new(127, 1, 0, 1 + host as u8)
    }
}
