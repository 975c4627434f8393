//! Bounds on the watch on discovery.

use crate::protocol::ProtocolLimits;
use roseyard_platform_config::PlatformSettings;
use std::time::Duration;

const MIN_LIST_BYTES_PER_SECOND: f64 = 8.0 * 1024.0;
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3000);
const MAX_FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Where nothing has changed, the first line may be the empty one, which is due after 2 s.
const PREVIOUS_CALL_TIMEOUT: Duration = Duration::from_millis(2500);
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(3000);
/// The longest backoff grows by this for each ingress, so that discovery's load stays bounded.
const MAX_BACKOFF_PER_INGRESS: Duration = Duration::from_millis(30);

/// Discovery takes a change as notified after this and the drain grace, received or not.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Part of that time kept for the call that brings the change and the requests that it stops.
const NOTIFIED_MARGIN: Duration = Duration::from_millis(250);

/// Bounds on the watch on discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryLimits {
    /// Bounds on one reply and its lists.
    pub protocol: ProtocolLimits,
    /// A list that arrives more slowly than this, in bytes a second, is given up.
    pub min_list_bytes_per_second: f64,
    /// A watch that brings no line for this long is given up: one is due every 2 s.
    pub silence_timeout: Duration,
    /// A new call that brings no line for this long is followed by another.
    pub first_line_timeout: Duration,
    /// A call that has brought no line may still be answered for this long, beside those after it.
    pub previous_call_timeout: Duration,
    /// Discovery is called again after this; twice as long after each further failure.
    pub min_backoff: Duration,
    /// Longest backoff after a call that was rejected, less up to half of it at random.
    pub max_backoff_rejected: Duration,
    /// Longest backoff after a call that broke, less up to half of it at random.
    pub max_backoff_closed: Duration,
}

impl DiscoveryLimits {
    /// The bounds under the platform's settings.
    #[must_use]
    pub fn new(settings: &PlatformSettings, protocol: ProtocolLimits) -> DiscoveryLimits {
        let first_line_timeout = first_line_timeout(settings);
        let max_backoff_rejected = max_backoff_rejected(settings, first_line_timeout);
        DiscoveryLimits {
            protocol,
            min_list_bytes_per_second: MIN_LIST_BYTES_PER_SECOND,
            silence_timeout: SILENCE_TIMEOUT,
            first_line_timeout,
            previous_call_timeout: PREVIOUS_CALL_TIMEOUT,
            min_backoff: MIN_BACKOFF,
            max_backoff_rejected,
            max_backoff_closed: if settings.is_push_discovery() {
                first_line_timeout
            } else {
                max_backoff_rejected
            },
        }
    }
}

/// A pushed drain must be received within half of its grace once an agent is back.
fn first_line_timeout(settings: &PlatformSettings) -> Duration {
    let timeout = if settings.is_push_discovery() {
        settings.drain_grace() / 2
    } else {
        MAX_FIRST_LINE_TIMEOUT
    };
    timeout.clamp(MIN_BACKOFF, MAX_FIRST_LINE_TIMEOUT)
}

/// Prevents requests to endpoints that count as drained: a watch that dies silently, a new call
/// that stays silent and the longest backoff together end before a change counts as notified.
fn max_backoff_rejected(settings: &PlatformSettings, first_line_timeout: Duration) -> Duration {
    let notified = NOTIFIED_AFTER + settings.drain_grace();
    let remaining = notified.saturating_sub(NOTIFIED_MARGIN + SILENCE_TIMEOUT + first_line_timeout);
    let by_ingresses = MAX_BACKOFF_PER_INGRESS * settings.ingress_count();
    by_ingresses.clamp(MIN_BACKOFF, remaining.min(MAX_BACKOFF))
}
