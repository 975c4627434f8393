//! Limits on connections to the counter.

use crate::protocol::ProtocolLimits;
use roseyard_admission::DescriptorUse;
use roseyard_operator_config::OperatorSettings;
use std::time::Duration;

const MAX_READ_BYTES: usize = 4 << 20;
const MAX_CALLS_PER_CONNECTION: usize = 4096;
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(250);
const REPLY_COMPLETION_TIMEOUT: Duration = Duration::from_millis(25);
const IDLE_TIMEOUT: Duration = Duration::from_millis(4000);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1000);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Limits on connections to the counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterLimits {
    /// Limits on the size of a reply.
    pub protocol: ProtocolLimits,
    /// Number of connections. One is used if this is 0.
    pub connections: usize,
    /// A connection must be established within this time.
    pub connect_timeout: Duration,
    /// Most bytes of replies that are read from a connection at a time.
    pub max_read_bytes: usize,
    /// Most pending calls on a connection. Calls above the limit fail at once.
    pub max_calls_per_connection: usize,
    /// Lower bound on the time-out of a call. The time-out in the settings applies if it is longer.
    pub min_call_timeout: Duration,
    /// Longest time from the first part of a reply until the reply is complete.
    pub reply_completion_timeout: Duration,
    /// An idle connection is closed after this time.
    pub idle_timeout: Duration,
    /// A connection on which calls have timed out is closed if it has received no reply for this
    /// long.
    pub silence_timeout: Duration,
    /// Time after the failure of a connection during which no new one is opened and calls fail.
    pub retry_interval: Duration,
}

impl CounterLimits {
    /// Returns the limits that follow from the operator's settings.
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
            max_read_bytes: MAX_READ_BYTES,
            max_calls_per_connection: MAX_CALLS_PER_CONNECTION,
            min_call_timeout: MIN_CALL_TIMEOUT,
            reply_completion_timeout: REPLY_COMPLETION_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            silence_timeout: SILENCE_TIMEOUT,
            retry_interval: RETRY_INTERVAL,
        }
    }
}
