//! Settings of an ingress. Plain data without defaults.

use std::time::Duration;

/// How often a request of a class may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times, anywhere.
    Idempotent,
    /// Endpoints of `scope` drop duplicates for `window` after the first attempt.
    IdempotencyKey {
        /// The endpoints that share their memory of keys.
        scope: DeduplicationScope,
        /// How long they remember a key.
        window: Duration,
    },
    /// Never more than once.
    NonIdempotent,
}

/// Which endpoints drop each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// Endpoints of one zone.
    Zone,
    /// Endpoints of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time earns the full priority weight.
    pub latency_objective: Duration,
    /// The objective grows by this multiple of the request's own work.
    pub objective_work_factor: f64,
    /// Total time that a client waits over all its attempts.
    pub deadline: Duration,
    /// Value of one served request.
    pub priority_weight: f64,
    /// Share of the priority weight that is earned after the objective.
    pub late_weight_ratio: f64,
    /// Whether a request may be executed again.
    pub idempotency: Idempotency,
    /// Whether the response is streamed.
    pub streamed: bool,
}

/// A plan; its quotas hold for each customer over all ingresses together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second; 0 means no rate quota.
    pub rate: f64,
    /// Capacity of the quota's bucket, in units.
    pub burst: f64,
    /// Most requests in flight at once; 0 means no such quota.
    pub max_concurrent: u32,
    /// Units a second of the hard ceiling; 0 means none.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's bucket, in units.
    pub ceiling_burst: f64,
    /// How far the ceiling's bucket may fall below zero, in units.
    pub ceiling_slack: f64,
    /// Factor on the priority weight.
    pub priority_factor: f64,
    /// Share of the priority weight that is earned beyond the quota.
    pub over_quota_weight_ratio: f64,
    /// Share of the priority weight that a request forwarded beyond the quota costs.
    pub over_quota_cost: f64,
}

/// The counter service.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterSettings {
    /// A call without a reply by then ends as [`CounterResult::Unknown`](crate::CounterResult).
    pub timeout: Duration,
}

/// What the platform permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether a request may have two attempts in flight.
    pub hedging: bool,
    /// Whether endpoints may be health-checked.
    pub health_checks: bool,
    /// Whether rejections carry a retry-after time.
    pub retry_after: bool,
    /// The longest retry-after time that clients honour.
    pub max_retry_after: Duration,
}

/// What endpoints guarantee, and what is required towards them.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLimits {
    /// An endpoint starts with at least this share of its capacity.
    pub initial_capacity_ratio: f64,
    /// It has its full capacity no later than this after its start.
    pub warm_up_duration: Duration,
    /// An endpoint that is warming up fails when it gets more than this multiple of its present
    /// capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Duration,
    /// Nothing is forwarded to a draining or removed endpoint later than this.
    pub drain_grace: Duration,
}

/// How the endpoint list reaches the ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed without a request.
    Push,
    /// Changes come only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchEndpointList`](crate::Action::FetchEndpointList).
    Subscription,
}

/// Settings that an ingress starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of ingresses in this tier.
    pub ingress_count: u32,
    /// This ingress's index among them, from 0.
    pub ingress_index: u32,
    /// The zone of this ingress.
    pub zone: u16,
    /// Shortest time between two rounds of events.
    pub tick: Duration,
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// The counter service, if any.
    pub counter: Option<CounterSettings>,
    /// Whether reports of an endpoint's load come with health checks only.
    pub load_reports_on_health_check: bool,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// Permissions.
    pub permissions: Permissions,
    /// Endpoint limits.
    pub endpoint_limits: EndpointLimits,
}

impl Settings {
    /// Checks that an ingress can run with these settings.
    ///
    /// # Errors
    /// The first [`SettingsError`] found.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.ingress_index >= self.ingress_count {
            return Err(SettingsError::InvalidNumber(
                "the number of gateways, or this one's among them,",
            ));
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        if self.plans.is_empty() {
            return Err(SettingsError::NoPlan);
        }
        if !self.plans.iter().all(Plan::is_valid) {
            return Err(SettingsError::InvalidNumber("a plan's figure"));
        }
        if !self.classes.iter().all(RequestClass::is_valid) {
            return Err(SettingsError::InvalidNumber("a class's figure"));
        }
        if !self.endpoint_limits.is_valid() {
            return Err(SettingsError::InvalidNumber("a guarantee"));
        }
        Ok(())
    }
}

fn is_finite_and_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl Plan {
    fn is_valid(&self) -> bool {
        let numbers = [
            self.rate,
            self.burst,
            self.ceiling_rate,
            self.ceiling_burst,
            self.ceiling_slack,
            self.priority_factor,
        ];
        let has_burst = self.rate <= 0.0 || self.burst > 0.0;
        numbers.into_iter().all(is_finite_and_not_negative) && has_burst
    }
}

impl RequestClass {
    fn is_valid(&self) -> bool {
        is_finite_and_not_negative(self.priority_weight)
            && is_finite_and_not_negative(self.late_weight_ratio)
            && !self.latency_objective.is_zero()
    }
}

impl EndpointLimits {
    fn is_valid(&self) -> bool {
        self.initial_capacity_ratio <= 1.0
            && is_finite_and_not_negative(self.initial_capacity_ratio)
            && is_finite_and_not_negative(self.overload_multiple)
    }
}

/// Settings that an ingress cannot run with.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// No request class.
    #[error("no request class is given")]
    NoClass,
    /// No plan.
    #[error("no plan is given")]
    NoPlan,
    /// A number is out of range.
    #[error("{0} must be a finite number in its range")]
    InvalidNumber(&'static str),
}
