//! Floods of connections, from one address or from many.

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

/// Customers of a flood, from this number on: not those of client load.
const FIRST_FLOOD_CUSTOMER: u64 = 1 << 20;
/// Customers that the connections of a flood use in turn.
const FLOOD_CUSTOMERS: u64 = 997;
/// The customer of client load that [`FloodShape::Pretend`] uses.
const IMPERSONATED_CUSTOMER: u64 = 1;
/// Bytes of a request that [`FloodShape::Half`] sends.
const PARTIAL_REQUEST_BYTES: usize = 40;
/// New connections are made in batches: finer ticks cost more than the connections.
const TICK_MS: u64 = 5;
/// Time between two writes on a connection that goes on writing.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a connect that failed.
const CONNECT_BACKOFF: Duration = Duration::from_millis(50);

/// What the connections of a flood do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum FloodShape {
    /// Connect and send nothing.
    Silent,
    /// Send one byte a second.
    Drip,
    /// Connect and close at once.
    ConnectClose,
    /// Send half a request, then close.
    Half,
    /// Send one request and stay.
    Once,
    /// Send one request, stay, and reconnect as soon as the connection is rejected or closed.
    Again,
    /// Send one request for a customer of the client load and stay.
    Pretend,
    /// Send requests repeatedly, for a customer beyond its quota.
    Active,
    /// Send bytes that are no request.
    Garbage,
}

/// A flood.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// What its connections do.
    pub shape: FloodShape,
    /// New connections a second.
    pub rate: f64,
    /// Connections that it holds at most; further ones are not made.
    pub max_connections: usize,
    /// Addresses that it comes from.
    pub addresses: u32,
}

/// What a flood has done so far.
#[derive(Debug, Default)]
pub struct FloodCounters {
    /// Connections made.
    pub connected: AtomicU64,
    /// Connects that failed.
    pub connect_failures: AtomicU64,
    /// `-BUSY` replies received.
    pub busy_replies: AtomicU64,
}

/// The n-th of this many source addresses, in 127.64.0.0/10.
#[must_use]
pub fn source_address(n: u64, addresses: u32) -> Ipv4Addr {
    let offset = (n % u64::from(addresses.max(1))) as u32;
    Ipv4Addr::from_bits(Ipv4Addr::new(127, 64, 0, 1).to_bits() + offset)
}

/// Plays a flood until `stop` is set.
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

/// One client of a flood, which has one connection at a time.
struct FloodClient {
    flood: Flood,
    destination: SocketAddr,
    number: u64,
    stop: Arc<AtomicBool>,
    counters: Arc<FloodCounters>,
}

impl FloodClient {
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

    /// Does what the shape says until the other side ends the connection or the flood stops.
    async fn use_connection(&self, mut stream: TcpStream) {
        let shape = self.flood.shape;
        let first_write = self.write_first(&mut stream).await;
        // A reset instead of an orderly end: thousands of ended connections would use up the ports.
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

    /// The id of the first request of this client.
    fn request_id(&self) -> u64 {
        1 << 60 | self.number
    }

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
