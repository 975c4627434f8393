//! Latency statistics of a service: the mean of each class, and the objective ratio, which is the
//! mean latency divided by the latency objective.

use crate::settings::Settings;
use crate::util::ewma::{Ewma, SampleWeight};
use crate::util::{seconds, EPSILON};

/// The mean latency of a class is averaged over about this many of the latest responses.
pub(crate) const MAX_AVERAGED_RESPONSES: f64 = 30.0;
/// Before the first response, the mean latency of a class is assumed to be its latency objective
/// divided by this.
pub(crate) const INITIAL_MEAN_LATENCY_DIVISOR: f64 = 8.0;
const MIN_MEAN_LATENCY_SECONDS: f64 = 1e-3;
/// A slow response counts as at most this many times the mean latency.
const MAX_RATIO_TO_MEAN: f64 = 4.0;
/// If responses are rare, the objective ratio is averaged over about this time.
const OBJECTIVE_RATIO_TIME_CONSTANT_SECONDS: f64 = 3.0;
const OBJECTIVE_RATIO_SAMPLE_WEIGHT: SampleWeight = SampleWeight {
    min: 1.0 / MAX_AVERAGED_RESPONSES,
    max: 0.25,
};
/// The objective ratio starts to decay when there has been no response for this time.
const OBJECTIVE_RATIO_DECAY_DELAY_SECONDS: f64 = 1.0;

/// Latency statistics of one service. Times are in seconds.
pub(crate) struct LatencyStats {
    mean_by_class: Vec<f64>,
    response_count_by_class: Vec<f64>,
    objective_ratio: Ewma,
    /// Number of responses and timeouts in `objective_ratio`.
    objective_ratio_count: f64,
}

impl LatencyStats {
    /// Creates statistics without any response, which assume the given objective ratio.
    pub(crate) fn new(settings: &Settings, initial_ratio: f64, now: f64) -> LatencyStats {
        let initial_mean = |objective| seconds(objective) / INITIAL_MEAN_LATENCY_DIVISOR;
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        LatencyStats {
            mean_by_class: objectives.map(initial_mean).collect(),
            response_count_by_class: vec![0.0; settings.classes.len()],
            objective_ratio: Ewma {
                value: initial_ratio,
                updated_at: now,
            },
            objective_ratio_count: 0.0,
        }
    }

    /// The mean latency of a class in seconds, assumed until the class has responded.
    pub(crate) fn mean(&self, class: usize) -> f64 {
        self.mean_by_class[class]
    }

    /// Whether the class has responded, so that its mean latency is measured and not assumed.
    pub(crate) fn is_class_measured(&self, class: usize) -> bool {
        self.response_count_by_class[class] > 0.0
    }

    /// The mean latency of each class in seconds, by index of the class.
    pub(crate) fn means(&self) -> &[f64] {
        &self.mean_by_class
    }

    /// Mean latency of all classes as a share of their latency objectives.
    pub(crate) fn objective_ratio(&self) -> f64 {
        self.objective_ratio.value
    }

    /// The objective ratio, decayed by the time since the last response. The decay prevents an
    /// ingress with few requests from rejecting them because of an outdated ratio.
    pub(crate) fn decayed_objective_ratio(&self, now: f64) -> f64 {
        let stale =
            (self.objective_ratio.updated_at + OBJECTIVE_RATIO_DECAY_DELAY_SECONDS - now).min(0.0);
        self.objective_ratio.value * (stale / OBJECTIVE_RATIO_TIME_CONSTANT_SECONDS).exp()
    }

    /// Whether the service has responded or timed out, so that the objective ratio is measured and
    /// not assumed.
    pub(crate) fn is_measured(&self) -> bool {
        self.objective_ratio_count > 0.0
    }

    /// Records the latency of a response or a timeout as a share of its latency objective. The
    /// first samples have a higher weight, so that the assumed ratio counts as only one sample.
    pub(crate) fn record_objective_ratio(&mut self, ratio: f64, now: f64) {
        self.objective_ratio_count += 1.0;
        let equal_weight = 1.0 / (1.0 + self.objective_ratio_count);
        let weight = SampleWeight {
            min: OBJECTIVE_RATIO_SAMPLE_WEIGHT.min.max(equal_weight),
            max: OBJECTIVE_RATIO_SAMPLE_WEIGHT.max.max(equal_weight),
        };
        self.objective_ratio
            .add(ratio, now, OBJECTIVE_RATIO_TIME_CONSTANT_SECONDS, weight);
    }

    /// Records the latency of a response in seconds and returns its ratio to the class's updated
    /// mean. The first responses have a higher weight, because endpoints are compared by the mean,
    /// which has to be accurate soon.
    pub(crate) fn record_response(&mut self, class: usize, latency: f64) -> f64 {
        let mean = &mut self.mean_by_class[class];
        let response_count = &mut self.response_count_by_class[class];
        *response_count += 1.0;
        *mean += (latency - *mean) / response_count.min(MAX_AVERAGED_RESPONSES);
        *mean = mean.max(MIN_MEAN_LATENCY_SECONDS);
        (latency / mean.max(EPSILON)).min(MAX_RATIO_TO_MEAN)
    }
}
