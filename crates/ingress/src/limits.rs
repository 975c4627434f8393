//! All limits of the ingress. They are computed once at startup and passed to the components.

use crate::protocol::ProtocolLimits;
use crate::routing::{
    connect_timeout, CounterLimits, DiscoveryLimits, DriverLimits, FrontendLimits, ShutdownLimits,
    UpstreamLimits,
};
use roseyard_operator_config::OperatorSettings;
use roseyard_platform_config::PlatformSettings;
use roseyard_request_engine::EngineLimits;
use std::time::Duration;

const MIN_MEMORY_MB: usize = 32;
const MEMORY_TO_REQUEST_BYTES_RATIO: usize = 4;
const DEFAULT_MAX_REQUESTS: usize = 20_000;

/// The limits of all components.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Message size limits of the parsers.
    pub protocol: ProtocolLimits,
    /// Limits of client connections.
    pub frontend: FrontendLimits,
    /// Limits of requests, endpoint connections, the counter and discovery.
    pub driver: DriverLimits,
    /// Durations of the phases of a graceful shutdown.
    pub shutdown: ShutdownLimits,
    /// Limits of startup and the event loop.
    pub event_loop: EventLoopLimits,
}

/// Limits of startup and the event loop.
#[derive(Clone, Copy, Debug)]
pub struct EventLoopLimits {
    /// Maximum number of readiness events per wait.
    pub max_events_per_wait: usize,
    /// How long startup waits for a listen address that another process still uses.
    pub address_timeout: Duration,
    /// Interval between attempts to listen on that address.
    pub address_retry_interval: Duration,
    /// Time after startup when the ingress becomes ready (and answers `PING`) even if discovery has
    /// not yet replied.
    pub ready_timeout: Duration,
}

impl Default for EventLoopLimits {
    fn default() -> EventLoopLimits {
        EventLoopLimits {
            max_events_per_wait: 256,
            address_timeout: Duration::from_millis(3000),
            address_retry_interval: Duration::from_millis(20),
            ready_timeout: Duration::from_millis(1000),
        }
    }
}

impl Limits {
    /// Computes the limits from the operator's settings, the memory available to the process and
    /// the platform's settings.
    #[must_use]
    pub fn new(
        operator: &OperatorSettings,
        memory_mb: usize,
        settings: &PlatformSettings,
    ) -> Limits {
        let memory_bytes = memory_mb.max(MIN_MEMORY_MB) << 20;
        let protocol = ProtocolLimits::new(memory_bytes);
        let shutdown = ShutdownLimits::new(settings);
        Limits {
            protocol,
            frontend: FrontendLimits::new(memory_bytes, settings, protocol, shutdown),
            driver: DriverLimits {
                engine: EngineLimits {
                    requests: settings.max_open_requests().unwrap_or(DEFAULT_MAX_REQUESTS),
                    bytes: memory_bytes / MEMORY_TO_REQUEST_BYTES_RATIO,
                },
                upstream: UpstreamLimits::new(settings, protocol),
                counter: CounterLimits::new(operator, connect_timeout(settings), protocol),
                discovery: DiscoveryLimits::new(settings, protocol),
            },
            shutdown,
            event_loop: EventLoopLimits::default(),
        }
    }
}
