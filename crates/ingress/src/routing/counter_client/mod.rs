//! The client of the shared counter. Calls are pipelined on a few connections. All calls for a key
//! use the same connection, so that their results are reported in the order of the calls.
//!
//! - `call`: a call to the counter, and the counter's address
//! - `connection`: a connection with its pending calls
//! - `replies`: reads replies and matches them to calls
//! - `timeouts`: timeouts of calls and connections
//! - `limits`: limits on connections and calls

mod call;
mod connection;
mod limits;
mod replies;
mod timeouts;

pub use limits::CounterLimits;

use super::engine::IngressEngine;
use super::io::Io;
use crate::transport::Ready;
use call::{CounterAddress, CounterCall};
use connection::CounterConnection;
use roseyard_decision::CounterKey;
use std::net::SocketAddr;
use std::time::Duration;

/// Multiplier of Fibonacci hashing (2^64 divided by the golden ratio), which distributes keys
/// evenly over the connections even if they differ in a few bits only.
const KEY_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The client of the shared counter, with its connections.
pub struct CounterClient {
    address: CounterAddress,
    connections: Vec<CounterConnection>,
}

impl CounterClient {
    /// Creates a client of the counter at this address. A call times out after `call_timeout`.
    #[must_use]
    pub fn new(
        socket_address: SocketAddr,
        call_timeout: Duration,
        limits: CounterLimits,
    ) -> CounterClient {
        let connection = |index| CounterConnection::new(index as u16, limits, call_timeout);
        CounterClient {
            address: CounterAddress {
                socket_address,
                epoch: 0,
                host: socket_address.to_string(),
            },
            connections: (0..limits.connections.max(1)).map(connection).collect(),
        }
    }

    /// Adds an amount to the total that the shared counter keeps for a key, and reports the result
    /// to the request engine. If the call creates the total, `time_to_live` applies to it. The call
    /// fails at once during the backoff after a failure of the key's connection.
    pub fn increment(
        &mut self,
        key: CounterKey,
        amount: f64,
        time_to_live: Duration,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        let hash = key.0.wrapping_mul(KEY_HASH_MULTIPLIER) >> 32;
        let index = hash as usize % self.connections.len();
        let call = CounterCall::new(key, amount, time_to_live, io.now);
        self.connections[index].call(call, &self.address, io, engine);
    }

    /// Uses another address of the counter for all calls that are not queued on a stream yet.
    pub fn migrate_to(
        &mut self,
        socket_address: SocketAddr,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        if socket_address == self.address.socket_address {
            return;
        }
        self.address = CounterAddress {
            socket_address,
            epoch: self.address.epoch + 1,
            host: socket_address.to_string(),
        };
        for connection in &mut self.connections {
            connection.migrate_to(&self.address, io, engine);
        }
    }

    /// Writes the calls that have been queued since the last flush.
    pub fn flush(&mut self, io: &mut Io, engine: &mut IngressEngine) {
        for connection in &mut self.connections {
            connection.flush(io, engine);
        }
    }

    /// Called when the connection with this index is readable or writable. The event is ignored if
    /// `serial` is not the serial number of the connection's present stream.
    pub fn on_ready(
        &mut self,
        index: u16,
        serial: u32,
        ready: Ready,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        if let Some(connection) = self.connections.get_mut(usize::from(index)) {
            connection.on_ready(serial, ready, &self.address, io, engine);
        }
    }

    /// Called when the deadline of the connection with this index expires.
    pub fn on_deadline(&mut self, index: u16, io: &mut Io, engine: &mut IngressEngine) {
        if let Some(connection) = self.connections.get_mut(usize::from(index)) {
            connection.on_deadline(&self.address, io, engine);
        }
    }
}
