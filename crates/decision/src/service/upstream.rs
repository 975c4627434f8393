//! The endpoints of a service and what their responses say: joins the balancer, the latency
//! statistics and the concurrency limit.

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

/// The endpoints of a service, their latency and their load.
pub(crate) struct Upstream {
    settings: Arc<Settings>,
    pub balancer: LoadBalancer,
    pub latency: LatencyStats,
    pub load_shedder: LoadShedder,
    pub health_checks: HealthCheckBudget,
}

impl Upstream {
    /// An upstream without endpoints. Its latency counts as just permitted until responses come:
    /// otherwise all ingresses would fill the endpoints at the start.
    pub(crate) fn new(settings: &Arc<Settings>, now: f64) -> Upstream {
        Upstream {
            settings: Arc::clone(settings),
            balancer: LoadBalancer::new(settings),
            latency: LatencyStats::new(settings, MAX_OBJECTIVE_RATIO, now),
            load_shedder: LoadShedder::new(now),
            health_checks: HealthCheckBudget::default(),
        }
    }

    /// The endpoint that gets the request's next attempt, if any may.
    pub(crate) fn choose(
        &mut self,
        request: &Request,
        now: f64,
        rng: &mut Rng,
    ) -> Option<EndpointId> {
        let settings = &self.settings;
        self.balancer.table.refresh_subset(settings, now, rng);
        let endpoints = &self.balancer.table.endpoints;
        let allowed = AllowedEndpoints::of(request, endpoints, settings, now);
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

    /// The load, if one more request of the class would overload the endpoints.
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

    /// Whether the endpoint is ejected, no longer ready, or not known.
    pub(crate) fn is_lost(&self, endpoint: EndpointId) -> bool {
        let endpoints = &self.balancer.table.endpoints;
        let state = endpoints.get(&endpoint);
        outlier::ejection_allowed(endpoints)
            && state.is_none_or(|endpoint| endpoint.unresponsive || !endpoint.ready)
    }

    /// Takes in how an attempt of a request of the class ended at the endpoint. What waited through
    /// this ingress's last stall, which ended at `resumed_at`, says nothing of the endpoint.
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
        let is_stalled = now - latency < resumed_at;
        let is_ok = end.outcome == Outcome::Ok;
        if (is_ok || end.outcome == Outcome::Timeout) && !is_ejected && !is_stalled {
            let objective = seconds(self.settings.classes[class].latency_objective);
            let ratio = latency / objective;
            self.latency.record_objective_ratio(ratio, now);
        }
        if is_ok && !is_stalled {
            let ratio = self.latency.record_response(class, latency);
            endpoint.record_latency_ratio(ratio);
        }
        if is_ok {
            self.load_shedder.record_response(now);
        }
    }

    /// How long a failure takes to decay. Most attempts end with a response, which is no failure
    /// and needs no walk over the endpoints.
    fn failure_decay_seconds(&self, outcome: Outcome) -> f64 {
        if outcome == Outcome::Ok {
            return outlier::MIN_FAILURE_DECAY_SECONDS;
        }
        let endpoints = &self.balancer.table.endpoints;
        outlier::failure_decay_seconds(endpoints, &self.settings.endpoint_limits)
    }

    /// Takes in an endpoint's load report, if there is one.
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

    /// A health check has ended.
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

    /// Finds endpoints that have not answered for long.
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

    /// Does what time alone brings on: forwards expire, health checks start, removed endpoints are
    /// dropped.
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
        table.drop_removed();
    }
}
