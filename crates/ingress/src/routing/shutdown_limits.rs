//! Times of a graceful shutdown.

use roseyard_platform_config::PlatformSettings;
use std::time::Duration;

const ACCEPT_PERIOD: Duration = Duration::from_millis(600);
const NEW_CLIENT_GRACE: Duration = Duration::from_millis(200);
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_DRAIN_TIMEOUT: Duration = Duration::from_millis(3000);

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownLimits {
    /// New connections are accepted for this long after SIGTERM.
    pub accept_period: Duration,
    /// A client without a request yet is waited for this long once the drain has begun.
    pub new_client_grace: Duration,
    /// How long replies are still written once every request has its final reply. A half-closed
    /// connection is closed after this at the latest.
    pub linger_timeout: Duration,
    /// Every request has its final reply this long after accepting has ended. A SIGKILL 0.1 s later
    /// loses only replies that their clients are slow to read.
    pub drain_timeout: Duration,
}

impl ShutdownLimits {
    /// The times under the platform's settings.
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
