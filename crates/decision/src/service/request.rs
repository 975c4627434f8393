//! The state of one request. Times are in seconds.

use crate::event::IncomingRequest;
use crate::ids::EndpointId;

/// One attempt of a request at an endpoint.
pub(crate) struct Attempt {
    pub endpoint: EndpointId,
    /// When the attempt was forwarded, in seconds.
    pub forwarded_at: f64,
    pub is_in_flight: bool,
    /// Whether the outcome proves that the endpoint did not execute the request; false while the
    /// attempt is in flight.
    pub provably_not_executed: bool,
}

/// A request that is not finished: its client awaits an answer, its quota decision is pending, or
/// an attempt is in flight.
pub(crate) struct Request {
    pub incoming: IncomingRequest,
    /// When the request times out, in seconds.
    pub deadline: f64,
    /// Whether the quota decision has not been made yet, usually because the counter is awaited.
    pub is_quota_decision_pending: bool,
    /// Whether the client has its final answer or has disconnected.
    pub is_closed: bool,
    /// Whether a streamed response has started.
    pub is_streaming: bool,
    /// All attempts, by their number.
    pub attempts: Vec<Attempt>,
}

impl Request {
    pub(crate) fn new(incoming: &IncomingRequest, deadline: f64) -> Request {
        Request {
            incoming: *incoming,
            deadline,
            is_quota_decision_pending: true,
            is_closed: false,
            is_streaming: false,
            attempts: Vec::new(),
        }
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    pub(crate) fn attempts_in_flight(&self) -> usize {
        let in_flight = self.attempts.iter().filter(|attempt| attempt.is_in_flight);
        in_flight.count()
    }

    /// The first attempt that the endpoint may have executed, if any.
    pub(crate) fn first_possible_execution(&self) -> Option<&Attempt> {
        let mut attempts = self.attempts.iter();
        attempts.find(|attempt| !attempt.provably_not_executed)
    }

    /// Whether the request has been forwarded to the endpoint before.
    pub(crate) fn was_attempted_at(&self, endpoint: EndpointId) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.endpoint == endpoint)
    }

    /// Whether the request is closed and awaits neither its quota decision nor an attempt.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_closed && !self.is_quota_decision_pending && !self.has_attempt_in_flight()
    }
}
