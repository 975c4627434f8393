//! Events that the caller reports to the [`Dispatcher`](crate::Dispatcher). Points in time are
//! given as the duration since an epoch that the caller chooses; all events of one ingress use the
//! same epoch.

use crate::ids::{CounterKey, CustomerId, EndpointId, RequestId, ServiceId, TimerTag};
use std::time::Duration;

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint finishes its requests and accepts no new ones.
    Draining,
    /// The endpoint no longer exists.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint that the entry describes.
    pub endpoint: EndpointId,
    /// The service that the endpoint belongs to.
    pub service: ServiceId,
    /// Availability zone of the endpoint.
    pub zone: u16,
    /// Cell of the endpoint. The endpoints of a cell share their records of idempotency keys.
    pub cell: u16,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Capacity relative to the other endpoints. A value that is not a positive number counts as 1.
    pub weight: f64,
    /// Sort key of the endpoint for subsetting, such as a hash of its name. It has to be the same
    /// at every ingress.
    pub rank: u64,
    /// Time of the latest start; `None` means that the endpoint is fully warmed up.
    pub started_at: Option<Duration>,
}

/// An update of the endpoint list from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListUpdate {
    /// Only the entries that have changed.
    Changes(Vec<EndpointEntry>),
    /// The complete list, which replaces the previous one.
    Full(Vec<EndpointEntry>),
    /// A call to discovery has failed or the subscription has ended.
    Unavailable,
}

/// The load that an endpoint reports about itself. Reports are delayed and noisy. A field is `None`
/// if the endpoint does not report it.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LoadReport {
    /// Number of requests in flight at the endpoint.
    pub in_flight: Option<f64>,
    /// Number of requests that wait in the endpoint's queue.
    pub queued: Option<f64>,
    /// CPU utilisation of the endpoint, 0 to 1.
    pub utilisation: Option<f64>,
    /// Recent service time, without the time spent in the queue.
    pub service_time: Option<Duration>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Ok,
    /// The endpoint returned an error; the request may have been executed.
    Error,
    /// The endpoint was overloaded and rejected the request before executing it.
    Overloaded,
    /// The endpoint did not respond in time; the request may have been executed.
    Timeout,
    /// The connection could not be established; the request was not executed.
    ConnectFailed,
    /// The connection was lost; the request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// The attempt was never sent to the endpoint.
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
    /// The call failed and the amount was not added.
    NotAdded,
    /// There was no reply; the amount may have been added.
    Unknown,
}

/// A request that a client has sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Id of the request, unique while the ingress runs.
    pub request: RequestId,
    /// The service that the request is for.
    pub service: ServiceId,
    /// Index of the request's class in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Index of the customer's plan in [`Settings::plans`](crate::Settings::plans).
    pub plan: usize,
    /// The customer whose quota the request uses.
    pub customer: CustomerId,
    /// Units that the request takes from the quota; may be an estimate. A negative value counts as
    /// 0, and a value that is not finite as 1.
    pub units: f64,
    /// Number of ingresses that may receive this customer's requests.
    pub ingress_count: u32,
    /// Time until the client stops waiting for an answer.
    pub time_left: Duration,
    /// Whether the client has marked the request as a retry; always false if clients do not mark
    /// retries.
    pub is_retry: bool,
}

/// How an attempt ended, and what the response contained.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request, from 0.
    pub attempt: u16,
    /// The endpoint that the attempt was forwarded to.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was forwarded.
    pub elapsed: Duration,
    /// Whether the client has already been given its final answer. The request is then closed
    /// whatever the outcome is.
    pub is_request_finished: bool,
    /// Units that the request actually used; `None` if [`IncomingRequest::units`] was exact.
    pub true_units: Option<f64>,
    /// The load report that came with the response, if any.
    pub load: Option<LoadReport>,
}

/// An event that the caller reports to [`Dispatcher::handle`](crate::Dispatcher::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointListChanged(EndpointListUpdate),
    /// A request has arrived.
    RequestReceived(IncomingRequest),
    /// A streamed response has started.
    StreamStarted {
        /// The request that is answered.
        request: RequestId,
        /// Number of the attempt whose response is streamed, from 0.
        attempt: u16,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has disconnected and no longer expects an answer.
    ClientDisconnected(RequestId),
    /// A counter call has ended. For each key, replies are reported in the order of the calls.
    CounterReply {
        /// The key that was incremented.
        key: CounterKey,
        /// The new total, or how the call failed.
        result: CounterResult,
        /// Time since the call was made.
        elapsed: Duration,
    },
    /// A timer has expired.
    TimerExpired(TimerTag),
    /// A health check has ended.
    HealthCheckEnded {
        /// The service that the endpoint belongs to.
        service: ServiceId,
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the health check ended.
        outcome: Outcome,
        /// The load report that came with the response, if any.
        load: Option<LoadReport>,
    },
}
