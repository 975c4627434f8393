//! The score of an endpoint: its work in flight and reported, for its weight, warm-up and speed.
//! The lowest score wins.

use crate::endpoint::{Endpoint, Endpoints, LOAD_REPORT_TIME_CONSTANT_SECONDS};
use crate::health::outlier::{failure_decay_seconds, failure_load};
use crate::load_shedding::unobserved_load_ratio;
use crate::settings::Settings;
use crate::util::EPSILON;
use fastrand::Rng;

/// A reported request weighs this much of one in flight from here.
const REPORTED_REQUEST_WEIGHT: f64 = 0.5;
/// Factor on the score of an endpoint in another zone.
const OTHER_ZONE_FACTOR: f64 = 1.02;
/// Random part of a score, so that equal ones take turns.
const JITTER_RATIO: f64 = 0.02;

/// What the scores of all endpoints have in common during one choice.
pub(crate) struct Scorer {
    zone: u16,
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

    /// The score of an endpoint of this capacity: its weight, as far as it is warmed up and in the
    /// subset.
    pub(crate) fn score(&self, endpoint: &Endpoint, capacity: f64, rng: &mut Rng) -> f64 {
        let failures = failure_load(endpoint, self.failure_decay_seconds, self.now);
        let in_flight = endpoint.in_flight.len() as f64;
        let reported = REPORTED_REQUEST_WEIGHT * self.reported_load(endpoint);
        let work = 1.0 + in_flight + reported + failures;
        let zone_factor = if endpoint.entry.zone == self.zone {
            1.0
        } else {
            OTHER_ZONE_FACTOR
        };
        let jitter = 1.0 + JITTER_RATIO * rng.f64();
        let score = work * endpoint.latency_ratio / capacity * zone_factor * jitter;
        // Few ingresses see nearly all that is in flight and go by it. Of many, each sees next to
        // nothing: all would prefer the same large endpoints. The least of exponential samples
        // falls to each endpoint by its capacity; what little is known of it weighs twice.
        let sample = if self.unobserved_ratio > 0.0 {
            -(1.0 - rng.f64()).ln()
        } else {
            1.0
        };
        score * (work * endpoint.latency_ratio * sample.max(EPSILON)).powf(self.unobserved_ratio)
    }

    /// The endpoint's reported load, which fades towards the mean of all.
    fn reported_load(&self, endpoint: &Endpoint) -> f64 {
        let mean = self.mean_reported_load;
        mean + (endpoint.reported_load.value - mean) * report_weight(endpoint, self.now)
    }
}

/// The weight of an endpoint's load reports, by their age.
fn report_weight(endpoint: &Endpoint, now: f64) -> f64 {
    ((endpoint.reported_load.updated_at - now) / LOAD_REPORT_TIME_CONSTANT_SECONDS).exp()
}

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
