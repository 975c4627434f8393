//! The score of an endpoint: its load (attempts in flight, reported requests and recent failures)
//! times its relative latency, divided by its capacity. The endpoint with the lowest score is
//! chosen.

use crate::endpoint::{Endpoint, Endpoints, LOAD_REPORT_TIME_CONSTANT_SECONDS};
use crate::health::outlier::{failure_decay_seconds, failure_load};
use crate::load_shedding::unobserved_load_ratio;
use crate::settings::Settings;
use crate::util::EPSILON;
use fastrand::Rng;

/// The weight of a request in a load report relative to an attempt in flight from this ingress.
const REPORTED_REQUEST_WEIGHT: f64 = 0.5;
/// The factor on the score of an endpoint in another zone.
const OTHER_ZONE_SCORE_FACTOR: f64 = 1.02;
/// The random part of a score. It spreads requests over endpoints with equal scores.
const JITTER_RATIO: f64 = 0.02;

/// What the scores of all endpoints have in common during one choice. Times are in seconds.
pub(crate) struct Scorer {
    /// The zone of this ingress.
    zone: u16,
    /// The share of the endpoints' load that this ingress does not observe.
    unobserved_ratio: f64,
    failure_decay_seconds: f64,
    mean_reported_load: f64,
    now: f64,
}

impl Scorer {
    pub(crate) fn new(endpoints: &Endpoints, settings: &Settings, now: f64) -> Scorer {
        Scorer {
            zone: settings.zone,
            unobserved_ratio: unobserved_load_ratio(settings.ingress_count),
            failure_decay_seconds: failure_decay_seconds(endpoints, &settings.endpoint_limits),
            mean_reported_load: mean_reported_load(endpoints, now),
            now,
        }
    }

    /// Returns the score of an endpoint. `capacity` is its weight in the endpoint list times its
    /// warm-up ratio and its subset weight.
    pub(crate) fn score(&self, endpoint: &Endpoint, capacity: f64, rng: &mut Rng) -> f64 {
        let failures = failure_load(endpoint, self.failure_decay_seconds, self.now);
        let in_flight = endpoint.in_flight.len() as f64;
        let reported = REPORTED_REQUEST_WEIGHT * self.reported_load(endpoint);
        let load = 1.0 + in_flight + reported + failures;
        let zone_factor = if endpoint.entry.zone == self.zone {
            1.0
        } else {
            OTHER_ZONE_SCORE_FACTOR
        };
        let jitter = 1.0 + JITTER_RATIO * rng.f64();
        let score = load * endpoint.latency_ratio / capacity * zone_factor * jitter;
        // If there are few ingresses, each observes most of the load, and the plain score is used.
        // If there are many, each observes very little of it, and all would prefer the same large
        // endpoints. The score is then multiplied by an exponential sample. Because the sample is
        // divided by the capacity, an endpoint's probability of having the lowest score is
        // proportional to its capacity. The observed load and latency count twice.
        let sample = if self.unobserved_ratio > 0.0 {
            -(1.0 - rng.f64()).ln()
        } else {
            1.0
        };
        score * (load * endpoint.latency_ratio * sample.max(EPSILON)).powf(self.unobserved_ratio)
    }

    /// Returns the endpoint's reported load, which decays towards the mean of all endpoints as its
    /// reports age.
    fn reported_load(&self, endpoint: &Endpoint) -> f64 {
        let mean = self.mean_reported_load;
        mean + (endpoint.reported_load.value - mean) * report_weight(endpoint, self.now)
    }
}

/// Returns the weight of an endpoint's load reports by their age, from 0 to 1.
fn report_weight(endpoint: &Endpoint, now: f64) -> f64 {
    ((endpoint.reported_load.updated_at - now) / LOAD_REPORT_TIME_CONSTANT_SECONDS).exp()
}

/// Returns the mean reported load of the ready endpoints, weighted by the age of their reports.
fn mean_reported_load(endpoints: &Endpoints, now: f64) -> f64 {
    let mut sum = 0.0;
    let mut weights = EPSILON;
    let reporting = endpoints
        .values()
        .filter(|endpoint| endpoint.ready && endpoint.reported_load.updated_at > 0.0);
    for endpoint in reporting {
        let weight = report_weight(endpoint, now);
        sum += endpoint.reported_load.value * weight;
        weights += weight;
    }
    sum / weights
}
