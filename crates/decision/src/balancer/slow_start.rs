//! Slow start: limits the requests to an endpoint that is warming up to what it can handle.

use crate::endpoint::{Endpoint, Endpoints};
use crate::latency::INITIAL_MEAN_LATENCY_DIVISOR;
use crate::load_shedding::MIN_CONCURRENCY_PER_ENDPOINT;
use crate::settings::{EndpointLimits, Settings};
use crate::util::{seconds, EPSILON};

/// The factor by which the overload multiple is reduced for safety if the budget is based on full
/// capacity, which is the case if most endpoints are warming up.
const FULL_CAPACITY_SAFETY_FACTOR: f64 = 0.8;
/// The factor by which the overload multiple is reduced for safety if the budget is based on
/// present capacity.
const PRESENT_CAPACITY_SAFETY_FACTOR: f64 = 0.5;

/// Returns the share of its full capacity that an endpoint is guaranteed to have at its age.
pub(crate) fn warm_up_ratio(endpoint: &Endpoint, limits: &EndpointLimits, now: f64) -> f64 {
    let started_at = endpoint.entry.started_at;
    let age = started_at.map_or(f64::MAX, |at| (now - seconds(at)).max(0.0));
    let initial = limits.initial_capacity_ratio;
    let warm_up_seconds = seconds(limits.warm_up_duration).max(EPSILON);
    (initial + (1.0 - initial) * age / warm_up_seconds).min(1.0)
}

/// Limits how many requests an endpoint that is warming up may get within
/// [`forward_window_seconds`](crate::endpoint::forward_window_seconds). The budget depends on the
/// class of the request to be forwarded, but requests of all classes count against it.
pub(crate) struct SlowStartBudget {
    /// The budget before it is scaled by an endpoint's warm-up ratio and subset weight.
    unscaled: f64,
}

/// The inputs of a budget, apart from the endpoints.
pub(crate) struct BudgetInput<'a> {
    pub settings: &'a Settings,
    /// The index of the request's class.
    pub class: usize,
    /// The mean latency of the class, in seconds.
    pub mean_latency: f64,
    /// The lower bound on subset weights, which endpoints outside the subset get.
    pub min_subset_weight: f64,
    /// The number of listed endpoints per known endpoint, at least 1. An endpoint is known if this
    /// ingress keeps state for it.
    pub listed_per_known: f64,
    /// The present time, in seconds.
    pub now: f64,
}

impl SlowStartBudget {
    /// Calculates the budget from the attempts that this ingress forwarded within the window.
    ///
    /// An endpoint's share of these forwards is proportional to its subset weight and its warm-up
    /// ratio. Its budget is this share times half of the overload multiple
    /// ([`PRESENT_CAPACITY_SAFETY_FACTOR`]). If most endpoints are warming up, the budget is lower:
    /// it is then based on the share that the endpoint would have if all others had their full
    /// capacity, and on [`FULL_CAPACITY_SAFETY_FACTOR`].
    ///
    /// The number of forwards has a lower bound, so that the budget is not 0 before anything has
    /// been forwarded: this ingress's share of the requests that all ingresses together may forward
    /// within the window with [`MIN_CONCURRENCY_PER_ENDPOINT`] requests in flight per endpoint.
    pub(crate) fn new(endpoints: &Endpoints, input: &BudgetInput) -> SlowStartBudget {
        let limits = &input.settings.endpoint_limits;
        let mut full_capacity = EPSILON;
        let mut present_capacity = EPSILON;
        let mut forwards = 0.0;
        let mut endpoint_count = 0.0;
        for endpoint in endpoints.values().filter(|e| e.ready && !e.unresponsive) {
            let weight = endpoint.subset_weight.max(input.min_subset_weight);
            full_capacity += weight;
            present_capacity += weight * warm_up_ratio(endpoint, limits, input.now);
            endpoint_count += 1.0;
            forwards += endpoint.recent_forwards.len() as f64;
        }
        let objective = seconds(input.settings.classes[input.class].latency_objective);
        let latency = input
            .mean_latency
            .max(objective / INITIAL_MEAN_LATENCY_DIVISOR);
        let min_forwards_of_all = MIN_CONCURRENCY_PER_ENDPOINT
            * endpoint_count
            * input.listed_per_known
            * seconds(limits.overload_window)
            / latency;
        let ingress_count = f64::from(input.settings.ingress_count);
        let forwards = f64::max(forwards, min_forwards_of_all / ingress_count);
        let multiple = limits.overload_multiple.max(1.0);
        let per_forward_at_present = PRESENT_CAPACITY_SAFETY_FACTOR * multiple / present_capacity;
        let per_forward_at_full = FULL_CAPACITY_SAFETY_FACTOR * multiple / full_capacity;
        SlowStartBudget {
            unscaled: forwards * per_forward_at_present.min(per_forward_at_full),
        }
    }

    /// Whether the endpoint may get one more request. Its budget depends on its subset weight and
    /// its warm-up ratio, but not on its weight in the endpoint list. A random sample rounds the
    /// budget up or down: if it were always rounded up, an endpoint would be overloaded by one
    /// request each from hundreds of ingresses.
    pub(crate) fn admits(
        &self,
        endpoint: &Endpoint,
        subset_weight: f64,
        warm_up_ratio: f64,
    ) -> bool {
        let budget = warm_up_ratio * self.unscaled * subset_weight;
        let used = endpoint.recent_forwards.len() as f64 + endpoint.slow_start_sample.value;
        let is_used_up = used >= budget;
        warm_up_ratio >= 1.0 || !is_used_up
    }
}
