//! Events: what the caller reports. Times are durations since an epoch that the caller chooses;
//! all events of one ingress use the same epoch.

use crate::ids::{CounterKey, CustomerId, EndpointId, RequestId, ServiceId, TimerTag};
use std::time::Duration;

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Removed.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its zone.
    pub zone: u16,
    /// Its cell: the endpoints of a cell share their memory of idempotency keys.
    pub cell: u16,
    /// Its state.
    pub state: EndpointState,
    /// Capacity relative to the other endpoints; one that is not a positive number counts as 1.
    pub weight: f64,
    /// Its position in an order that is the same at every ingress, such as a hash of its name.
    pub rank: u64,
    /// Its latest start; none means that it has warmed up long ago.
    pub started_at: Option<Duration>,
}

/// A watch event of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListUpdate {
    /// Changed entries only.
    Changes(Vec<EndpointEntry>),
    /// The complete list.
    Full(Vec<EndpointEntry>),
    /// A call to discovery failed or the subscription ended.
    Unavailable,
}

/// Load that an endpoint reports of itself; delayed and noisy.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests queued.
    pub queued: Option<f64>,
    /// Share of its cores in use.
    pub utilisation: Option<f64>,
    /// Recent service time without queueing.
    pub service_time: Option<Duration>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The endpoint returned an error; the request may have been executed.
    Error,
    /// Rejected by the endpoint before it was executed.
    Overloaded,
    /// No response in time; the request may have been executed.
    Timeout,
    /// No connection; the request was never executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// Cancelled; the request may have been executed.
    Cancelled,
    /// Never sent.
    NotStarted,
}

impl Outcome {
    /// Whether this outcome proves that the request was not executed.
    pub(crate) fn is_provably_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotStarted
        )
    }
}

/// How a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResult {
    /// The total after the call.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// No reply; the amount may have been added.
    Unknown,
}

/// A request that a client sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Its id.
    pub request: RequestId,
    /// The service whose endpoints may answer it.
    pub service: ServiceId,
    /// Index of its class in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Index of its customer's plan in [`Settings::plans`](crate::Settings::plans).
    pub plan: usize,
    /// Its customer.
    pub customer: CustomerId,
    /// Units that it takes from the quota, perhaps an estimate; one that is not finite counts as 1.
    pub units: f64,
    /// How many ingresses the customer's requests may come through.
    pub ingress_count: u32,
    /// Time until the client gives up.
    pub time_left: Duration,
    /// Whether the client marks it as a retry; never where clients do not mark retries.
    pub is_retry: bool,
}

/// How an attempt ended, and what the response carried.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u16,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was forwarded.
    pub elapsed: Duration,
    /// The client has its final answer.
    pub is_request_finished: bool,
    /// Actual units, where the request's were an estimate.
    pub true_units: Option<f64>,
    /// The endpoint's load report.
    pub load: Option<LoadReport>,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointListChanged(EndpointListUpdate),
    /// A request has arrived.
    RequestReceived(IncomingRequest),
    /// A streamed response has started.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected and gets no answer.
    ClientDisconnected(RequestId),
    /// A counter call has ended; for one key in the order of the calls.
    CounterReply {
        /// The key.
        key: CounterKey,
        /// How it ended.
        result: CounterResult,
        /// Time since the call.
        elapsed: Duration,
    },
    /// A timer has expired.
    TimerExpired(TimerTag),
    /// A health check has ended.
    HealthCheckEnded {
        /// The service that the endpoint belongs to.
        service: ServiceId,
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The endpoint's load report.
        load: Option<LoadReport>,
    },
}
