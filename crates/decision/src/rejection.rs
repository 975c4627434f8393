//! Reasons for rejecting a request. They are meant for operators; clients do not receive them.

/// The reason for which a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectReason {
    /// The settings do not define its class or plan.
    UnknownClassOrPlan,
    /// Its customer's quota is exhausted.
    OverQuota,
    /// Its customer has reached the plan's limit on concurrent requests.
    ConcurrencyLimit,
    /// Load shedding: the service has reached its concurrency limit for the request's class.
    Overloaded(ShedLoad),
    /// No endpoint is eligible for it.
    NoEndpoint,
    /// Its deadline passed before the first attempt was forwarded.
    DeadlineExceeded,
    /// Its attempts failed and no further attempt is possible.
    AttemptsFailed,
    /// The ingress has reached its limit on open requests. The caller sets this reason; this crate
    /// never does.
    AtCapacity,
    /// The ingress is not ready yet or is shutting down. Also set by the caller only.
    NotServing,
}

/// The load of the service when a request was rejected because of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedLoad {
    /// The number of attempts in flight from this ingress to the service's endpoints, without
    /// ejected ones.
    pub in_flight: u32,
    /// The limit on attempts in flight that applied to the request's class.
    pub limit: f64,
    /// The mean latency of the service's responses divided by the latency objective.
    pub latency_ratio: f64,
}
