//! The state of one request. Times are in seconds.

use crate::event::IncomingRequest;
use crate::ids::EndpointId;

/// One attempt of a request at an endpoint.
pub(crate) struct Attempt {
    pub endpoint: EndpointId,
    pub forwarded_at: f64,
    pub is_in_flight: bool,
    /// Its outcome proves that the endpoint did not execute it.
    pub provably_not_executed: bool,
}

/// A request of which something is still to come.
pub(crate) struct Request {
    pub incoming: IncomingRequest,
    /// When it gets its final answer at the latest.
    pub deadline: f64,
    /// It has not been decided: the counter's total is awaited.
    pub is_awaiting_counter: bool,
    /// The client has its final answer or has disconnected.
    pub is_closed: bool,
    pub is_streaming: bool,
    pub attempts: Vec<Attempt>,
}

impl Request {
    pub(crate) fn new(incoming: &IncomingRequest, deadline: f64) -> Request {
        Request {
            incoming: *incoming,
            deadline,
            is_awaiting_counter: true,
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

    /// The first attempt that may have been executed.
    pub(crate) fn first_possible_execution(&self) -> Option<&Attempt> {
        let mut attempts = self.attempts.iter();
        attempts.find(|attempt| !attempt.provably_not_executed)
    }

    /// Whether an attempt has gone to the endpoint.
    pub(crate) fn was_attempted_at(&self, endpoint: EndpointId) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.endpoint == endpoint)
    }

    /// Whether nothing more is to come for it.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_closed && !self.is_awaiting_counter && !self.has_attempt_in_flight()
    }
}
