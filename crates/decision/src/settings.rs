//! Settings of an ingress: plain data without defaults, checked by [`Settings::check`].

use std::time::Duration;

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times, at any endpoint.
    Idempotent,
    /// The request carries an idempotency key, by which endpoints drop duplicates.
    IdempotencyKey {
        /// The endpoints that share their records of keys.
        scope: DeduplicationScope,
        /// How long duplicates are dropped, from the first attempt on.
        window: Duration,
    },
    /// The request must not be executed more than once.
    NonIdempotent,
}

/// The endpoints that recognise duplicates of requests that one of them has executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints of the service.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A request class: its latency objective, its priority and how it may be retried.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A response within this time earns the full priority weight.
    pub latency_objective: Duration,
    /// The latency objective is extended by this factor times the work that the request requires; 0
    /// means that the objective is fixed.
    pub objective_work_factor: f64,
    /// Total time that a client waits for an answer, including its own retries.
    pub deadline: Duration,
    /// Value of a request that is served within the latency objective.
    pub priority_weight: f64,
    /// Share of the priority weight that a response after the latency objective earns.
    pub late_weight_ratio: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether the response is streamed.
    pub streamed: bool,
}

/// A plan that customers subscribe to. Its quotas apply to each customer over all ingresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Rate quota in units per second; 0 means that there is none.
    pub rate: f64,
    /// Capacity of the rate quota's token bucket, in units.
    pub burst: f64,
    /// Maximum number of requests in flight; 0 means that it is not limited.
    pub max_concurrent: u32,
    /// Rate of the hard ceiling in units per second; 0 means that there is no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket, in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's token bucket may be overdrawn.
    pub ceiling_slack: f64,
    /// Factor by which the priority weight of a request is multiplied.
    pub priority_factor: f64,
    /// Share of the priority weight that a request served beyond the quota earns.
    pub over_quota_weight_ratio: f64,
    /// Cost of a request forwarded beyond the quota, as a share of its priority weight; 0 means
    /// that exceeding the quota costs nothing.
    pub over_quota_cost: f64,
}

/// Settings of the calls to the counter service.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterSettings {
    /// A call without a reply ends after this time with
    /// [`CounterResult::Unknown`](crate::CounterResult::Unknown).
    pub timeout: Duration,
}

/// What the platform permits an ingress to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether a request may have two attempts in flight.
    pub hedging: bool,
    /// Whether the ingress may start health checks.
    pub health_checks: bool,
    /// Whether rejections tell the client how long to wait before it retries.
    pub retry_after: bool,
    /// Maximum time that a rejection may tell the client to wait.
    pub max_retry_after: Duration,
}

/// What endpoints guarantee while they warm up, and what an ingress must not ask of them.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLimits {
    /// Share of its capacity that an endpoint has at least when it starts, 0 to 1.
    pub initial_capacity_ratio: f64,
    /// Time from its start until an endpoint has its full capacity.
    pub warm_up_duration: Duration,
    /// An endpoint that is warming up fails if its load exceeds this multiple of its current
    /// capacity throughout `overload_window`.
    pub overload_multiple: f64,
    /// How long an endpoint that is warming up withstands a load above `overload_multiple`.
    pub overload_window: Duration,
    /// Time after which nothing may be forwarded to an endpoint that is draining or removed.
    pub drain_grace: Duration,
}

/// How the endpoint list reaches the ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are reported without being requested.
    Push,
    /// Changes are reported only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchEndpointList`](crate::Action::FetchEndpointList).
    Subscription,
}

/// The settings that a [`Dispatcher`](crate::Dispatcher) is created with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of ingresses that share the quotas and the endpoints.
    pub ingress_count: u32,
    /// Index of this ingress among all ingresses, from 0.
    pub ingress_index: u32,
    /// Availability zone of this ingress.
    pub zone: u16,
    /// Time resolution: the shortest time between two batches of events.
    pub tick: Duration,
    /// The request classes; requests refer to them by index.
    pub classes: Vec<RequestClass>,
    /// The plans; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// Settings of the counter service; `None` if there is none, and quotas are decided locally.
    pub counter: Option<CounterSettings>,
    /// Whether endpoints report their load only in responses to health checks.
    pub load_reports_on_health_check: bool,
    /// How updates of the endpoint list reach this ingress.
    pub discovery: DiscoveryMode,
    /// What the platform permits this ingress to do.
    pub permissions: Permissions,
    /// What the endpoints guarantee and require.
    pub endpoint_limits: EndpointLimits,
}

impl Settings {
    /// Checks that an ingress can run with these settings.
    ///
    /// # Errors
    /// Returns the first [`SettingsError`] found.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.ingress_index >= self.ingress_count {
            return Err(SettingsError::InvalidNumber(
                "the ingress index must be less than the number of ingresses",
            ));
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        if self.plans.is_empty() {
            return Err(SettingsError::NoPlan);
        }
        if !self.plans.iter().all(Plan::is_valid) {
            return Err(SettingsError::InvalidNumber(
                "a plan's rates, bursts, ceilings and factors must be finite and at least 0, \
                 and a plan with a rate needs a burst above 0",
            ));
        }
        if !self.classes.iter().all(RequestClass::is_valid) {
            return Err(SettingsError::InvalidNumber(
                "a class's weights must be finite and at least 0, \
                 and its latency objective above 0",
            ));
        }
        if !self.endpoint_limits.is_valid() {
            return Err(SettingsError::InvalidNumber(
                "an endpoint limit must be finite and at least 0, \
                 and the initial capacity ratio at most 1",
            ));
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

/// Why an ingress cannot run with its settings.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// [`Settings::classes`] is empty.
    #[error("no request class is given")]
    NoClass,
    /// [`Settings::plans`] is empty.
    #[error("no plan is given")]
    NoPlan,
    /// A number is out of range; the text says which values are allowed.
    #[error("number out of range: {0}")]
    InvalidNumber(&'static str),
}
