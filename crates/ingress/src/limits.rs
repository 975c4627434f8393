//! All limits of the ingress, computed once at start and handed to their users.

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

/// Limits by their users.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Of the parsers.
    pub protocol: ProtocolLimits,
    /// Of client connections.
    pub frontend: FrontendLimits,
    /// Of requests, endpoints, counter and discovery.
    pub driver: DriverLimits,
    /// Of a graceful shutdown.
    pub shutdown: ShutdownLimits,
    /// Of start and event loop.
    pub event_loop: EventLoopLimits,
}

/// Limits of start and event loop.
#[derive(Clone, Copy, Debug)]
pub struct EventLoopLimits {
    /// Readiness events taken at once.
    pub max_events_per_wait: usize,
    /// A listen address that another process still uses is waited for this long.
    pub address_timeout: Duration,
    /// And tried again after this.
    pub address_retry_interval: Duration,
    /// `PING` is answered after this even if discovery has sent nothing.
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
    /// The limits under the operator's settings, this much memory, and the platform's settings.
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
