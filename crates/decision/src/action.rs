//! Actions: what the caller has to carry out, in order.

use crate::ids::{CounterKey, EndpointId, RequestId, TimerTag};
use crate::rejection::RejectReason;
use std::fmt;
use std::time::Duration;

/// What the ingress has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Forward {
        /// The request.
        request: RequestId,
        /// The endpoint that gets the attempt.
        endpoint: EndpointId,
        /// When this attempt is given up.
        deadline: Duration,
    },
    /// Final answer: rejected; a retry is safe.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before its next attempt.
        retry_after: Option<Duration>,
        /// Why.
        reason: RejectReason,
    },
    /// Final answer: failed; whether it was executed is unknown.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Add to a number on the counter service and return the total.
    IncrementCounter {
        /// The key.
        key: CounterKey,
        /// The amount.
        amount: f64,
        /// A new key expires after this.
        time_to_live: Duration,
    },
    /// Send [`Event::TimerExpired`](crate::Event::TimerExpired) after this time.
    SetTimer {
        /// From now.
        after: Duration,
        /// Returned with the event.
        tag: TimerTag,
    },
    /// Start a health check of an endpoint.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the endpoint list from now on.
    Subscribe,
    /// Fetch the complete endpoint list once.
    FetchEndpointList,
    /// Write a line to the operators' log.
    Log(Notice),
}

/// A change of state that operators want to see in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// An endpoint has not answered for so long that it is taken for unresponsive.
    EndpointUnresponsive(EndpointId),
    /// The counter is slow or failing: fewer than half of the requests call it.
    CounterDegraded,
    /// The counter answers again: every request calls it.
    CounterRecovered,
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::EndpointUnresponsive(endpoint) => {
                write!(f, "endpoint unresponsive, endpoint {}", endpoint.0)
            }
            Notice::CounterDegraded => f.write_str("counter degraded"),
            Notice::CounterRecovered => f.write_str("counter recovered"),
        }
    }
}
