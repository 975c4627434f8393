//! Bounds on client connections.

use crate::protocol::ProtocolLimits;
use crate::routing::shutdown_limits::ShutdownLimits;
use roseyard_platform_config::PlatformSettings;
use std::time::Duration;

const MAX_UNREAD_REPLY_BYTES: usize = 256 << 10;
const MAX_READ_AHEAD_BYTES: usize = 512 << 10;
const MEMORY_PER_CLIENT_BUFFERS: usize = 8;
const MAX_COMMANDS_PER_ROUND: usize = 64;
const MAX_ACCEPTS_PER_ROUND: usize = 64;
const MAX_DISCARD_BYTES_PER_ROUND: usize = 1 << 20;
const MAX_DISCARD_BYTES: usize = 128 << 20;
/// An amount on the counter is at most 1e9.
const MAX_COUNTER_UNITS: f64 = 1e9;
const MAX_PIPELINED_REQUESTS: usize = 1024;
const RETRY_AFTER_AT_CAPACITY: Duration = Duration::from_millis(500);
const LISTEN_BACKLOG: i32 = 1024;
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
const REPLY_STALL_TIMEOUT: Duration = Duration::from_millis(10_000);
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2200);
const LINGER_TIMEOUT: Duration = Duration::from_millis(3000);
const SUMMARY_INTERVAL: Duration = Duration::from_millis(5000);

/// Bounds on client connections.
#[derive(Clone, Copy, Debug)]
pub struct FrontendLimits {
    /// Bounds on one command.
    pub protocol: ProtocolLimits,
    /// Times of a graceful shutdown.
    pub shutdown: ShutdownLimits,
    /// Bytes of unread replies of one client, beyond which its commands are not read.
    pub max_unread_reply_bytes: usize,
    /// Bytes read ahead from a client with the most commands pending, to see the end that stands
    /// behind them.
    pub max_read_ahead_bytes: usize,
    /// Bytes of incomplete commands and unread replies of all clients; beyond it the client that
    /// holds most is closed.
    pub max_buffered_bytes: usize,
    /// Commands of one client executed in a round; the rest wait for the next one.
    pub max_commands_per_round: usize,
    /// Connections accepted in a round.
    pub max_accepts_per_round: usize,
    /// Bytes of one client discarded in a round.
    pub max_discard_bytes_per_round: usize,
    /// Bytes of one client discarded in all; beyond it the connection is closed.
    pub max_discard_bytes: usize,
    /// Most quota units of a request.
    pub max_units: f64,
    /// Commands of one client that wait for replies; beyond it no more are read.
    pub max_pipelined_requests: usize,
    /// Retry time in the reply to a request for which there is no capacity.
    pub retry_after_at_capacity: Duration,
    /// Length of the listener's queue.
    pub listen_backlog: i32,
    /// Accepting is tried again after this when it failed or descriptors ran out.
    pub accept_retry_interval: Duration,
    /// A client that reads no byte of its replies for this long is closed.
    pub reply_stall_timeout: Duration,
    /// A command must be complete this long after its first byte.
    pub command_timeout: Duration,
    /// A half-closed connection is closed after this at the latest.
    pub linger_timeout: Duration,
    /// Shortest time between two log lines that summarize admission.
    pub summary_interval: Duration,
}

impl FrontendLimits {
    /// The bounds for a process with this much memory, in bytes, under the platform's settings.
    #[must_use]
    pub fn new(
        memory_bytes: usize,
        settings: &PlatformSettings,
        protocol: ProtocolLimits,
        shutdown: ShutdownLimits,
    ) -> FrontendLimits {
        FrontendLimits {
            protocol,
            shutdown,
            max_unread_reply_bytes: MAX_UNREAD_REPLY_BYTES,
            max_read_ahead_bytes: MAX_READ_AHEAD_BYTES,
            max_buffered_bytes: memory_bytes / MEMORY_PER_CLIENT_BUFFERS,
            max_commands_per_round: MAX_COMMANDS_PER_ROUND,
            max_accepts_per_round: MAX_ACCEPTS_PER_ROUND,
            max_discard_bytes_per_round: MAX_DISCARD_BYTES_PER_ROUND,
            max_discard_bytes: MAX_DISCARD_BYTES,
            max_units: settings.max_request_units().unwrap_or(MAX_COUNTER_UNITS),
            max_pipelined_requests: MAX_PIPELINED_REQUESTS,
            retry_after_at_capacity: RETRY_AFTER_AT_CAPACITY,
            listen_backlog: LISTEN_BACKLOG,
            accept_retry_interval: ACCEPT_RETRY_INTERVAL,
            reply_stall_timeout: REPLY_STALL_TIMEOUT,
            command_timeout: COMMAND_TIMEOUT,
            linger_timeout: LINGER_TIMEOUT,
            summary_interval: SUMMARY_INTERVAL,
        }
    }
}
