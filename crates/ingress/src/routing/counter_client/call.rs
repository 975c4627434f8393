//! A call to the counter, and the counter's address.

use crate::routing::engine::IngressEngine;
use roseyard_decision::{CounterKey, CounterResult};
use std::net::SocketAddr;
use std::time::Duration;

/// The current address of the counter. A reload may change it.
#[derive(Clone)]
pub(super) struct CounterAddress {
    pub(super) socket_address: SocketAddr,
    /// Number of changes of the address, by which streams to an old address are recognised.
    pub(super) epoch: u32,
    /// The address as the value of the `Host` header.
    pub(super) host: String,
}

/// A call that increments a counter, from the engine's request for it until its result.
pub(super) struct CounterCall {
    pub(super) key: CounterKey,
    pub(super) amount: f64,
    /// Time to live of the counter if this call creates it.
    pub(super) time_to_live: Duration,
    pub(super) started_at: Duration,
    /// Offset in the stream just after the call's last byte; `None` until the call is queued on the
    /// stream.
    pub(super) end_offset: Option<u64>,
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
            started_at: now,
            end_offset: None,
        }
    }

    /// Reports the result to the request engine.
    pub(super) fn complete(
        &self,
        result: CounterResult,
        now: Duration,
        engine: &mut IngressEngine,
    ) {
        let elapsed = now.saturating_sub(self.started_at);
        engine.on_counter_reply(self.key, result, elapsed);
    }
}
