//! Outlier detection. An unresponsive endpoint is ejected: it gets no requests apart from periodic
//! trials, which require that hedging is permitted. Ejection ends with any response to an attempt
//! or a health check, or when the endpoint's start time changes. An endpoint that returned failures
//! gets fewer requests until the failures have decayed.

use crate::action::{Action, Notice};
use crate::endpoint::{forward_window_seconds, Endpoint, Endpoints};
use crate::event::{AttemptEnd, Outcome};
use crate::settings::EndpointLimits;
use crate::util::{seconds, EPSILON};

/// An endpoint is unresponsive if the waiting times of its attempts in flight, each divided by the
/// mean latency of its class, add up to more than this. If latencies are exponentially distributed,
/// a false positive has a probability of about exp(-9).
const UNRESPONSIVE_AFTER_MEAN_LATENCIES: f64 = 9.0;
/// The time between two trials of an ejected endpoint.
const EJECTION_TRIAL_INTERVAL_SECONDS: f64 = 2.0;
/// The number of requests in flight that a recent failure counts as.
const FAILURE_LOAD_REQUESTS: f64 = 3.0;
/// The lower bound on the time constant with which failures decay.
pub(crate) const MIN_FAILURE_DECAY_SECONDS: f64 = 4.0;
const MAX_FAILURE_DECAY_SECONDS: f64 = 30.0;
/// The time constant with which failures decay is the average time in which this ingress forwards
/// this many attempts to an endpoint, within the bounds above. A fixed time would let an ingress
/// with few requests forget a failure before its next request.
const FAILURE_DECAY_FORWARDS: f64 = 2.0;

/// Whether unresponsive endpoints may be ejected, which requires that at most half of the ready
/// ones are unresponsive. If more are, the cause is congestion or something else that they share.
/// Their attempts in flight and timeouts then count towards the concurrency limit.
pub(crate) fn ejection_allowed(endpoints: &Endpoints) -> bool {
    let ready = || endpoints.values().filter(|endpoint| endpoint.ready);
    let unresponsive = ready().filter(|endpoint| endpoint.unresponsive).count();
    2 * unresponsive <= ready().count()
}

/// Marks endpoints as unresponsive whose attempts in flight have waited too long in total. Time
/// before `resumed_at`, the end of this ingress's last stall, is not counted. `mean_latencies`
/// contains the mean latency of each class, in seconds.
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

/// Schedules the next trial of the endpoint in case it is ejected.
pub(crate) fn schedule_trial(endpoint: &mut Endpoint, now: f64) {
    endpoint.next_trial_at = now + EJECTION_TRIAL_INTERVAL_SECONDS;
}

/// Records how an attempt ended. `decay_seconds` is the time constant with which failures decay. A
/// timeout is a failure if the endpoint has not responded since the attempt was forwarded and this
/// ingress has not stalled in the meantime.
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
    let is_unanswered = outcome == Outcome::Timeout
        && endpoint.last_response_at <= forwarded_at
        && forwarded_at >= resumed_at;
    let is_failure = matches!(
        outcome,
        Outcome::Error | Outcome::Overloaded | Outcome::ConnectFailed | Outcome::Reset
    );
    if is_unanswered || is_failure {
        let decay = ((endpoint.last_failure_at - now) / decay_seconds).exp();
        endpoint.recent_failures = endpoint.recent_failures * decay + 1.0;
        endpoint.last_failure_at = now;
    }
}

/// Returns the time constant with which failures decay. It depends on how often this ingress
/// forwards an attempt to an endpoint.
pub(crate) fn failure_decay_seconds(endpoints: &Endpoints, limits: &EndpointLimits) -> f64 {
    let mut subset_endpoints = 0.0;
    let mut forwards = 0.0;
    for endpoint in endpoints.values().filter(|endpoint| endpoint.ready) {
        subset_endpoints += endpoint.subset_weight;
        forwards += endpoint.recent_forwards.len() as f64;
    }
    let window = forward_window_seconds(limits);
    (FAILURE_DECAY_FORWARDS * window * subset_endpoints / f64::max(forwards, 1.0))
        .clamp(MIN_FAILURE_DECAY_SECONDS, MAX_FAILURE_DECAY_SECONDS)
}

/// Returns the recent failures of an endpoint, expressed as a number of requests in flight.
pub(crate) fn failure_load(endpoint: &Endpoint, decay_seconds: f64, now: f64) -> f64 {
    let decay = (-(now - endpoint.last_failure_at) / decay_seconds).exp();
    FAILURE_LOAD_REQUESTS * endpoint.recent_failures * decay
}
