//! Slow start: an endpoint that is warming up gets no more than it can bear.

use crate::endpoint::{Endpoint, Endpoints};
use crate::latency::INITIAL_MEAN_LATENCY_DIVISOR;
use crate::load_shedding::MIN_CONCURRENCY_PER_ENDPOINT;
use crate::settings::{EndpointLimits, Settings};
use crate::util::{seconds, EPSILON};

/// Safety factor on the overload multiple where the budget follows full capacity, as it does where
/// most endpoints are warming up.
const OVERLOAD_MULTIPLE_USED_RATIO: f64 = 0.8;
/// Safety factor on the overload multiple where the budget follows the present, warm capacity.
const OVERLOAD_MULTIPLE_OF_WARM: f64 = 0.5;

/// The share of its capacity that an endpoint surely has by its age.
pub(crate) fn warm_up_ratio(endpoint: &Endpoint, limits: &EndpointLimits, now: f64) -> f64 {
    let started_at = endpoint.entry.started_at;
    let age = started_at.map_or(f64::MAX, |at| (now - seconds(at)).max(0.0));
    let initial = limits.initial_capacity_ratio;
    let warm_up_seconds = seconds(limits.warm_up_duration).max(EPSILON);
    (initial + (1.0 - initial) * age / warm_up_seconds).min(1.0)
}

/// How many requests of a class go to endpoints that are warming up, within
/// [`forward_window_seconds`](crate::endpoint::forward_window_seconds).
pub(crate) struct SlowStartBudget {
    /// Requests for a warm endpoint that lies in the subset as a whole.
    requests: f64,
}

/// What a budget is calculated from, besides the endpoints.
pub(crate) struct BudgetInput<'a> {
    pub settings: &'a Settings,
    pub class: usize,
    /// Mean latency of the class, in seconds.
    pub mean_latency: f64,
    pub min_subset_weight: f64,
    pub listed_per_known: f64,
    pub now: f64,
}

impl SlowStartBudget {
    /// An endpoint gets at most half of the overload multiple of its part, by subset and warm-up,
    /// of what goes out from here; and, where most are warming up, of what would fall to it if all
    /// were warm. If nothing has gone out yet: as much as idle endpoints bear from all ingresses.
    pub(crate) fn new(endpoints: &Endpoints, input: &BudgetInput) -> SlowStartBudget {
        let limits = &input.settings.endpoint_limits;
        let mut full_capacity = EPSILON;
        let mut warm_capacity = EPSILON;
        let mut forwards = 0.0;
        let mut endpoint_count = 0.0;
        for endpoint in endpoints.values().filter(|e| e.ready && !e.unresponsive) {
            let weight = endpoint.subset_weight.max(input.min_subset_weight);
            full_capacity += weight;
            warm_capacity += weight * warm_up_ratio(endpoint, limits, input.now);
            endpoint_count += 1.0;
            forwards += endpoint.recent_forwards.len() as f64;
        }
        let objective = seconds(input.settings.classes[input.class].latency_objective);
        let latency = input
            .mean_latency
            .max(objective / INITIAL_MEAN_LATENCY_DIVISOR);
        let idle_forwards = MIN_CONCURRENCY_PER_ENDPOINT
            * endpoint_count
            * input.listed_per_known
            * seconds(limits.overload_window)
            / latency;
        let ingress_count = f64::from(input.settings.ingress_count);
        let forwards = f64::max(forwards, idle_forwards / ingress_count);
        let multiple = limits.overload_multiple.max(1.0);
        let by_warm_capacity = OVERLOAD_MULTIPLE_OF_WARM * multiple / warm_capacity;
        let by_full_capacity = OVERLOAD_MULTIPLE_USED_RATIO * multiple / full_capacity;
        SlowStartBudget {
            requests: forwards * by_warm_capacity.min(by_full_capacity),
        }
    }

    /// Whether the endpoint may get one more request, by its part in the subset and its warm-up;
    /// its weight in the list does not count. A sample decides for a fraction of one: whole ones
    /// from hundreds of ingresses overload an endpoint.
    pub(crate) fn admits(
        &self,
        endpoint: &Endpoint,
        subset_weight: f64,
        warm_up_ratio: f64,
    ) -> bool {
        let budget = warm_up_ratio * self.requests * subset_weight;
        let used = endpoint.recent_forwards.len() as f64 + endpoint.slow_start_sample.value;
        let is_used_up = used >= budget;
        warm_up_ratio >= 1.0 || !is_used_up
    }
}
