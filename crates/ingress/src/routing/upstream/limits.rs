//! Limits on connections to endpoints.

use crate::protocol::ProtocolLimits;
use roseyard_platform_config::PlatformSettings;
use std::time::Duration;

const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Ratio of this side's idle timeout to the endpoint's, below 1 so that the ingress closes an idle
/// connection first.
const IDLE_TIMEOUT_RATIO: f64 = 0.8;
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);
const REPLY_CONTINUATION_TIMEOUT: Duration = Duration::from_millis(250);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// The largest amount that the counter accepts.
const MAX_COUNTER_UNITS: f64 = 1e9;

/// Limits on connections to endpoints.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    /// Limits on the size of a reply.
    pub protocol: ProtocolLimits,
    /// A connection must be established within this time.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this time.
    pub idle_timeout: Duration,
    /// A connection is reused only after it has been idle for this long. Anything that the endpoint
    /// sent directly after a reply has arrived by then, and is detected before the next request.
    pub min_idle_before_reuse: Duration,
    /// Longest time between two parts of a reply.
    pub reply_continuation_timeout: Duration,
    /// A health check must be answered within this time.
    pub health_check_timeout: Duration,
    /// Most units that a request may have. True units above it in a reply are ignored.
    pub max_units: f64,
    /// Whether the units of a request are an estimate, which the true units in its reply correct.
    pub units_are_estimated: bool,
}

impl UpstreamLimits {
    /// Returns the limits that follow from the platform's settings.
    #[must_use]
    pub fn new(settings: &PlatformSettings, protocol: ProtocolLimits) -> UpstreamLimits {
        UpstreamLimits {
            protocol,
            connect_timeout: connect_timeout(settings),
            idle_timeout: settings
                .idle_connection_timeout()
                .unwrap_or(DEFAULT_ENDPOINT_IDLE_TIMEOUT)
                .mul_f64(IDLE_TIMEOUT_RATIO),
            min_idle_before_reuse: MIN_IDLE_BEFORE_REUSE,
            reply_continuation_timeout: REPLY_CONTINUATION_TIMEOUT,
            health_check_timeout: HEALTH_CHECK_TIMEOUT,
            max_units: settings.max_request_units().unwrap_or(MAX_COUNTER_UNITS),
            units_are_estimated: settings.has_estimated_units(),
        }
    }
}

/// Returns the time within which any connection that the ingress opens must be established.
#[must_use]
pub fn connect_timeout(settings: &PlatformSettings) -> Duration {
    settings
        .connect_timeout()
        .unwrap_or(DEFAULT_CONNECT_TIMEOUT)
}
