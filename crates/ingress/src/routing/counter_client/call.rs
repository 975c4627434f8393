//! A call to the counter, and the address that it goes to.

use crate::routing::engine::IngressEngine;
use roseyard_decision::{CounterKey, CounterResult};
use std::net::SocketAddr;
use std::time::Duration;

/// The counter's address, in force from a reload on.
#[derive(Clone)]
pub(super) struct CounterAddress {
    pub(super) address: SocketAddr,
    /// Counts the addresses that the counter has had.
    pub(super) epoch: u32,
    /// The address as a `Host` header.
    pub(super) host: String,
}

/// A call, from the request for it to its result.
pub(super) struct CounterCall {
    pub(super) key: CounterKey,
    pub(super) amount: f64,
    pub(super) time_to_live: Duration,
    pub(super) made_at: Duration,
    /// Position of the call's last byte among those put on the stream, once it is there.
    pub(super) end: Option<u64>,
}

impl CounterCall {
    pub(super) fn new(
        key: CounterKey,
        amount: f64,
        time_to_live: Duration,
        now: Duration,
    ) -> CounterCall {
        CounterCall {
            key,
            amount,
            time_to_live,
            made_at: now,
            end: None,
        }
    }

    /// Hands the result to the engine.
    pub(super) fn complete(
        &self,
        result: CounterResult,
        now: Duration,
        engine: &mut IngressEngine,
    ) {
        let elapsed = now.saturating_sub(self.made_at);
        engine.on_counter_reply(self.key, result, elapsed);
    }
}
