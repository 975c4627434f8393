//! Actions that the caller has to carry out, in the order in which they were appended.

use crate::ids::{CounterKey, EndpointId, RequestId, TimerTag};
use crate::rejection::RejectReason;
use std::fmt;
use std::time::Duration;

/// An action that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Forward {
        /// The request to forward.
        request: RequestId,
        /// The endpoint that the attempt is sent to.
        endpoint: EndpointId,
        /// The time, since the epoch of the events, at which the request times out.
        deadline: Duration,
    },
    /// Answer the client: the request is rejected, and retrying it is safe.
    Reject {
        /// The request that is rejected.
        request: RequestId,
        /// How long the client should wait before it retries; `None` if clients are not told.
        retry_after: Option<Duration>,
        /// Why the request is rejected, for operators.
        reason: RejectReason,
    },
    /// Answer the client: the request has failed and may have been executed.
    Fail {
        /// The request that has failed.
        request: RequestId,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: u16,
    },
    /// Add an amount to a key of the counter service, and report the new total with
    /// [`Event::CounterReply`](crate::Event::CounterReply).
    IncrementCounter {
        /// The key to increment.
        key: CounterKey,
        /// Units to add.
        amount: f64,
        /// How long a key that this call creates is kept.
        time_to_live: Duration,
    },
    /// Report [`Event::TimerExpired`](crate::Event::TimerExpired) after a delay.
    SetTimer {
        /// The delay from now.
        after: Duration,
        /// The tag to report with the event.
        tag: TimerTag,
    },
    /// Start a health check of an endpoint.
    CheckHealth {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Fetch the complete endpoint list once.
    FetchEndpointList,
    /// Write a line to the log.
    Log(Notice),
}

/// A change of state that is reported to operators in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// An endpoint has not responded for so long that it counts as unresponsive.
    EndpointUnresponsive(EndpointId),
    /// The counter is slow or fails, so that fewer than half of the requests call it.
    CounterDegraded,
    /// The counter responds normally again, and every request calls it.
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
