//! Calls to the counter: pipelined on a few connections, each key always on the same one, so that
//! its results come in the order of the calls.
//!
//! - `call`: one call
//! - `connection`: one connection with its calls
//! - `replies` and `timeouts`: what comes on it, and what does not
//! - `limits`: the bounds

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

/// Spreads keys evenly over the connections, whatever their bits (2^64 divided by the golden
/// ratio).
const KEY_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The counter's connections.
pub struct CounterClient {
    address: CounterAddress,
    connections: Vec<CounterConnection>,
}

impl CounterClient {
    /// A client of the counter at this address; a call is given up after `call_timeout`.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        call_timeout: Duration,
        limits: CounterLimits,
    ) -> CounterClient {
        let connection = |index| CounterConnection::new(index as u16, limits, call_timeout);
        CounterClient {
            address: CounterAddress {
                address,
                epoch: 0,
                host: address.to_string(),
            },
            connections: (0..limits.connections.max(1)).map(connection).collect(),
        }
    }

    /// Adds an amount to a key. The engine gets the result, at once if the counter cannot be
    /// reached just now.
    pub fn increment(
        &mut self,
        key: CounterKey,
        amount: f64,
        time_to_live: Duration,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        let hash = key.0.wrapping_mul(KEY_MULTIPLIER) >> 32;
        let index = hash as usize % self.connections.len();
        let call = CounterCall::new(key, amount, time_to_live, io.now);
        self.connections[index].call(call, &self.address, io, engine);
    }

    /// The counter is at another address from now on.
    pub fn migrate_to(&mut self, address: SocketAddr, io: &mut Io, engine: &mut IngressEngine) {
        if address == self.address.address {
            return;
        }
        self.address = CounterAddress {
            address,
            epoch: self.address.epoch + 1,
            host: address.to_string(),
        };
        for connection in &mut self.connections {
            connection.migrate_to(&self.address, io, engine);
        }
    }

    /// Writes all calls of this round.
    pub fn flush(&mut self, io: &mut Io, engine: &mut IngressEngine) {
        for connection in &mut self.connections {
            connection.flush(io, engine);
        }
    }

    /// The connection with this index is ready, if its stream still has this serial number.
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

    /// The deadline of the connection with this index has come.
    pub fn on_due(&mut self, index: u16, io: &mut Io, engine: &mut IngressEngine) {
        if let Some(connection) = self.connections.get_mut(usize::from(index)) {
            connection.on_due(&self.address, io, engine);
        }
    }
}
