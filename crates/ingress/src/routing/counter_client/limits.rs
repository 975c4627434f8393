//! Bounds on connections to the counter.

use crate::protocol::ProtocolLimits;
use roseyard_admission::DescriptorUse;
use roseyard_operator_config::OperatorSettings;
use std::time::Duration;

const MAX_REPLY_BYTES: usize = 4 << 20;
const MAX_CALLS_PER_CONNECTION: usize = 4096;
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(250);
const REPLY_PART_TIMEOUT: Duration = Duration::from_millis(25);
const IDLE_TIMEOUT: Duration = Duration::from_millis(4000);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1000);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Bounds on connections to the counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterLimits {
    /// Bounds on one reply.
    pub protocol: ProtocolLimits,
    /// Connections, at least one.
    pub connections: usize,
    /// A connection must be established within this.
    pub connect_timeout: Duration,
    /// Bytes of replies read at once from a connection.
    pub max_reply_bytes: usize,
    /// Calls on one connection that wait for replies; beyond it a call is not made.
    pub max_calls_per_connection: usize,
    /// A call has failed after this, or after the settings' time-out where that is longer.
    pub min_call_timeout: Duration,
    /// The rest of a reply must follow its first bytes within this.
    pub reply_part_timeout: Duration,
    /// An idle connection is closed after this.
    pub idle_timeout: Duration,
    /// A connection that owes replies and brings none for this long is closed.
    pub silence_timeout: Duration,
    /// A connection that failed is opened again after this.
    pub retry_interval: Duration,
}

impl CounterLimits {
    /// The bounds under the operator's settings.
    #[must_use]
    pub fn new(
        operator: &OperatorSettings,
        connect_timeout: Duration,
        protocol: ProtocolLimits,
    ) -> CounterLimits {
        CounterLimits {
            protocol,
            connections: operator.descriptor_limits_of(DescriptorUse::Counter).max,
            connect_timeout,
            max_reply_bytes: MAX_REPLY_BYTES,
            max_calls_per_connection: MAX_CALLS_PER_CONNECTION,
            min_call_timeout: MIN_CALL_TIMEOUT,
            reply_part_timeout: REPLY_PART_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            silence_timeout: SILENCE_TIMEOUT,
            retry_interval: RETRY_INTERVAL,
        }
    }
}
