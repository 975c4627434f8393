//! The load balancer of a service. It finds the eligible endpoints, scores them and chooses one.

pub(crate) mod endpoint_ring;
pub(crate) mod endpoint_table;
pub(crate) mod score;
pub(crate) mod slow_start;
pub(crate) mod subset;

use self::endpoint_table::EndpointTable;
use self::score::Scorer;
use self::slow_start::{warm_up_ratio, BudgetInput, SlowStartBudget};
use crate::endpoint::{AttemptKey, Endpoint};
use crate::health::circuit_breaker::ConnectFailures;
use crate::health::outlier;
use crate::ids::EndpointId;
use crate::load_shedding::ServiceLoad;
use crate::settings::Settings;
use fastrand::Rng;
use std::sync::Arc;

/// The maximum subset weight of an endpoint outside the subset. Such endpoints have a small weight
/// instead of none, so that they are used if those inside the subset fail.
const MAX_OUTSIDE_SUBSET_WEIGHT: f64 = 0.01;
/// The maximum sum of the subset weights of all endpoints outside the subset.
const MAX_OUTSIDE_SUBSET_TOTAL_WEIGHT: f64 = 2.0;

/// The inputs of the choice of an endpoint, apart from the endpoints. Times are in seconds.
pub(crate) struct ChoiceInput {
    pub now: f64,
    /// The index of the request's class.
    pub class: usize,
    /// The mean latency of the class.
    pub mean_latency: f64,
    pub is_first_attempt: bool,
    /// Whether the request may be sent to an ejected endpoint as a trial.
    pub may_be_trial: bool,
}

impl ChoiceInput {
    /// Whether the request may be sent to this ejected endpoint as a trial now.
    fn is_trial_due(&self, endpoint: &Endpoint) -> bool {
        self.may_be_trial && self.now >= endpoint.next_trial_at
    }
}

/// What all candidates of one choice have in common.
struct ChoiceContext {
    /// The minimum subset weight of an endpoint, inside or outside the subset.
    min_weight: f64,
    budget: SlowStartBudget,
    scorer: Scorer,
}

/// An eligible endpoint.
struct Candidate {
    endpoint: EndpointId,
    /// Whether it is chosen only if all candidates are fallbacks.
    is_fallback: bool,
    score: f64,
}

impl Candidate {
    fn is_better_than(&self, other: &Candidate) -> bool {
        (self.is_fallback, self.score) < (other.is_fallback, other.score)
    }
}

/// The endpoints of a service and the choice between them.
pub(crate) struct LoadBalancer {
    settings: Arc<Settings>,
    pub table: EndpointTable,
    connect_failures: ConnectFailures,
}

impl LoadBalancer {
    pub(crate) fn new(settings: &Arc<Settings>) -> LoadBalancer {
        LoadBalancer {
            settings: Arc::clone(settings),
            table: EndpointTable::default(),
            connect_failures: ConnectFailures::default(),
        }
    }

    /// Chooses an endpoint among those that `is_allowed` accepts: an ejected one whose trial is
    /// due, otherwise the candidate with the lowest score. Returns `None` if no endpoint is
    /// eligible.
    pub(crate) fn choose(
        &self,
        input: &ChoiceInput,
        is_allowed: impl Fn(EndpointId, &Endpoint) -> bool,
        rng: &mut Rng,
    ) -> Option<EndpointId> {
        let endpoints = &self.table.endpoints;
        let context = self.context(input);
        let ejection_allowed = outlier::ejection_allowed(endpoints);
        let mut trial = None;
        let mut best: Option<Candidate> = None;
        for (&id, endpoint) in endpoints {
            if !endpoint.ready || !is_allowed(id, endpoint) {
                continue;
            }
            if endpoint.is_ejected(ejection_allowed) {
                if trial.is_none() && input.is_trial_due(endpoint) {
                    trial = Some(id);
                }
                continue;
            }
            let Some(candidate) = self.candidate(id, endpoint, input, &context, rng) else {
                continue;
            };
            let is_better = |best: &Candidate| candidate.is_better_than(best);
            if best.as_ref().is_none_or(is_better) {
                best = Some(candidate);
            }
        }
        trial.or(best.map(|candidate| candidate.endpoint))
    }

    /// Calculates what all candidates of one choice have in common.
    fn context(&self, input: &ChoiceInput) -> ChoiceContext {
        let endpoints = &self.table.endpoints;
        let count = endpoints.len().max(1) as f64;
        let min_weight = MAX_OUTSIDE_SUBSET_WEIGHT.min(MAX_OUTSIDE_SUBSET_TOTAL_WEIGHT / count);
        ChoiceContext {
            min_weight,
            budget: self.slow_start_budget(input, min_weight),
            scorer: Scorer::new(endpoints, &self.settings, input.now),
        }
    }

    /// Scores an endpoint. Returns `None` if its slow-start budget is used up.
    fn candidate(
        &self,
        id: EndpointId,
        endpoint: &Endpoint,
        input: &ChoiceInput,
        context: &ChoiceContext,
        rng: &mut Rng,
    ) -> Option<Candidate> {
        let limits = &self.settings.endpoint_limits;
        let warm_up_ratio = warm_up_ratio(endpoint, limits, input.now);
        let weight = endpoint.subset_weight.max(context.min_weight);
        if !context.budget.admits(endpoint, weight, warm_up_ratio) {
            return None;
        }
        let capacity = endpoint.entry.weight * warm_up_ratio * weight;
        Some(Candidate {
            endpoint: id,
            is_fallback: self.is_fallback(endpoint, input),
            score: context.scorer.score(endpoint, capacity, rng),
        })
    }

    /// Whether the endpoint is a fallback, which is chosen only if there is no other candidate.
    ///
    /// Usually, fallbacks are the endpoints that are expected to refuse the connection. When a
    /// trial is due, a first attempt treats the other endpoints as fallbacks instead, so that it
    /// finds out whether an endpoint accepts connections again.
    fn is_fallback(&self, endpoint: &Endpoint, input: &ChoiceInput) -> bool {
        let failures = &self.connect_failures;
        let is_refusal_expected = failures.is_refusal_expected(endpoint.circuit_breaker);
        let is_trial_due = failures.is_half_open(input.now) && input.is_first_attempt;
        if is_trial_due {
            !is_refusal_expected
        } else {
            is_refusal_expected
        }
    }

    fn slow_start_budget(&self, input: &ChoiceInput, min_subset_weight: f64) -> SlowStartBudget {
        SlowStartBudget::new(
            &self.table.endpoints,
            &BudgetInput {
                settings: &self.settings,
                class: input.class,
                mean_latency: input.mean_latency,
                min_subset_weight,
                listed_per_known: self.table.listed_per_known(),
                now: input.now,
            },
        )
    }

    /// Records that an attempt is forwarded to the endpoint. Returns false if the endpoint is not
    /// known.
    pub(crate) fn record_forward(
        &mut self,
        endpoint: EndpointId,
        key: AttemptKey,
        class: usize,
        now: f64,
    ) -> bool {
        let Some(endpoint) = self.table.endpoints.get_mut(&endpoint) else {
            return false;
        };
        endpoint.record_forward(key, class, now);
        self.connect_failures
            .record_forward(endpoint.circuit_breaker, now);
        outlier::schedule_trial(endpoint, now);
        true
    }

    /// Returns the endpoint and the service's connect failures, so that the outcome of an attempt
    /// can be recorded in both.
    pub(crate) fn endpoint_mut(
        &mut self,
        endpoint: EndpointId,
    ) -> Option<(&mut Endpoint, &mut ConnectFailures)> {
        let endpoint = self.table.endpoints.get_mut(&endpoint)?;
        Some((endpoint, &mut self.connect_failures))
    }

    /// Returns the present load of the service, which the concurrency limit is compared with.
    pub(crate) fn load(&self) -> ServiceLoad {
        let endpoints = &self.table.endpoints;
        let ejection_allowed = outlier::ejection_allowed(endpoints);
        let mut load = ServiceLoad {
            in_flight: 0,
            live_endpoints: 0,
            listed_per_known: self.table.listed_per_known(),
        };
        for endpoint in endpoints.values().filter(|e| e.is_live(ejection_allowed)) {
            load.in_flight += endpoint.in_flight.len();
            load.live_endpoints += 1;
        }
        load
    }
}
