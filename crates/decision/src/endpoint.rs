//! The state that this ingress keeps for one endpoint. [`crate::health`] and [`crate::balancer`]
//! read and update it. Times are in seconds.

use crate::event::{EndpointEntry, LoadReport};
use crate::health::circuit_breaker::CircuitBreaker;
use crate::ids::{EndpointId, RequestId};
use crate::latency::MAX_AVERAGED_RESPONSES;
use crate::settings::EndpointLimits;
use crate::util::ewma::{Ewma, SampleWeight};
use crate::util::held_random::HeldSample;
use crate::util::seconds;
use std::collections::{BTreeMap, VecDeque};

/// The time constant of the average over load reports, and of its decay once reports stop.
pub(crate) const LOAD_REPORT_TIME_CONSTANT_SECONDS: f64 = 5.0;
/// Bounds on the weight of one load report. The minimum is low because a single report is out of
/// date when it arrives: ingresses that reacted to it strongly would all move to the same endpoints
/// at the same time.
const LOAD_REPORT_WEIGHT: SampleWeight = SampleWeight {
    min: 0.03,
    max: 1.0,
};
/// The ratio of an endpoint's latency to the mean is averaged as if this many responses with a
/// ratio of 1 had preceded its first response.
const LATENCY_RATIO_PRIOR_RESPONSES: f64 = 8.0;
/// The cap on the number of responses that the ratio is averaged over, so that it continues to
/// follow changes.
const MAX_LATENCY_RATIO_RESPONSES: f64 =
    4.0 * MAX_AVERAGED_RESPONSES - LATENCY_RATIO_PRIOR_RESPONSES;
const MIN_LATENCY_RATIO: f64 = 0.5;
const MAX_LATENCY_RATIO: f64 = 2.0;
const MIN_FORWARD_WINDOW_SECONDS: f64 = 0.5;

/// The endpoints of a service that this ingress keeps state for.
pub(crate) type Endpoints = BTreeMap<EndpointId, Endpoint>;

/// Identifies one attempt of one request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u16,
}

/// An attempt whose outcome is not known yet.
pub(crate) struct InFlightAttempt {
    pub forwarded_at: f64,
    /// The index of the request's class.
    pub class: usize,
}

/// The state of one endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub entry: EndpointEntry,
    /// Whether this ingress may forward new requests to it.
    pub ready: bool,
    /// The share of it, from 0 to 1, that belongs to this ingress's subset.
    pub subset_weight: f64,
    pub in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// When it last responded, or when an attempt was last forwarded to it while no other was in
    /// flight. Time spent waiting for a response counts from here.
    pub last_response_at: f64,
    /// The mean of its latency divided by the service's mean latency for the same class.
    pub latency_ratio: f64,
    /// The number of responses that `latency_ratio` is averaged over, up to a cap.
    pub latency_ratio_responses: f64,
    /// The number of requests in flight according to its load reports.
    pub reported_load: Ewma,
    pub circuit_breaker: CircuitBreaker,
    /// The number of failures, decaying exponentially, as of `last_failure_at`.
    pub recent_failures: f64,
    pub last_failure_at: f64,
    /// Whether its attempts have waited too long for a response. It is ejected only while
    /// [`ejection_allowed`](crate::health::outlier::ejection_allowed) holds.
    pub unresponsive: bool,
    /// From this time on it may get a trial request while it is ejected, if hedging is permitted.
    pub next_trial_at: f64,
    pub last_health_check_at: f64,
    /// The times of the attempts forwarded to it within [`forward_window_seconds`], oldest first.
    pub recent_forwards: VecDeque<f64>,
    /// Rounds the slow-start budget, which is fractional, to a whole number of requests.
    pub slow_start_sample: HeldSample,
}

impl Endpoint {
    /// Whether it is ready and not ejected. Only live endpoints count towards the service's load.
    pub(crate) fn is_live(&self, ejection_allowed: bool) -> bool {
        self.ready && !self.is_ejected(ejection_allowed)
    }

    /// Whether it is ejected: unresponsive, while ejection is allowed.
    pub(crate) fn is_ejected(&self, ejection_allowed: bool) -> bool {
        self.unresponsive && ejection_allowed
    }

    /// Records that the endpoint responded.
    pub(crate) fn record_response(&mut self, now: f64) {
        self.last_response_at = now;
        self.unresponsive = false;
    }

    /// Records a latency divided by the service's mean.
    pub(crate) fn record_latency_ratio(&mut self, ratio: f64) {
        let responses = (self.latency_ratio_responses + 1.0).min(MAX_LATENCY_RATIO_RESPONSES);
        self.latency_ratio_responses = responses;
        let change = (ratio - self.latency_ratio) / (LATENCY_RATIO_PRIOR_RESPONSES + responses);
        self.latency_ratio =
            (self.latency_ratio + change).clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO);
    }

    /// Records a load report. A report without a finite number of requests counts as 0 in flight.
    pub(crate) fn record_load_report(&mut self, report: &LoadReport, now: f64) {
        let usable = |value: Option<f64>| value.filter(|v| v.is_finite()).map(|v| v.max(0.0));
        let in_flight = usable(report.in_flight)
            .or(usable(report.queued))
            .unwrap_or(0.0);
        self.reported_load.add(
            in_flight,
            now,
            LOAD_REPORT_TIME_CONSTANT_SECONDS,
            LOAD_REPORT_WEIGHT,
        );
    }

    /// Records that an attempt is forwarded to the endpoint.
    pub(crate) fn record_forward(&mut self, key: AttemptKey, class: usize, now: f64) {
        if self.in_flight.is_empty() {
            self.last_response_at = now;
        }
        let attempt = InFlightAttempt {
            forwarded_at: now,
            class,
        };
        self.in_flight.insert(key, attempt);
        self.recent_forwards.push_back(now);
    }

    /// Removes the times of forwards that are older than the window.
    pub(crate) fn expire_forwards(&mut self, window_seconds: f64, now: f64) {
        let start = now - window_seconds;
        while self
            .recent_forwards
            .pop_front_if(|at| *at < start)
            .is_some()
        {}
    }
}

/// Returns how long the time of each forward is kept.
pub(crate) fn forward_window_seconds(limits: &EndpointLimits) -> f64 {
    seconds(limits.overload_window).max(MIN_FORWARD_WINDOW_SECONDS)
}
