//! Load shedding by a concurrency limit for each service.
//!
//! By Little's law, the mean latency is the number of requests in flight divided by the throughput.
//! The limit keeps the mean latency below a share of the latency objective. Classes with the lowest
//! priority weight for their latency have the lowest limit and are rejected first.

use crate::latency::LatencyStats;
use crate::rejection::ShedLoad;
use crate::settings::{RequestClass, Settings};
use crate::util::held_random::HeldSample;
use crate::util::{seconds, EPSILON};

/// The ratio of mean latency to latency objective above which new requests are rejected. At a ratio
/// of 0.5, one response in ten would exceed the objective.
pub(crate) const MAX_OBJECTIVE_RATIO: f64 = 0.3;
/// Requests in flight per endpoint, summed over all ingresses, that are always admitted: they do
/// not keep an endpoint's cores busy.
pub(crate) const MIN_CONCURRENCY_PER_ENDPOINT: f64 = 2.0;
/// The limit on an ingress's requests in flight at all services that have not responded yet is
/// never below this.
const MIN_UNMEASURED_IN_FLIGHT_LIMIT: f64 = 4.0;
/// With up to this many ingresses, the load of the endpoints can be judged by the requests in
/// flight at a single ingress.
const MAX_INGRESSES_OBSERVING_FULL_LOAD: f64 = 4.0;
/// Minimum share of [`MAX_OBJECTIVE_RATIO`] that a class of low value is permitted.
const MIN_CLASS_VALUE_RATIO: f64 = 0.2;
/// The latency counts as low below this share of the latency that a class is permitted.
const LOW_LATENCY_RATIO: f64 = 0.7;
const THROUGHPUT_TIME_CONSTANT_SECONDS: f64 = 0.5;
const PEAK_THROUGHPUT_TIME_CONSTANT_SECONDS: f64 = 6.0;
/// Factor by which the minimum limit is raised before the first response.
const INITIAL_MIN_LIMIT_FACTOR: f64 = 1.5;
/// While the latency is low, the margin above the limit is this many standard deviations of the
/// number in flight plus one request. One standard deviation is the square root of the limit.
const LOW_LATENCY_MARGIN_STANDARD_DEVIATIONS: f64 = 2.0;
/// While the latency is not low, the margin above the limit is at least one standard deviation, but
/// this minimum does not exceed the limit divided by this number.
const MIN_MARGIN_LIMIT_DIVISOR: f64 = 4.0;

/// The current load of a service at this ingress.
pub(crate) struct ServiceLoad {
    /// Number of attempts in flight at known endpoints that are ready and not ejected.
    pub in_flight: usize,
    /// Number of known endpoints that are ready and not ejected.
    pub live_endpoints: usize,
    /// Number of listed endpoints per known endpoint, at least 1. An endpoint is known if this
    /// ingress keeps state for it.
    pub listed_per_known: f64,
}

/// Measures the throughput of one service and decides whether to shed load. Times are in seconds.
#[derive(Default)]
pub(crate) struct LoadShedder {
    /// Moving average of the responses per second.
    throughput: f64,
    /// Recent maximum of `throughput`, which decays more slowly.
    peak_throughput: f64,
    last_response_at: f64,
    /// Random number that is compared with the fractional part of the limit.
    pub sample: HeldSample,
}

impl LoadShedder {
    pub(crate) fn new(now: f64) -> LoadShedder {
        LoadShedder {
            last_response_at: now,
            ..LoadShedder::default()
        }
    }

    /// Called when an endpoint has served a request.
    pub(crate) fn record_response(&mut self, now: f64) {
        let elapsed = now - self.last_response_at;
        let decayed = self.throughput * (-elapsed / THROUGHPUT_TIME_CONSTANT_SECONDS).exp();
        self.throughput = decayed + 1.0 / THROUGHPUT_TIME_CONSTANT_SECONDS;
        let peak = self.peak_throughput * (-elapsed / PEAK_THROUGHPUT_TIME_CONSTANT_SECONDS).exp();
        self.peak_throughput = peak.max(self.throughput);
        self.last_response_at = now;
    }

    /// Returns the load if one more request of the class would exceed the limit. `sample`, 0 to 1,
    /// is the size that the additional request counts as: a random one admits the fractional part
    /// of the limit with that probability.
    pub(crate) fn shed_load(
        &self,
        settings: &Settings,
        latency: &LatencyStats,
        load: &ServiceLoad,
        class: usize,
        sample: f64,
        now: f64,
    ) -> Option<ShedLoad> {
        let latency_ratio = latency.decayed_objective_ratio(now);
        let permitted = PermittedLatency::new(settings, latency, class, latency_ratio);
        let objective = seconds(settings.classes[class].latency_objective);
        let by_throughput =
            self.throughput(now) * objective * permitted.ratio * permitted.limit_factor;
        let mean_limit = by_throughput.max(self.min_limit(settings, load));
        let limit = mean_limit + permitted.margin(mean_limit, settings.ingress_count);
        (load.in_flight as f64 + sample > limit).then_some(ShedLoad {
            in_flight: load.in_flight as u32,
            limit,
            latency_ratio,
        })
    }

    /// Whether `other_requests`, this ingress's other open requests of all services, leave room for
    /// one more within its share of [`MIN_CONCURRENCY_PER_ENDPOINT`].
    pub(crate) fn is_ingress_idle(
        &self,
        other_requests: f64,
        endpoint_count: usize,
        ingress_count: u32,
    ) -> bool {
        other_requests + self.sample.value <= min_concurrency(endpoint_count, ingress_count)
    }

    /// Responses per second: the decayed average, or the decayed peak if it is higher.
    fn throughput(&self, now: f64) -> f64 {
        let elapsed = now - self.last_response_at;
        let current = self.throughput * (-elapsed / THROUGHPUT_TIME_CONSTANT_SECONDS).exp();
        let peak = self.peak_throughput * (-elapsed / PEAK_THROUGHPUT_TIME_CONSTANT_SECONDS).exp();
        current.max(peak)
    }

    /// The minimum of the limit: this ingress's share of [`MIN_CONCURRENCY_PER_ENDPOINT`].
    fn min_limit(&self, settings: &Settings, load: &ServiceLoad) -> f64 {
        let share =
            MIN_CONCURRENCY_PER_ENDPOINT * load.live_endpoints as f64 * load.listed_per_known
                / f64::from(settings.ingress_count);
        if self.peak_throughput > 0.0 {
            share
        } else {
            INITIAL_MIN_LIMIT_FACTOR * share
        }
    }
}

/// The latency that a class is permitted, compared with the current latency.
struct PermittedLatency {
    /// The permitted latency as a share of the latency objective.
    ratio: f64,
    /// Factor, 0 to 1, that reduces the limit if the current latency is above the permitted one.
    limit_factor: f64,
    /// Whether the current latency is well below the permitted one.
    is_latency_low: bool,
}

impl PermittedLatency {
    fn new(
        settings: &Settings,
        latency: &LatencyStats,
        class: usize,
        latency_ratio: f64,
    ) -> PermittedLatency {
        let value = relative_value(settings, latency, class).max(MIN_CLASS_VALUE_RATIO);
        let class_ratio = MAX_OBJECTIVE_RATIO * value;
        let is_latency_low = latency_ratio < LOW_LATENCY_RATIO * class_ratio;
        // While the latency is low, there is capacity for all classes and none needs priority.
        let ratio = if is_latency_low {
            MAX_OBJECTIVE_RATIO
        } else {
            class_ratio
        };
        PermittedLatency {
            ratio,
            limit_factor: (ratio / latency_ratio.max(EPSILON)).min(1.0),
            is_latency_low,
        }
    }

    /// The number of requests in flight that is permitted above `mean_limit`, which limits their
    /// mean. The number in flight fluctuates, with a standard deviation of about the square root of
    /// the mean. While the latency is low, a few more requests do no harm, so the margin is wide.
    /// Otherwise the margin is wider the more ingresses there are: a fluctuation at one of many
    /// ingresses says little about the load of the endpoints, and customers whose requests were
    /// rejected because of it would only retry.
    fn margin(&self, mean_limit: f64, ingress_count: u32) -> f64 {
        let standard_deviation = mean_limit.sqrt();
        if self.is_latency_low {
            return LOW_LATENCY_MARGIN_STANDARD_DEVIATIONS * standard_deviation + 1.0;
        }
        let unobserved = unobserved_load_ratio(ingress_count)
            * (self.limit_factor * standard_deviation).min(mean_limit);
        unobserved.max(standard_deviation.min(mean_limit / MIN_MARGIN_LIMIT_DIVISOR))
    }
}

/// One ingress's share of [`MIN_CONCURRENCY_PER_ENDPOINT`] for this many endpoints.
fn min_concurrency(endpoint_count: usize, ingress_count: u32) -> f64 {
    MIN_CONCURRENCY_PER_ENDPOINT * endpoint_count as f64 / f64::from(ingress_count)
}

/// Whether an ingress may forward one more request to a service that has not responded yet, with
/// `unmeasured_in_flight` requests in flight at all such services. The limit prevents ingresses
/// that start at the same time from overloading the endpoints.
pub(crate) fn may_measure_latency(
    unmeasured_in_flight: usize,
    endpoint_count: usize,
    ingress_count: u32,
) -> bool {
    let limit = min_concurrency(endpoint_count, ingress_count).max(MIN_UNMEASURED_IN_FLIGHT_LIMIT);
    unmeasured_in_flight as f64 + 1.0 <= limit
}

/// The priority weight of a class per second of its mean latency, relative to the class with the
/// highest value. A class without a response yet counts as 1, because its initial mean latency is
/// only assumed.
fn relative_value(settings: &Settings, latency: &LatencyStats, class: usize) -> f64 {
    if !latency.is_class_measured(class) {
        return 1.0;
    }
    let value = |class: &RequestClass, mean: f64| class.priority_weight / mean.max(EPSILON);
    let values = settings
        .classes
        .iter()
        .zip(latency.means())
        .map(|(class, mean)| value(class, *mean));
    let highest = values.fold(EPSILON, f64::max);
    value(&settings.classes[class], latency.mean(class)) / highest
}

/// The share of the endpoints' load that an ingress cannot observe by its own requests, 0 to 1.
pub(crate) fn unobserved_load_ratio(ingress_count: u32) -> f64 {
    1.0 - (MAX_INGRESSES_OBSERVING_FULL_LOAD / f64::from(ingress_count)).min(1.0)
}
