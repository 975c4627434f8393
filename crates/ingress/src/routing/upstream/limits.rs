//! Bounds on connections to endpoints.

use crate::protocol::ProtocolLimits;
use roseyard_platform_config::PlatformSettings;
use std::time::Duration;

const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// An idle connection is closed before the endpoint would close it.
const IDLE_TIMEOUT_RATIO: f64 = 0.8;
const MIN_IDLE_TIME: Duration = Duration::from_millis(20);
const REPLY_PART_TIMEOUT: Duration = Duration::from_millis(250);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// An amount on the counter is at most 1e9.
const MAX_COUNTER_UNITS: f64 = 1e9;

/// Bounds on connections to endpoints.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    /// Bounds on one reply.
    pub protocol: ProtocolLimits,
    /// A connection must be established within this.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this.
    pub idle_timeout: Duration,
    /// A connection is used again only after it was idle for this long: longer than what an
    /// endpoint sends right behind a reply is on its way.
    pub min_idle_time: Duration,
    /// Further bytes of a reply must follow its last ones within this.
    pub reply_part_timeout: Duration,
    /// A health check must be answered within this.
    pub health_check_timeout: Duration,
    /// Most quota units of a request; true units beyond it in a reply are ignored.
    pub max_units: f64,
    /// A request's units are an estimate, which the reply corrects.
    pub units_are_estimated: bool,
}

impl UpstreamLimits {
    /// The bounds under the platform's settings.
    #[must_use]
    pub fn new(settings: &PlatformSettings, protocol: ProtocolLimits) -> UpstreamLimits {
        UpstreamLimits {
            protocol,
            connect_timeout: connect_timeout(settings),
            idle_timeout: settings
                .idle_connection_timeout()
                .unwrap_or(DEFAULT_ENDPOINT_IDLE_TIMEOUT)
                .mul_f64(IDLE_TIMEOUT_RATIO),
            min_idle_time: MIN_IDLE_TIME,
            reply_part_timeout: REPLY_PART_TIMEOUT,
            health_check_timeout: HEALTH_CHECK_TIMEOUT,
            max_units: settings.max_request_units().unwrap_or(MAX_COUNTER_UNITS),
            units_are_estimated: settings.has_estimated_units(),
        }
    }
}

/// The time within which any connection that this ingress opens must be established.
#[must_use]
pub fn connect_timeout(settings: &PlatformSettings) -> Duration {
    settings
        .connect_timeout()
        .unwrap_or(DEFAULT_CONNECT_TIMEOUT)
}
