//! Why a request is rejected, for operators: the client is told no reason.

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RejectReason {
    /// Its class or plan is not in the settings.
    UnknownClassOrPlan,
    /// Its customer's quota is used up.
    OverQuota,
    /// Its customer has as many requests in flight as the plan permits.
    ConcurrencyLimit,
    /// The load is shed: the service has its limit of requests in flight.
    Overloaded(ShedLoad),
    /// No endpoint may get it.
    NoEndpoint,
    /// Its deadline passed before an attempt.
    DeadlineExceeded,
    /// Its attempts failed, and there is no further one.
    AttemptsFailed,
    /// The ingress holds as many requests as it may. Not a decision: its caller gives this reason.
    AtCapacity,
    /// The ingress is not ready, or shuts down. Not a decision either.
    NotServing,
}

/// The load that a request was rejected for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedLoad {
    /// Attempts of the service in flight.
    pub in_flight: u32,
    /// How many the request's class was limited to.
    pub limit: f64,
    /// Latency of the service's responses as a share of the latency objective.
    pub latency_ratio: f64,
}
