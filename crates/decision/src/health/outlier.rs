//! Outlier detection. An unresponsive endpoint is ejected: it gets no requests but, where hedging
//! is permitted, a trial once in a while. It is back with any response to an attempt or a health
//! check, or when its start time changes. An endpoint that fails gets fewer requests while its
//! failures decay.

use crate::action::{Action, Notice};
use crate::endpoint::{forward_window_seconds, Endpoint, Endpoints};
use crate::event::{AttemptEnd, Outcome};
use crate::settings::EndpointLimits;
use crate::util::{seconds, EPSILON};

/// Waiting, in mean latencies and summed over the attempts in flight, from which an endpoint counts
/// as unresponsive: for exponential latencies a false alarm has a probability of about exp(-9).
const UNRESPONSIVE_AFTER_MEAN_LATENCIES: f64 = 9.0;
/// Time between two trials of an ejected endpoint.
const EJECTION_TRIAL_INTERVAL_SECONDS: f64 = 2.0;
/// A failure weighs as much as this many requests in flight.
const FAILURE_LOAD_REQUESTS: f64 = 3.0;
pub(crate) const MIN_FAILURE_DECAY_SECONDS: f64 = 4.0;
const FAILURE_DECAY_MAX_SECONDS: f64 = 30.0;
/// A failure decays over this many visits of this ingress: otherwise an ingress with few requests
/// would have forgotten it by its next one.
const FAILURE_DECAY_VISITS: f64 = 2.0;

/// Whether unresponsive endpoints may be ejected: at most half of the ready ones are. When more
/// look unresponsive it is congestion or a common cause; then their requests in flight and timeouts
/// count against the concurrency limit.
pub(crate) fn ejection_allowed(endpoints: &Endpoints) -> bool {
    let ready = || endpoints.values().filter(|endpoint| endpoint.ready);
    let unresponsive = ready().filter(|endpoint| endpoint.unresponsive).count();
    2 * unresponsive <= ready().count()
}

/// Marks endpoints unresponsive whose attempts in flight have waited for too long together. Waiting
/// before `resumed_at`, the end of this ingress's last stall, does not count.
pub(crate) fn detect_unresponsive(
    endpoints: &mut Endpoints,
    mean_latencies: &[f64],
    resumed_at: f64,
    now: f64,
    actions: &mut Vec<Action>,
) {
    let responsive = endpoints
        .iter_mut()
        .filter(|(_, endpoint)| endpoint.ready && !endpoint.unresponsive);
    for (id, endpoint) in responsive {
        let since = endpoint.last_response_at.max(resumed_at);
        let waited = endpoint.in_flight.values().map(|attempt| {
            (now - attempt.forwarded_at.max(since)) / mean_latencies[attempt.class].max(EPSILON)
        });
        if waited.sum::<f64>() > UNRESPONSIVE_AFTER_MEAN_LATENCIES {
            endpoint.unresponsive = true;
            schedule_trial(endpoint, now);
            actions.push(Action::Log(Notice::EndpointUnresponsive(*id)));
        }
    }
}

/// The next trial request, should the endpoint be ejected, waits from now on.
pub(crate) fn schedule_trial(endpoint: &mut Endpoint, now: f64) {
    endpoint.next_trial_at = now + EJECTION_TRIAL_INTERVAL_SECONDS;
}

/// Records how an attempt ended: a response, or a failure that decays over `decay_seconds`. A
/// timeout is a failure if the endpoint has not responded since, and this ingress did not stall.
pub(crate) fn record_outcome(
    endpoint: &mut Endpoint,
    end: &AttemptEnd,
    decay_seconds: f64,
    now: f64,
    resumed_at: f64,
) {
    let outcome = end.outcome;
    if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Overloaded) {
        endpoint.record_response(now);
    }
    let forwarded_at = now - seconds(end.elapsed);
    let is_lost = outcome == Outcome::Timeout
        && endpoint.last_response_at <= forwarded_at
        && forwarded_at >= resumed_at;
    let is_failure = matches!(
        outcome,
        Outcome::Error | Outcome::Overloaded | Outcome::ConnectFailed | Outcome::Reset
    );
    if is_lost || is_failure {
        let decay = ((endpoint.last_failure_at - now) / decay_seconds).exp();
        endpoint.recent_failures = endpoint.recent_failures * decay + 1.0;
        endpoint.last_failure_at = now;
    }
}

/// How long a failure takes to decay, by how often this ingress visits an endpoint.
pub(crate) fn failure_decay_seconds(endpoints: &Endpoints, limits: &EndpointLimits) -> f64 {
    let mut subset_endpoints = 0.0;
    let mut forwards = 0.0;
    for endpoint in endpoints.values().filter(|endpoint| endpoint.ready) {
        subset_endpoints += endpoint.subset_weight;
        forwards += endpoint.recent_forwards.len() as f64;
    }
    let window = forward_window_seconds(limits);
    (FAILURE_DECAY_VISITS * window * subset_endpoints / f64::max(forwards, 1.0))
        .clamp(MIN_FAILURE_DECAY_SECONDS, FAILURE_DECAY_MAX_SECONDS)
}

/// The failures of an endpoint as requests in flight.
pub(crate) fn failure_load(endpoint: &Endpoint, decay_seconds: f64, now: f64) -> f64 {
    let decay = (-(now - endpoint.last_failure_at) / decay_seconds).exp();
    FAILURE_LOAD_REQUESTS * endpoint.recent_failures * decay
}
