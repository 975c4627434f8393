//! What this ingress knows of one endpoint. Plain state: the rules of [`crate::health`] and
//! [`crate::balancer`] read and write it. Times are in seconds.

use crate::event::{EndpointEntry, LoadReport};
use crate::health::circuit_breaker::CircuitBreaker;
use crate::ids::{EndpointId, RequestId};
use crate::latency::MAX_AVERAGED_RESPONSES;
use crate::settings::EndpointLimits;
use crate::util::ewma::{Ewma, SampleWeight};
use crate::util::held_random::HeldSample;
use crate::util::seconds;
use std::collections::{BTreeMap, VecDeque};

/// Load reports are averaged over this many seconds, and fade as fast.
pub(crate) const LOAD_REPORT_TIME_CONSTANT_SECONDS: f64 = 5.0;
/// The least weight of a load report: single ones are stale, and ingresses that follow them move
/// from endpoint to endpoint together.
const LOAD_REPORT_WEIGHT: SampleWeight = SampleWeight {
    min: 0.03,
    max: 1.0,
};
/// The first responses of an endpoint count as if this many average ones had come before.
const LATENCY_RATIO_PRIOR_RESPONSES: f64 = 8.0;
const LATENCY_RATIO_RESPONSES_MAX: f64 =
    4.0 * MAX_AVERAGED_RESPONSES - LATENCY_RATIO_PRIOR_RESPONSES;
const LATENCY_RATIO_MIN: f64 = 0.5;
const LATENCY_RATIO_MAX: f64 = 2.0;
const FORWARD_WINDOW_MIN_SECONDS: f64 = 0.5;

/// All endpoints of a service that have a state, in order of their ids.
pub(crate) type Endpoints = BTreeMap<EndpointId, Endpoint>;

/// One attempt of one request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub request: RequestId,
    pub attempt: u16,
}

/// An attempt that has not ended.
pub(crate) struct InFlightAttempt {
    pub forwarded_at: f64,
    pub class: usize,
}

/// The state of one endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub entry: EndpointEntry,
    /// Whether it takes new requests from this ingress.
    pub ready: bool,
    /// The part of it, 0 to 1, that lies in this ingress's subset.
    pub subset_weight: f64,
    pub in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// When it last responded, or was first used after an idle time: waiting counts from here.
    pub last_response_at: f64,
    /// Latency relative to the service's mean for the same class.
    pub latency_ratio: f64,
    pub latency_ratio_responses: f64,
    /// Requests in flight by its own reports.
    pub reported_load: Ewma,
    pub circuit_breaker: CircuitBreaker,
    /// Failures, decaying with time.
    pub recent_failures: f64,
    pub last_failure_at: f64,
    /// It has not responded for long; ejected only where `ejection_allowed`.
    pub unresponsive: bool,
    /// An ejected endpoint may get a trial request from this time on, where hedging is permitted.
    pub next_trial_at: f64,
    pub last_health_check_at: f64,
    /// When attempts were forwarded to it within [`forward_window_seconds`], oldest first.
    pub recent_forwards: VecDeque<f64>,
    /// Decides whether a fraction of one request is left of the slow-start budget.
    pub slow_start_sample: HeldSample,
}

impl Endpoint {
    /// Whether it counts as working for the service's load: ready and not ejected.
    pub(crate) fn is_live(&self, ejection_allowed: bool) -> bool {
        self.ready && !self.is_ejected(ejection_allowed)
    }

    /// Whether it is unresponsive and may be ejected for it.
    pub(crate) fn is_ejected(&self, ejection_allowed: bool) -> bool {
        self.unresponsive && ejection_allowed
    }

    /// It has responded.
    pub(crate) fn record_response(&mut self, now: f64) {
        self.last_response_at = now;
        self.unresponsive = false;
    }

    /// Takes in a latency relative to the service's mean.
    pub(crate) fn record_latency_ratio(&mut self, ratio: f64) {
        let responses = (self.latency_ratio_responses + 1.0).min(LATENCY_RATIO_RESPONSES_MAX);
        self.latency_ratio_responses = responses;
        let change = (ratio - self.latency_ratio) / (LATENCY_RATIO_PRIOR_RESPONSES + responses);
        self.latency_ratio =
            (self.latency_ratio + change).clamp(LATENCY_RATIO_MIN, LATENCY_RATIO_MAX);
    }

    /// Takes in a load report; one without a usable number counts as idle.
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

    /// An attempt goes out to it.
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

    /// Drops forwards that are older than the window.
    pub(crate) fn expire_forwards(&mut self, window_seconds: f64, now: f64) {
        let start = now - window_seconds;
        while self
            .recent_forwards
            .pop_front_if(|at| *at < start)
            .is_some()
        {}
    }
}

/// How long each endpoint's forwards are remembered.
pub(crate) fn forward_window_seconds(limits: &EndpointLimits) -> f64 {
    seconds(limits.overload_window).max(FORWARD_WINDOW_MIN_SECONDS)
}
