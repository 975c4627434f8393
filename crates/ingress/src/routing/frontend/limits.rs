//! Limits on the connections, buffers and commands of clients.

use crate::protocol::ProtocolLimits;
use crate::routing::shutdown_limits::ShutdownLimits;
use roseyard_platform_config::PlatformSettings;
use std::time::Duration;

const MAX_UNREAD_REPLY_BYTES: usize = 256 << 10;
const MAX_READ_AHEAD_BYTES: usize = 512 << 10;
const CLIENT_BUFFER_MEMORY_DIVISOR: usize = 8;
const SHEDDING_THRESHOLD_PERCENT: usize = 75;
const MAX_COMMANDS_PER_ITERATION: usize = 64;
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
const MAX_DISCARD_BYTES_PER_ITERATION: usize = 1 << 20;
const MAX_DISCARD_BYTES: usize = 128 << 20;
/// The shared counter accepts amounts of at most 1e9 units.
const MAX_COUNTER_UNITS: f64 = 1e9;
const MAX_PIPELINED_REQUESTS: usize = 1024;
const RETRY_AFTER_AT_CAPACITY: Duration = Duration::from_millis(500);
const LISTEN_BACKLOG: i32 = 1024;
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
const REPLY_STALL_TIMEOUT: Duration = Duration::from_millis(10_000);
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2200);
const LINGER_TIMEOUT: Duration = Duration::from_millis(3000);
const SUMMARY_INTERVAL: Duration = Duration::from_millis(5000);

/// Limits on the connections, buffers and commands of clients. Limits per iteration apply to one
/// iteration of the event loop.
#[derive(Clone, Copy, Debug)]
pub struct FrontendLimits {
    /// Limits on the size of one command.
    pub protocol: ProtocolLimits,
    /// Timeouts of a graceful shutdown.
    pub shutdown: ShutdownLimits,
    /// Bytes of unwritten replies of one client beyond which its commands are not read.
    pub max_unread_reply_bytes: usize,
    /// Bytes of input that are buffered for a client with [`Self::max_pipelined_requests`] pending
    /// replies. They are read only to detect that the client closes the connection.
    pub max_read_ahead_bytes: usize,
    /// Bytes of unparsed input and unwritten replies of all clients beyond which unfinished commands
    /// and new requests are rejected.
    pub shed_buffered_bytes: usize,
    /// The most bytes of unparsed input and unwritten replies of all clients.
    pub max_buffered_bytes: usize,
    /// Commands of one client that are executed in an iteration; the others wait for the next one.
    pub max_commands_per_iteration: usize,
    /// Connections that are accepted in an iteration.
    pub max_accepts_per_iteration: usize,
    /// Bytes of input of one closing connection that are discarded in an iteration.
    pub max_discard_bytes_per_iteration: usize,
    /// Bytes of input of one closing connection that are discarded in total. The connection is
    /// closed when it has sent more.
    pub max_discard_bytes: usize,
    /// The most quota units that a request may have.
    pub max_units: f64,
    /// Pending replies of one client at which no further commands are read.
    pub max_pipelined_requests: usize,
    /// Retry time in the reply to a request that the driver has no capacity for.
    pub retry_after_at_capacity: Duration,
    /// Length of the listener's queue of connections that are not accepted yet.
    pub listen_backlog: i32,
    /// How long accepting pauses after it failed or the descriptors were exhausted.
    pub accept_retry_interval: Duration,
    /// A client that reads nothing of its replies for this long is disconnected.
    pub reply_stall_timeout: Duration,
    /// Longest time from the first byte of a command to its last.
    pub command_timeout: Duration,
    /// Longest time from shutting down the connection for writing to closing it.
    pub linger_timeout: Duration,
    /// Shortest time between two log lines that summarize rejections by admission.
    pub summary_interval: Duration,
}

impl FrontendLimits {
    /// Returns the limits for a process with `memory_bytes` of memory.
    #[must_use]
    pub fn new(
        memory_bytes: usize,
        settings: &PlatformSettings,
        protocol: ProtocolLimits,
        shutdown: ShutdownLimits,
    ) -> FrontendLimits {
        let max_buffered_bytes = memory_bytes / CLIENT_BUFFER_MEMORY_DIVISOR;
        FrontendLimits {
            protocol,
            shutdown,
            max_unread_reply_bytes: MAX_UNREAD_REPLY_BYTES,
            max_read_ahead_bytes: MAX_READ_AHEAD_BYTES,
            shed_buffered_bytes: max_buffered_bytes / 100 * SHEDDING_THRESHOLD_PERCENT,
            max_buffered_bytes,
            max_commands_per_iteration: MAX_COMMANDS_PER_ITERATION,
            max_accepts_per_iteration: MAX_ACCEPTS_PER_ITERATION,
            max_discard_bytes_per_iteration: MAX_DISCARD_BYTES_PER_ITERATION,
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
