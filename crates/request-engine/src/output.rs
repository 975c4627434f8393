//! What the engine wants done.

use crate::slots::Key;
use roseyard_decision::{CounterKey, EndpointId, Notice, RejectReason};
use std::time::Duration;

/// What the driver has to do, in the order in which [`RequestEngine::poll`] returns it.
///
/// [`RequestEngine::poll`]: crate::RequestEngine::poll
#[derive(Clone, Debug, PartialEq)]
pub enum Output<O, V> {
    /// Start an attempt. Its end, however it ends, is reported with
    /// [`RequestEngine::on_attempt_ended`](crate::RequestEngine::on_attempt_ended).
    Forward {
        /// The request.
        request: Key,
        /// Number of the attempt, from 0.
        attempt: u16,
        /// The endpoint.
        endpoint: EndpointId,
        /// When the attempt times out.
        deadline: Duration,
    },
    /// Cancel an attempt. Its end is reported too.
    Cancel {
        /// The request.
        request: Key,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Deliver the final response.
    Respond {
        /// Whom it is for.
        owner: O,
        /// The response.
        response: Response<V>,
    },
    /// Increment a counter. The reply is reported with
    /// [`RequestEngine::on_counter_reply`](crate::RequestEngine::on_counter_reply), for one key in
    /// the order of the calls.
    IncrementCounter {
        /// The counter's key.
        key: CounterKey,
        /// By how much, in units.
        amount: f64,
        /// Time to live of a counter that this call creates.
        time_to_live: Duration,
    },
    /// Start a health check. Its end is reported with
    /// [`RequestEngine::on_health_check_ended`](crate::RequestEngine::on_health_check_ended).
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Fetch the endpoint list, or its changes from now on.
    FetchEndpointList,
    /// Write a line to the operators' log.
    Log(Notice),
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response<V> {
    /// The value that an endpoint returned.
    Served(V),
    /// Rejected, and never executed.
    Rejected {
        /// The client may retry after this time.
        retry_after: Option<Duration>,
        /// Why, for operators.
        reason: RejectReason,
    },
    /// Failed. Whether it was executed is unknown.
    Failed,
}
