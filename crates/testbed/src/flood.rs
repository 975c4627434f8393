//! Floods of connections from one or many addresses.

use crate::client_connection::connect;
use crate::request::request;
use clap::ValueEnum;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// The first customer number of a flood; beyond the customers of the client load.
const FIRST_FLOOD_CUSTOMER: u64 = 1 << 20;
/// The number of customers that the connections of a flood use in turn.
const FLOOD_CUSTOMERS: u64 = 997;
/// The customer of the client load that [`FloodShape::Pretend`] sends requests for.
const IMPERSONATED_CUSTOMER: u64 = 1;
/// The number of bytes of a request that [`FloodShape::Half`] sends.
const PARTIAL_REQUEST_BYTES: usize = 40;
/// Interval at which new connections are opened in batches. Shorter intervals cost more CPU time
/// than the connections themselves.
const TICK_MS: u64 = 5;
/// Time to wait for input between two writes on a connection that writes repeatedly.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed connection attempt.
const CONNECT_BACKOFF: Duration = Duration::from_millis(50);

/// What the connections of a flood do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum FloodShape {
    /// Connect and send nothing.
    Silent,
    /// Send one byte per second.
    Drip,
    /// Connect and close at once.
    ConnectClose,
    /// Send half a request, then close.
    Half,
    /// Send one request and keep the connection open.
    Once,
    /// Send one request, keep the connection open, and reconnect as soon as it is rejected or
    /// closed.
    Again,
    /// Send one request for a customer of the client load and keep the connection open.
    Pretend,
    /// Send requests repeatedly for one customer, which exceeds its quota.
    Active,
    /// Send bytes that are not a request.
    Garbage,
}

/// The parameters of a flood.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// What its connections do.
    pub shape: FloodShape,
    /// New connections per second.
    pub rate: f64,
    /// The maximum number of open connections; at the maximum, no further ones are opened.
    pub max_connections: usize,
    /// The number of source addresses.
    pub addresses: u32,
}

/// Counts of a flood's connections and replies, updated while it runs.
#[derive(Debug, Default)]
pub struct FloodCounters {
    /// The number of connections opened.
    pub connected: AtomicU64,
    /// The number of connection attempts that failed or timed out.
    pub connect_failures: AtomicU64,
    /// The number of `-BUSY` replies received.
    pub busy_replies: AtomicU64,
}

/// Returns the source address of the `n`-th connection: one of `addresses` consecutive addresses in
/// 127.64.0.0/10, in turn.
#[must_use]
pub fn source_address(n: u64, addresses: u32) -> Ipv4Addr {
    let offset = (n % u64::from(addresses.max(1))) as u32;
    Ipv4Addr::from_bits(Ipv4Addr::new(127, 64, 0, 1).to_bits() + offset)
}

/// Generates a flood until `stop` is set. Connections that are open then end within about a second.
pub async fn generate(
    flood: Flood,
    destination: SocketAddr,
    stop: Arc<AtomicBool>,
    counters: Arc<FloodCounters>,
) {
    let connections = Arc::new(Semaphore::new(flood.max_connections));
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut due_connections = 0.0;
    let mut number = 0u64;
    while !stop.load(Ordering::Relaxed) {
        ticks.tick().await;
        due_connections += flood.rate * (TICK_MS as f64 / 1000.0);
        while due_connections >= 1.0 {
            due_connections -= 1.0;
            number += 1;
            let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
                continue;
            };
            let client = FloodClient {
                flood,
                destination,
                number,
                stop: Arc::clone(&stop),
                counters: Arc::clone(&counters),
            };
            tokio::spawn(async move {
                let _permit = permit;
                client.run().await;
            });
        }
    }
}

/// A client of a flood, which has one connection at a time.
struct FloodClient {
    flood: Flood,
    destination: SocketAddr,
    /// The number of the client, from 1 on, which its source address, customer and request ids
    /// depend on.
    number: u64,
    stop: Arc<AtomicBool>,
    counters: Arc<FloodCounters>,
}

impl FloodClient {
    /// Connects and uses the connection; repeats this for [`FloodShape::Again`].
    async fn run(&self) {
        let source = source_address(self.number, self.flood.addresses);
        loop {
            match timeout(CONNECT_TIMEOUT, connect(source, self.destination)).await {
                Ok(Ok(stream)) => {
                    self.counters.connected.fetch_add(1, Ordering::Relaxed);
                    self.use_connection(stream).await;
                }
                _ => {
                    self.counters
                        .connect_failures
                        .fetch_add(1, Ordering::Relaxed);
                    sleep(CONNECT_BACKOFF).await;
                }
            }
            if self.flood.shape != FloodShape::Again || self.stop.load(Ordering::Relaxed) {
                return;
            }
        }
    }

    /// Uses the connection as the flood's shape demands until the peer closes it or the flood
    /// stops.
    async fn use_connection(&self, mut stream: TcpStream) {
        let shape = self.flood.shape;
        let first_write = self.write_first(&mut stream).await;
        // Connections are reset on close: after an orderly close, thousands of connections in
        // TIME_WAIT would use up the local ports.
        let _ = stream.set_zero_linger();
        if first_write.is_err() || matches!(shape, FloodShape::ConnectClose | FloodShape::Half) {
            return;
        }
        let mut input = [0; 512];
        let mut requests = 0u64;
        while !self.stop.load(Ordering::Relaxed) {
            match timeout(WRITE_INTERVAL, stream.read(&mut input)).await {
                Ok(Ok(0) | Err(_)) => return,
                Ok(Ok(length)) => {
                    let is_busy = input[..length].starts_with(b"-BUSY");
                    self.counters
                        .busy_replies
                        .fetch_add(u64::from(is_busy), Ordering::Relaxed);
                }
                Err(_) => {}
            }
            if self.write_next(&mut stream, &mut requests).await.is_err() {
                return;
            }
        }
    }

    /// Returns the id of the client's first request.
    fn request_id(&self) -> u64 {
        1 << 60 | self.number
    }

    /// Writes what the shape sends directly after connecting.
    async fn write_first(&self, stream: &mut TcpStream) -> io::Result<()> {
        let id = self.request_id();
        let customer = FIRST_FLOOD_CUSTOMER + self.number % FLOOD_CUSTOMERS;
        match self.flood.shape {
            FloodShape::Silent | FloodShape::ConnectClose => Ok(()),
            FloodShape::Drip => stream.write_all(b"*").await,
            FloodShape::Half => {
                let complete = request(FIRST_FLOOD_CUSTOMER, id);
                stream.write_all(&complete[..PARTIAL_REQUEST_BYTES]).await
            }
            FloodShape::Once | FloodShape::Again | FloodShape::Active => {
                stream.write_all(&request(customer, id)).await
            }
            FloodShape::Pretend => stream.write_all(&request(IMPERSONATED_CUSTOMER, id)).await,
            FloodShape::Garbage => stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await,
        }
    }

    /// Writes what the shape sends repeatedly; `requests` counts these requests.
    async fn write_next(&self, stream: &mut TcpStream, requests: &mut u64) -> io::Result<()> {
        match self.flood.shape {
            FloodShape::Drip => stream.write_all(b"1").await,
            FloodShape::Active => {
                *requests += 1;
                let id = self.request_id() + (*requests << 32);
                stream.write_all(&request(FIRST_FLOOD_CUSTOMER, id)).await
            }
            _ => Ok(()),
        }
    }
}
