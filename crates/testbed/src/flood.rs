//! Floods of connections, from one address or from many.

use crate::site::request;
use crate::usual::connect;
use clap::ValueEnum;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// What the connections of a flood do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Shape {
    /// Connect and say nothing.
    Silent,
    /// Say one byte a second.
    Drip,
    /// Connect and close at once.
    ConnectClose,
    /// Say half a command, then close.
    Half,
    /// Ask once and stay.
    Once,
    /// Ask once, stay, and begin again the moment it is turned away or closed.
    Again,
    /// Ask once in the name of a usual client's customer and stay.
    Pretend,
    /// Keep asking, for a customer beyond its quota.
    Active,
    /// Send what cannot be read.
    Garbage,
}

/// A flood.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// What its connections do.
    pub shape: Shape,
    /// New connections a second.
    pub rate: f64,
    /// Connections that it holds at most.
    pub most: usize,
    /// Addresses that it comes from.
    pub addresses: u32,
}

/// What a flood has done.
#[derive(Debug, Default)]
pub struct Done {
    /// Connections made.
    pub connected: AtomicU64,
    /// Connects that failed.
    pub failed: AtomicU64,
    /// Connections that were told to come again.
    pub told: AtomicU64,
}

/// The n-th address of so many, in 127.64.0.0/10.
fn address(n: u64, of: u32) -> Ipv4Addr {
    let n = (n % u64::from(of.max(1))) as u32;
    Ipv4Addr::from_bits(Ipv4Addr::new(127, 64, 0, 1).to_bits() + n)
}

/// The customer that floods ask for: no usual client's.
const OWN: u64 = 1 << 20;

/// Does what its shape says until the other side ends the connection or the flood is over.
async fn live(mut stream: TcpStream, shape: Shape, n: u64, over: &AtomicBool, done: &Done) {
    let id = 1 << 60 | n;
    let mut buf = [0; 512];
    let said = match shape {
        Shape::Silent | Shape::ConnectClose => Ok(()),
        Shape::Drip => stream.write_all(b"*").await,
        Shape::Half => stream.write_all(&request(OWN, id)[..40]).await,
        Shape::Once | Shape::Again | Shape::Active => {
            stream.write_all(&request(OWN + n % 997, id)).await
        }
        Shape::Pretend => stream.write_all(&request(1, id)).await,
        Shape::Garbage => stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await,
    };
    // A reset instead of the usual end: thousands of ended connections would else use up the ports.
    let _ = stream.set_zero_linger();
    if said.is_err() || matches!(shape, Shape::ConnectClose | Shape::Half) {
        return;
    }
    let mut asked = 0u64;
    while !over.load(Ordering::Relaxed) {
        match timeout(Duration::from_secs(1), stream.read(&mut buf)).await {
            Ok(Ok(0) | Err(_)) => return,
            Ok(Ok(len)) => {
                done.told.fetch_add(
                    u64::from(buf[..len].starts_with(b"-BUSY")),
                    Ordering::Relaxed,
                );
            }
            Err(_) => {}
        }
        let more = match shape {
            Shape::Drip => stream.write_all(b"1").await,
            Shape::Active => {
                asked += 1;
                stream.write_all(&request(OWN, id + (asked << 32))).await
            }
            _ => Ok(()),
        };
        if more.is_err() {
            return;
        }
    }
}

/// Plays a flood until it is over.
pub async fn play(flood: Flood, to: SocketAddr, over: Arc<AtomicBool>, done: Arc<Done>) {
    let room = Arc::new(Semaphore::new(flood.most));
    // Ticks of 5 ms: finer ones would cost more than the connections.
    let mut tick = interval(Duration::from_millis(5));
    tick.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let (mut owed, mut n) = (0.0, 0u64);
    while !over.load(Ordering::Relaxed) {
        tick.tick().await;
        owed += flood.rate * 0.005;
        while owed >= 1.0 {
            owed -= 1.0;
            n += 1;
            let Ok(place) = Arc::clone(&room).try_acquire_owned() else {
                continue;
            };
            let (over, done) = (Arc::clone(&over), Arc::clone(&done));
            tokio::spawn(async move {
                let _place = place;
                let from = address(n, flood.addresses);
                loop {
                    match timeout(Duration::from_secs(2), connect(from, to)).await {
                        Ok(Ok(stream)) => {
                            done.connected.fetch_add(1, Ordering::Relaxed);
                            live(stream, flood.shape, n, &over, &done).await;
                        }
                        _ => {
                            done.failed.fetch_add(1, Ordering::Relaxed);
                            sleep(Duration::from_millis(50)).await;
                        }
                    }
                    if flood.shape != Shape::Again || over.load(Ordering::Relaxed) {
                        return;
                    }
                }
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn addresses_are_as_many_as_wanted_and_all_on_loopback() {
        let all: std::collections::HashSet<_> = (0..20_000).map(|n| address(n, 4000)).collect();
        assert_eq!(all.len(), 4000);
        assert!(all.iter().all(|a| a.is_loopback()));
    }
}
