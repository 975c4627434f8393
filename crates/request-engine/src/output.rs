//! The outputs of the engine, which its driver carries out.

use crate::slots::Key;
use roseyard_decision::{CounterKey, EndpointId, Notice, RejectReason};
use std::time::Duration;

/// An operation for the driver, which carries out all outputs in the order in which
/// [`RequestEngine::poll`] returns them.
///
/// [`RequestEngine::poll`]: crate::RequestEngine::poll
#[derive(Clone, Debug, PartialEq)]
pub enum Output<O, V> {
    /// Start an attempt. The driver reports its end, whatever the outcome, with
    /// [`RequestEngine::on_attempt_ended`](crate::RequestEngine::on_attempt_ended).
    Forward {
        /// The key of the request.
        request: Key,
        /// The number of the attempt, counted from 0 for each request.
        attempt: u16,
        /// The endpoint that the attempt is sent to.
        endpoint: EndpointId,
        /// The time at which the attempt times out.
        deadline: Duration,
    },
    /// Cancel an attempt. The driver reports its end as that of any other attempt.
    Cancel {
        /// The key of the request.
        request: Key,
        /// The number of the attempt.
        attempt: u16,
    },
    /// Deliver the final response.
    Respond {
        /// The owner of the request, as submitted.
        owner: O,
        /// The final response.
        response: Response<V>,
    },
    /// Increment a counter. The driver reports the reply with
    /// [`RequestEngine::on_counter_reply`](crate::RequestEngine::on_counter_reply). Replies for the
    /// same key have to be reported in the order of the calls.
    IncrementCounter {
        /// The key of the counter.
        key: CounterKey,
        /// The increment, in units.
        amount: f64,
        /// The time to live of the counter if this call creates it.
        time_to_live: Duration,
    },
    /// Start a health check. The driver reports its end with
    /// [`RequestEngine::on_health_check_ended`](crate::RequestEngine::on_health_check_ended).
    CheckHealth {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Fetch the endpoint list, or subscribe to its changes.
    FetchEndpointList,
    /// Write an entry to the log.
    Log(Notice),
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response<V> {
    /// The value that an endpoint returned.
    Served(V),
    /// The request was rejected. The client can safely retry it, since it has not been executed or
    /// its class is idempotent.
    Rejected {
        /// The time after which the client may retry; `None` if the response gives no time.
        retry_after: Option<Duration>,
        /// The reason, for the log.
        reason: RejectReason,
    },
    /// The request failed. It may have been executed.
    Failed,
}
