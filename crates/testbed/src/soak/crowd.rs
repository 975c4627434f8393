//! Idle clients that take the daemons' descriptors and come again when they are closed.

use super::targets::Targets;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Connections of the crowd to all daemons together; more than the descriptors of one.
const CONNECTIONS: usize = 400;
/// Connections that are opened at once.
const CONNECTIONS_PER_ROUND: usize = 20;
const ROUND_INTERVAL: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// Keeps the crowd connected until stopped; every second of its clients sends one command.
pub(super) fn run(targets: &Targets, stop: &AtomicBool) {
    let mut crowd: Vec<TcpStream> = Vec::new();
    let mut opened = 0_usize;
    while !stop.load(Ordering::Relaxed) {
        crowd.retain_mut(is_open);
        let missing = CONNECTIONS.saturating_sub(crowd.len());
        let accepting = targets.accepting();
        if !accepting.is_empty() {
            for _ in 0..missing.min(CONNECTIONS_PER_ROUND) {
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

/// Reads what has come; false once the connection has ended.
fn is_open(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 64];
    match stream.read(&mut buffer) {
        Ok(length) => length > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}
