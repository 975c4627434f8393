//! Durations of the phases of a graceful shutdown.

use roseyard_platform_config::PlatformSettings;
use std::time::Duration;

const ACCEPT_PERIOD: Duration = Duration::from_millis(600);
const NEW_CLIENT_GRACE: Duration = Duration::from_millis(200);
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_DRAIN_TIMEOUT: Duration = Duration::from_millis(3000);

/// Durations of the phases of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownLimits {
    /// How long new connections are still accepted after SIGTERM or SIGINT.
    pub accept_period: Duration,
    /// How long a client that has not sent a request yet may still send one once draining has
    /// started.
    pub new_client_grace: Duration,
    /// How long replies are still written once every request has its final response. A half-closed
    /// connection is also closed after this time.
    pub linger_timeout: Duration,
    /// The longest time from the end of accepting until every request has its final response. A
    /// SIGKILL 0.1 s after that loses only replies to clients that read slowly.
    pub drain_timeout: Duration,
}

impl ShutdownLimits {
    /// Returns the durations that follow from the platform's settings.
    #[must_use]
    pub fn new(settings: &PlatformSettings) -> ShutdownLimits {
        ShutdownLimits {
            accept_period: ACCEPT_PERIOD,
            new_client_grace: NEW_CLIENT_GRACE,
            linger_timeout: LINGER_TIMEOUT,
            drain_timeout: settings.max_deadline().min(MAX_DRAIN_TIMEOUT),
        }
    }
}
