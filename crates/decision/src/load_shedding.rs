//! The concurrency limit of a service, by Little's law: requests in flight divided by responses a
//! second are the mean latency, which is held to a share of the latency objective. Classes that
//! earn least for their work are rejected first.

use crate::latency::LatencyStats;
use crate::rejection::ShedLoad;
use crate::settings::{RequestClass, Settings};
use crate::util::held_random::HeldSample;
use crate::util::{seconds, EPSILON};

/// The share of the latency objective that the mean latency may take before new requests are
/// rejected: at one half, one in ten is late.
pub(crate) const MAX_OBJECTIVE_RATIO: f64 = 0.3;
/// Requests in flight for each endpoint, over all ingresses, that never overload it: its cores stay
/// idle.
pub(crate) const MIN_CONCURRENCY_PER_ENDPOINT: f64 = 2.0;
/// An ingress may have so many requests in flight at services that have not responded yet, over all
/// of them.
const UNMEASURED_IN_FLIGHT_MIN: f64 = 4.0;
/// Up to this many ingresses, each one's own requests in flight show the load of the endpoints.
const OBSERVING_INGRESSES_MAX: f64 = 4.0;
/// The classes that earn least for their work are limited to this share of the limit.
const LEAST_CLASS_RATIO: f64 = 0.2;
/// Below this share of the latency that a class is permitted, responses are quick.
const QUICK_RATIO: f64 = 0.7;
const THROUGHPUT_TIME_CONSTANT_SECONDS: f64 = 0.5;
const PEAK_TIME_CONSTANT_SECONDS: f64 = 6.0;
/// Factor on the least limit before the first response.
const LEAST_LIMIT_FACTOR_AT_START: f64 = 1.5;
/// While responses are quick, so many roots of the limit are permitted beyond it, and one request.
const QUICK_FLUCTUATION_ROOTS: f64 = 2.0;
/// The fluctuation is at least the root of the limit, up to this part of the limit.
const FLUCTUATION_DIVISOR: f64 = 4.0;

/// A service's present load at this ingress.
pub(crate) struct ServiceLoad {
    /// Attempts in flight at endpoints that are not ejected.
    pub in_flight: usize,
    /// Endpoints that are ready and not ejected.
    pub live_endpoints: usize,
    /// Listed endpoints for each one that has a state.
    pub listed_per_known: f64,
}

/// Throughput of one service and the decision to shed load. Times are in seconds.
#[derive(Default)]
pub(crate) struct LoadShedder {
    /// Responses a second, and the peak remembered.
    throughput: f64,
    peak_throughput: f64,
    last_response_at: f64,
    /// Decides whether a fraction of one request is left under the limit.
    pub sample: HeldSample,
}

impl LoadShedder {
    pub(crate) fn new(now: f64) -> LoadShedder {
        LoadShedder {
            last_response_at: now,
            ..LoadShedder::default()
        }
    }

    /// A response has come.
    pub(crate) fn record_response(&mut self, now: f64) {
        let elapsed = now - self.last_response_at;
        let decayed = self.throughput * (-elapsed / THROUGHPUT_TIME_CONSTANT_SECONDS).exp();
        self.throughput = decayed + 1.0 / THROUGHPUT_TIME_CONSTANT_SECONDS;
        let peak = self.peak_throughput * (-elapsed / PEAK_TIME_CONSTANT_SECONDS).exp();
        self.peak_throughput = peak.max(self.throughput);
        self.last_response_at = now;
    }

    /// The load, if one more request of the class would exceed the limit. `sample`, 0 to 1, decides
    /// for a fraction of one request.
    pub(crate) fn shed_load(
        &self,
        settings: &Settings,
        latency: &LatencyStats,
        load: &ServiceLoad,
        class: usize,
        sample: f64,
        now: f64,
    ) -> Option<ShedLoad> {
        let latency_ratio = latency.faded_objective_ratio(now);
        let permitted = PermittedLatency::new(settings, latency, class, latency_ratio);
        let objective = seconds(settings.classes[class].latency_objective);
        let by_throughput = self.throughput(now) * objective * permitted.ratio * permitted.slowdown;
        let mean_limit = by_throughput.max(self.least_limit(settings, load));
        let limit = mean_limit + permitted.fluctuation(mean_limit, settings.ingress_count);
        (load.in_flight as f64 + sample > limit).then_some(ShedLoad {
            in_flight: load.in_flight as u32,
            limit,
            latency_ratio,
        })
    }

    /// Whether this many requests in flight, over all services, are no more than this ingress's
    /// part of what all endpoints bear while they are idle.
    pub(crate) fn is_ingress_idle(
        &self,
        other_requests: f64,
        endpoint_count: usize,
        ingress_count: u32,
    ) -> bool {
        other_requests + self.sample.value <= idle_in_flight(endpoint_count, ingress_count)
    }

    /// Responses a second, present or remembered.
    fn throughput(&self, now: f64) -> f64 {
        let elapsed = now - self.last_response_at;
        let present = self.throughput * (-elapsed / THROUGHPUT_TIME_CONSTANT_SECONDS).exp();
        let peak = self.peak_throughput * (-elapsed / PEAK_TIME_CONSTANT_SECONDS).exp();
        present.max(peak)
    }

    /// This ingress's part of what idle endpoints bear.
    fn least_limit(&self, settings: &Settings, load: &ServiceLoad) -> f64 {
        let idle =
            MIN_CONCURRENCY_PER_ENDPOINT * load.live_endpoints as f64 * load.listed_per_known
                / f64::from(settings.ingress_count);
        if self.peak_throughput > 0.0 {
            idle
        } else {
            LEAST_LIMIT_FACTOR_AT_START * idle
        }
    }
}

/// The latency that a class is permitted, as a share of its objective, against the present one.
struct PermittedLatency {
    ratio: f64,
    /// By how much the limit is reduced because the present latency is higher; 0 to 1.
    slowdown: f64,
    /// Whether the present latency is well below.
    is_quick: bool,
}

impl PermittedLatency {
    fn new(
        settings: &Settings,
        latency: &LatencyStats,
        class: usize,
        latency_ratio: f64,
    ) -> PermittedLatency {
        let value = relative_value(settings, latency, class).max(LEAST_CLASS_RATIO);
        let ranked_ratio = MAX_OBJECTIVE_RATIO * value;
        let is_quick = latency_ratio < QUICK_RATIO * ranked_ratio;
        // While responses are quick there is nothing for classes to compete for.
        let ratio = if is_quick {
            MAX_OBJECTIVE_RATIO
        } else {
            ranked_ratio
        };
        PermittedLatency {
            ratio,
            slowdown: (ratio / latency_ratio.max(EPSILON)).min(1.0),
            is_quick,
        }
    }

    /// What is permitted beyond the limit of the mean. The number in flight fluctuates by about its
    /// root: while responses are quick a few more are harmless, else the sample decides. Of many
    /// ingresses, the local fluctuation is no evidence: customers that are rejected for it retry.
    fn fluctuation(&self, mean_limit: f64, ingress_count: u32) -> f64 {
        let root = mean_limit.sqrt();
        if self.is_quick {
            return QUICK_FLUCTUATION_ROOTS * root + 1.0;
        }
        let unobserved =
            unobserved_load_ratio(ingress_count) * (self.slowdown * root).min(mean_limit);
        unobserved.max(root.min(mean_limit / FLUCTUATION_DIVISOR))
    }
}

/// An ingress's part of what this many idle endpoints bear in flight.
fn idle_in_flight(endpoint_count: usize, ingress_count: u32) -> f64 {
    MIN_CONCURRENCY_PER_ENDPOINT * endpoint_count as f64 / f64::from(ingress_count)
}

/// Whether an ingress may have one more request in flight at a service that has not responded yet,
/// beside this many at all such services. Prevents that ingresses which start at once fill the
/// endpoints.
pub(crate) fn may_measure_latency(
    unmeasured_in_flight: usize,
    endpoint_count: usize,
    ingress_count: u32,
) -> bool {
    let limit = idle_in_flight(endpoint_count, ingress_count).max(UNMEASURED_IN_FLIGHT_MIN);
    unmeasured_in_flight as f64 + 1.0 <= limit
}

/// What a class earns for its work, relative to the class that earns most. A class that has not
/// responded yet counts as that one: its assumed latency says nothing of its work.
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

/// The share of the endpoints' load that an ingress does not see.
pub(crate) fn unobserved_load_ratio(ingress_count: u32) -> f64 {
    1.0 - (OBSERVING_INGRESSES_MAX / f64::from(ingress_count)).min(1.0)
}
