//! A crowd of idle clients that exhausts the file descriptors of the daemons. The clients reconnect
//! when their connections are closed.

use super::targets::Targets;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The number of connections of the crowd to all daemons together, which exceeds the descriptors of
/// one daemon.
const CROWD_CONNECTIONS: usize = 400;
/// The maximum number of connections that are opened per round.
const MAX_CONNECTS_PER_ROUND: usize = 20;
/// The time between two rounds of connecting.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// Keeps the crowd connected until `stop` is set. Every second client sends one `PING`.
pub(super) fn run(targets: &Targets, stop: &AtomicBool) {
    let mut crowd: Vec<TcpStream> = Vec::new();
    let mut opened = 0_usize;
    while !stop.load(Ordering::Relaxed) {
        crowd.retain_mut(is_open);
        let missing = CROWD_CONNECTIONS.saturating_sub(crowd.len());
        let accepting = targets.accepting();
        if !accepting.is_empty() {
            for _ in 0..missing.min(MAX_CONNECTS_PER_ROUND) {
                opened += 1;
                let address = accepting[opened % accepting.len()].address;
                let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
                    continue;
                };
                if opened.is_multiple_of(2) && stream.write_all(PING).is_err() {
                    continue;
                }
                if stream.set_nonblocking(true).is_ok() {
                    crowd.push(stream);
                }
            }
        }
        std::thread::sleep(ROUND_INTERVAL);
    }
}

/// Discards received bytes. Returns false once the connection has ended.
fn is_open(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 64];
    match stream.read(&mut buffer) {
        Ok(length) => length > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}
