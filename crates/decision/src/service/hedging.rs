//! Hedging: when a request that waits for long goes to a second endpoint as well. Prevents
//! unresponsive endpoints and single hanging responses from holding up requests. Where hedging is
//! not permitted, a request moves away from an unresponsive endpoint.

use crate::service::request::Request;
use crate::service::retry::may_execute_again;
use crate::settings::Settings;
use crate::util::seconds;

/// A request is hedged after so many mean latencies ...
pub(crate) const HEDGE_DELAY_MEAN_LATENCIES: f64 = 3.0;
/// ... or this share of the latency objective: later, the response would be late.
const HEDGE_DELAY_OF_OBJECTIVE: f64 = 0.45;
/// Requests at a responsive endpoint are hedged below this part of the permitted latency ratio.
pub(crate) const HEDGE_LOAD_RATIO_MAX: f64 = 0.4;
const ATTEMPTS_IN_FLIGHT_MAX: usize = 2;
/// A cancelled attempt is retried within so many ticks.
const CANCEL_AND_RETRY_TICKS: f64 = 4.0;

/// What to do when a request has waited for its hedge delay.
pub(crate) enum HedgeDecision {
    /// Forward it to a second endpoint.
    Hedge,
    /// Cancel the attempt; the retry follows when it has ended.
    CancelAndRetry,
    /// Wait on.
    Wait,
}

/// What the decision depends on, besides the request.
pub(crate) struct HedgeInput {
    /// Its last attempt is at an endpoint that is ejected or no longer ready.
    pub is_endpoint_lost: bool,
    /// The service has no capacity for hedged requests.
    pub is_busy: bool,
    pub is_budget_available: bool,
    pub now: f64,
}

/// Seconds from an attempt to the decision whether it is hedged.
pub(crate) fn hedge_delay_seconds(settings: &Settings, class: usize, mean_latency: f64) -> f64 {
    let objective = seconds(settings.classes[class].latency_objective);
    (HEDGE_DELAY_OF_OBJECTIVE * objective).min(HEDGE_DELAY_MEAN_LATENCIES * mean_latency)
}

/// Decides whether a request goes to a second endpoint.
pub(crate) fn decide(request: &Request, settings: &Settings, input: &HedgeInput) -> HedgeDecision {
    let is_possible = input.is_budget_available && (input.is_endpoint_lost || !input.is_busy);
    if !is_possible {
        return HedgeDecision::Wait;
    }
    let permissions = &settings.permissions;
    if permissions.hedging {
        return if request.attempts_in_flight() < ATTEMPTS_IN_FLIGHT_MAX {
            HedgeDecision::Hedge
        } else {
            HedgeDecision::Wait
        };
    }
    let can_move = input.is_endpoint_lost
        && permissions.cancel
        && may_execute_again(request, settings, CANCEL_AND_RETRY_TICKS, input.now);
    if can_move {
        HedgeDecision::CancelAndRetry
    } else {
        HedgeDecision::Wait
    }
}
