//! Hedging: a request whose response is slow is forwarded to a second endpoint as well, so that an
//! unresponsive endpoint or a single slow response does not delay it. If hedging is not permitted,
//! a request at an unresponsive endpoint is cancelled and retried instead. The request engine
//! tracks only one attempt per request and therefore never permits hedging.

use crate::service::request::Request;
use crate::service::retry::may_execute_again;
use crate::settings::Settings;
use crate::util::seconds;

/// A request is hedged after this many mean latencies, or earlier by
/// [`HEDGE_DELAY_OBJECTIVE_RATIO`].
pub(crate) const HEDGE_DELAY_MEAN_LATENCIES: f64 = 3.0;
/// A request is hedged at the latest after this share of the latency objective. After a longer
/// delay the response would exceed the objective.
const HEDGE_DELAY_OBJECTIVE_RATIO: f64 = 0.45;
/// Requests at a responsive endpoint are hedged only while the objective ratio is at most this
/// share of [`MAX_OBJECTIVE_RATIO`](crate::load_shedding::MAX_OBJECTIVE_RATIO).
pub(crate) const MAX_HEDGE_LOAD_RATIO: f64 = 0.4;
const MAX_ATTEMPTS_IN_FLIGHT: usize = 2;
/// Time allowed for cancelling an attempt and retrying it, in ticks. A request with an idempotency
/// key is cancelled and retried only if its deduplication window is still open then.
const CANCEL_AND_RETRY_TICKS: f64 = 4.0;

/// What to do with a request that has not been answered within its hedge delay.
pub(crate) enum HedgeDecision {
    /// Forward the request to a second endpoint.
    Hedge,
    /// Cancel the attempt. The request is retried when the attempt has ended.
    CancelAndRetry,
    /// Keep waiting, and decide again later.
    Wait,
}

/// What the decision depends on, apart from the request and the settings.
pub(crate) struct HedgeInput {
    /// Whether the endpoint of the last attempt is ejected or no longer ready.
    pub is_endpoint_unavailable: bool,
    /// Whether the service's load is too high for hedged requests.
    pub is_busy: bool,
    /// Whether the retry budget permits one more retry or hedged request.
    pub is_budget_available: bool,
    /// The current time in seconds.
    pub now: f64,
}

/// The delay in seconds between forwarding a request and deciding whether to hedge it.
pub(crate) fn hedge_delay_seconds(settings: &Settings, class: usize, mean_latency: f64) -> f64 {
    let objective = seconds(settings.classes[class].latency_objective);
    (HEDGE_DELAY_OBJECTIVE_RATIO * objective).min(HEDGE_DELAY_MEAN_LATENCIES * mean_latency)
}

/// Decides whether a request is hedged, or cancelled and retried.
pub(crate) fn decide(request: &Request, settings: &Settings, input: &HedgeInput) -> HedgeDecision {
    let is_possible =
        input.is_budget_available && (input.is_endpoint_unavailable || !input.is_busy);
    if !is_possible {
        return HedgeDecision::Wait;
    }
    let permissions = &settings.permissions;
    if permissions.hedging {
        return if request.attempts_in_flight() < MAX_ATTEMPTS_IN_FLIGHT {
            HedgeDecision::Hedge
        } else {
            HedgeDecision::Wait
        };
    }
    let may_cancel_and_retry = input.is_endpoint_unavailable
        && permissions.cancel
        && may_execute_again(request, settings, CANCEL_AND_RETRY_TICKS, input.now);
    if may_cancel_and_retry {
        HedgeDecision::CancelAndRetry
    } else {
        HedgeDecision::Wait
    }
}
