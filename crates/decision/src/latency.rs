//! Latency of a service's responses: the mean of each class, and its ratio to the latency
//! objective.

use crate::settings::Settings;
use crate::util::ewma::{Ewma, SampleWeight};
use crate::util::{seconds, EPSILON};

/// Means are taken over this many responses.
pub(crate) const MAX_AVERAGED_RESPONSES: f64 = 30.0;
/// Until responses come, a class's mean is taken as its latency objective divided by this.
pub(crate) const INITIAL_MEAN_LATENCY_DIVISOR: f64 = 8.0;
const MEAN_MIN_SECONDS: f64 = 1e-3;
/// One slow response counts at most as this many times the mean.
const RATIO_TO_MEAN_MAX: f64 = 4.0;
/// The latency ratio is averaged over this many seconds where responses are few.
const RATIO_TIME_CONSTANT_SECONDS: f64 = 3.0;
const RATIO_WEIGHT: SampleWeight = SampleWeight {
    min: 1.0 / MAX_AVERAGED_RESPONSES,
    max: 0.25,
};
/// An old latency ratio starts to fade after this.
const RATIO_FRESH_SECONDS: f64 = 1.0;

/// Latency statistics of one service. Times are in seconds.
pub(crate) struct LatencyStats {
    mean_by_class: Vec<f64>,
    response_count_by_class: Vec<f64>,
    objective_ratio: Ewma,
    /// Responses and timeouts that the latency ratio is averaged over.
    ratio_count: f64,
}

impl LatencyStats {
    /// Statistics without a response, at the given ratio of latency to objective.
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
            ratio_count: 0.0,
        }
    }

    /// Mean latency of a class.
    pub(crate) fn mean(&self, class: usize) -> f64 {
        self.mean_by_class[class]
    }

    /// Whether the class's mean is measured, and not the one that is assumed at first.
    pub(crate) fn is_class_measured(&self, class: usize) -> bool {
        self.response_count_by_class[class] > 0.0
    }

    /// Mean latency of each class.
    pub(crate) fn means(&self) -> &[f64] {
        &self.mean_by_class
    }

    /// Mean latency as a share of the latency objective.
    pub(crate) fn objective_ratio(&self) -> f64 {
        self.objective_ratio.value
    }

    /// The same, faded if no response has come for a while. Prevents an ingress with few requests
    /// from rejecting them on an old ratio.
    pub(crate) fn faded_objective_ratio(&self, now: f64) -> f64 {
        let stale = (self.objective_ratio.updated_at + RATIO_FRESH_SECONDS - now).min(0.0);
        self.objective_ratio.value * (stale / RATIO_TIME_CONSTANT_SECONDS).exp()
    }

    /// Whether the latency ratio is measured, and not the one that is assumed at first.
    pub(crate) fn is_measured(&self) -> bool {
        self.ratio_count > 0.0
    }

    /// Takes in the latency of a response or a timeout as a share of its objective. The first ones
    /// weigh more: the assumed ratio counts as one of them.
    pub(crate) fn record_objective_ratio(&mut self, ratio: f64, now: f64) {
        self.ratio_count += 1.0;
        let equal_weight = 1.0 / (1.0 + self.ratio_count);
        let weight = SampleWeight {
            min: RATIO_WEIGHT.min.max(equal_weight),
            max: RATIO_WEIGHT.max.max(equal_weight),
        };
        self.objective_ratio
            .add(ratio, now, RATIO_TIME_CONSTANT_SECONDS, weight);
    }

    /// Takes in the latency of a response and returns its ratio to the class's new mean. The first
    /// responses weigh more: endpoints are compared by the mean.
    pub(crate) fn record_response(&mut self, class: usize, latency: f64) -> f64 {
        let mean = &mut self.mean_by_class[class];
        let response_count = &mut self.response_count_by_class[class];
        *response_count += 1.0;
        *mean += (latency - *mean) / response_count.min(MAX_AVERAGED_RESPONSES);
        *mean = mean.max(MEAN_MIN_SECONDS);
        (latency / mean.max(EPSILON)).min(RATIO_TO_MEAN_MAX)
    }
}
