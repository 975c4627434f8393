//! Limits on the watch on discovery.

use crate::protocol::ProtocolLimits;
use roseyard_platform_config::PlatformSettings;
use std::time::Duration;

const MIN_LIST_BYTES_PER_SECOND: f64 = 8.0 * 1024.0;
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3000);
const MAX_FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(1000);
/// If nothing has changed, the first line of a call may be the empty line, which discovery sends
/// after 2 s.
const PREVIOUS_CALL_TIMEOUT: Duration = Duration::from_millis(2500);
const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(3000);
/// The longest backoff is proportional to the number of ingresses, which bounds the rate at which
/// they call discovery together.
const MAX_BACKOFF_PER_INGRESS: Duration = Duration::from_millis(30);

/// Discovery regards every ingress as notified of a change after this time plus the drain grace,
/// even if an ingress has not received the change.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Part of that time that is reserved for the call that delivers the change, and for requests to
/// the affected endpoints that are still in flight.
const NOTIFICATION_MARGIN: Duration = Duration::from_millis(250);

/// Limits on the watch on discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryLimits {
    /// Limits on the size of a response head, a chunk and an endpoint list.
    pub protocol: ProtocolLimits,
    /// Minimum rate at which an endpoint list must arrive, in bytes per second. The call of a
    /// slower list times out.
    pub min_list_bytes_per_second: f64,
    /// A call that has delivered a line times out if it delivers no other for this long. Discovery
    /// sends one at least every 2 s.
    pub silence_timeout: Duration,
    /// If a new call delivers no line within this time, another call is opened.
    pub first_line_timeout: Duration,
    /// How long after its start a call may still deliver its first line while a later call is open.
    pub previous_call_timeout: Duration,
    /// Delay before the next call after the first failure. Each further failure doubles it. The
    /// jitter subtracts up to half of the delay.
    pub min_backoff: Duration,
    /// Longest backoff before jitter after a call that was rejected.
    pub max_backoff_rejected: Duration,
    /// Longest backoff before jitter after a call whose connection failed.
    pub max_backoff_closed: Duration,
}

impl DiscoveryLimits {
    /// Returns the limits that follow from the platform's settings.
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

/// Returns the time-out of a call's first line. If discovery pushes changes to an agent next to the
/// ingress, and the agent restarts, the ingress must receive a drain from it within half of the
/// drain grace.
fn first_line_timeout(settings: &PlatformSettings) -> Duration {
    let timeout = if settings.is_push_discovery() {
        settings.drain_grace() / 2
    } else {
        MAX_FIRST_LINE_TIMEOUT
    };
    timeout.clamp(MIN_BACKOFF, MAX_FIRST_LINE_TIMEOUT)
}

/// Returns the longest backoff after a rejected call. It is short enough that the time-out of a
/// dead watch, the time-out of the next call and the backoff together end before discovery regards
/// a change as notified. Otherwise the ingress could send requests to endpoints that discovery
/// already regards as drained.
fn max_backoff_rejected(settings: &PlatformSettings, first_line_timeout: Duration) -> Duration {
    let notification_deadline = NOTIFICATION_TIMEOUT + settings.drain_grace();
    let available = notification_deadline
        .saturating_sub(NOTIFICATION_MARGIN + SILENCE_TIMEOUT + first_line_timeout);
    let proportional_backoff = MAX_BACKOFF_PER_INGRESS * settings.ingress_count();
    proportional_backoff.clamp(MIN_BACKOFF, available.min(MAX_BACKOFF))
}
