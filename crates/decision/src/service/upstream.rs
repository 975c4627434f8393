//! The endpoints of a service and the statistics about their responses. Combines the load balancer,
//! the latency statistics, the concurrency limit and the health checks.

use crate::action::Action;
use crate::balancer::{ChoiceInput, LoadBalancer};
use crate::endpoint::{forward_window_seconds, AttemptKey};
use crate::event::{AttemptEnd, LoadReport, Outcome};
use crate::health::health_check::HealthCheckBudget;
use crate::health::outlier;
use crate::ids::EndpointId;
use crate::latency::LatencyStats;
use crate::load_shedding::{LoadShedder, MAX_OBJECTIVE_RATIO};
use crate::rejection::ShedLoad;
use crate::service::request::Request;
use crate::service::retry::AllowedEndpoints;
use crate::settings::{Idempotency, Settings};
use crate::util::seconds;
use fastrand::Rng;
use std::sync::Arc;

/// The endpoints of a service with their latency, load and health.
pub(crate) struct Upstream {
    settings: Arc<Settings>,
    pub balancer: LoadBalancer,
    pub latency: LatencyStats,
    pub load_shedder: LoadShedder,
    pub health_checks: HealthCheckBudget,
}

impl Upstream {
    /// Creates an upstream without endpoints. Until it has responded, its latency is assumed to be
    /// the highest that is permitted. With a lower assumption, all ingresses together would
    /// overload the endpoints when they start.
    pub(crate) fn new(settings: &Arc<Settings>, now: f64) -> Upstream {
        Upstream {
            settings: Arc::clone(settings),
            balancer: LoadBalancer::new(settings),
            latency: LatencyStats::new(settings, MAX_OBJECTIVE_RATIO, now),
            load_shedder: LoadShedder::new(now),
            health_checks: HealthCheckBudget::default(),
        }
    }

    /// Chooses the endpoint for the request's next attempt; `None` if no endpoint is eligible.
    pub(crate) fn choose(
        &mut self,
        request: &Request,
        now: f64,
        rng: &mut Rng,
    ) -> Option<EndpointId> {
        let settings = &self.settings;
        self.balancer.table.refresh_subset(settings, now, rng);
        let endpoints = &self.balancer.table.endpoints;
        let allowed = AllowedEndpoints::for_next_attempt(request, endpoints, settings, now);
        let class = request.incoming.class;
        let is_idempotent = settings.classes[class].idempotency == Idempotency::Idempotent;
        let is_first_attempt = request.attempts.is_empty();
        let input = ChoiceInput {
            now,
            class,
            mean_latency: self.latency.mean(class),
            is_first_attempt,
            may_be_trial: is_idempotent && is_first_attempt && settings.permissions.hedging,
        };
        self.balancer.choose(
            &input,
            |id, endpoint| allowed.contains(endpoint) && !request.was_attempted_at(id),
            rng,
        )
    }

    /// Returns the load if one more request of the class would exceed the concurrency limit.
    /// `sample` is explained at [`LoadShedder::shed_load`].
    pub(crate) fn shed_load(&self, class: usize, sample: f64, now: f64) -> Option<ShedLoad> {
        self.load_shedder.shed_load(
            &self.settings,
            &self.latency,
            &self.balancer.load(),
            class,
            sample,
            now,
        )
    }

    /// Whether the endpoint is unresponsive, no longer ready or unknown. Always false while more
    /// than half of the ready endpoints are unresponsive, because none is ejected then.
    pub(crate) fn is_unavailable(&self, endpoint: EndpointId) -> bool {
        let endpoints = &self.balancer.table.endpoints;
        let state = endpoints.get(&endpoint);
        outlier::ejection_allowed(endpoints)
            && state.is_none_or(|endpoint| endpoint.unresponsive || !endpoint.ready)
    }

    /// Records how an attempt at the endpoint ended. The latency of an attempt that was in flight
    /// during this ingress's last stall, which ended at `resumed_at`, is ignored, because it
    /// includes the stall.
    pub(crate) fn record_outcome(
        &mut self,
        endpoint: EndpointId,
        class: usize,
        end: &AttemptEnd,
        now: f64,
        resumed_at: f64,
    ) {
        let endpoints = &self.balancer.table.endpoints;
        let ejection_allowed = outlier::ejection_allowed(endpoints);
        let failure_decay = self.failure_decay_seconds(end.outcome);
        let Some((endpoint, connect_failures)) = self.balancer.endpoint_mut(endpoint) else {
            return;
        };
        endpoint.in_flight.remove(&AttemptKey {
            request: end.request,
            attempt: end.attempt,
        });
        connect_failures.record(&mut endpoint.circuit_breaker, end.outcome, now);
        outlier::record_outcome(endpoint, end, failure_decay, now, resumed_at);
        let is_ejected = endpoint.is_ejected(ejection_allowed);
        let latency = seconds(end.elapsed);
        let overlaps_stall = now - latency < resumed_at;
        let is_ok = end.outcome == Outcome::Ok;
        if (is_ok || end.outcome == Outcome::Timeout) && !is_ejected && !overlaps_stall {
            let objective = seconds(self.settings.classes[class].latency_objective);
            let ratio = latency / objective;
            self.latency.record_objective_ratio(ratio, now);
        }
        if is_ok && !overlaps_stall {
            let ratio = self.latency.record_response(class, latency);
            endpoint.record_latency_ratio(ratio);
        }
        if is_ok {
            self.load_shedder.record_response(now);
        }
    }

    /// The time in seconds over which a failure decays. The value does not matter for a successful
    /// attempt, so the iteration over the endpoints is skipped.
    fn failure_decay_seconds(&self, outcome: Outcome) -> f64 {
        if outcome == Outcome::Ok {
            return outlier::MIN_FAILURE_DECAY_SECONDS;
        }
        let endpoints = &self.balancer.table.endpoints;
        outlier::failure_decay_seconds(endpoints, &self.settings.endpoint_limits)
    }

    /// Records an endpoint's load report, if there is one.
    pub(crate) fn record_load_report(
        &mut self,
        endpoint: EndpointId,
        report: Option<&LoadReport>,
        now: f64,
    ) {
        let endpoint = self.balancer.table.endpoints.get_mut(&endpoint);
        if let (Some(endpoint), Some(report)) = (endpoint, report) {
            endpoint.record_load_report(report, now);
        }
    }

    /// Called when a health check has ended.
    pub(crate) fn on_health_check(
        &mut self,
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<&LoadReport>,
        now: f64,
    ) {
        self.record_load_report(endpoint, report, now);
        if outcome != Outcome::Ok {
            return;
        }
        if let Some(endpoint) = self.balancer.table.endpoints.get_mut(&endpoint) {
            endpoint.record_response(now);
        }
    }

    /// Marks endpoints that have not responded for a long time as unresponsive.
    pub(crate) fn detect_unresponsive(
        &mut self,
        resumed_at: f64,
        now: f64,
        actions: &mut Vec<Action>,
    ) {
        outlier::detect_unresponsive(
            &mut self.balancer.table.endpoints,
            self.latency.means(),
            resumed_at,
            now,
            actions,
        );
    }

    /// Does the periodic work: forgets old forwards, starts health checks and drops endpoints that
    /// were removed from the list.
    pub(crate) fn maintain(&mut self, now: f64, rng: &mut Rng, actions: &mut Vec<Action>) {
        let window = forward_window_seconds(&self.settings.endpoint_limits);
        let table = &mut self.balancer.table;
        for endpoint in table.endpoints.values_mut() {
            endpoint
                .slow_start_sample
                .renew_if_expired(now, window, rng);
            endpoint.expire_forwards(window, now);
        }
        self.health_checks
            .start_due(&mut table.endpoints, &self.settings, now, actions);
        table.drop_drained();
    }
}
