//! A request that the engine holds.

use crate::attempt::{may_have_arrived, may_have_executed, AttemptInFlight};
use crate::slots::Key;
use roseyard_decision::{EndpointId, Idempotency, Outcome};
use std::time::Duration;

/// A request without a final response, or with an attempt in flight.
pub(crate) struct Request<O, C> {
    /// Whom the response is for; none once it was given, or the owner has disconnected.
    pub(crate) owner: Option<O>,
    pub(crate) command: C,
    /// Bytes that holding it costs.
    pub(crate) bytes: usize,
    /// Whether it may be executed twice, by its class.
    pub(crate) idempotency: Idempotency,
    pub(crate) in_flight: Option<AttemptInFlight>,
    /// The driver's own key of what carries the attempt in flight.
    pub(crate) connection: Option<Key>,
    /// Number of attempts started.
    attempts: u16,
    /// Whether some attempt may have reached an endpoint.
    may_have_arrived: bool,
    may_have_executed: bool,
    /// When retries end: a later one might be executed a second time. None: retries are not
    /// limited, since nothing was executed or the request is idempotent.
    retry_until: Option<Duration>,
    /// Whether it has its final response, or its owner has disconnected.
    pub(crate) is_finished: bool,
}

impl<O, C> Request<O, C> {
    pub(crate) fn new(owner: O, command: C, bytes: usize, idempotency: Idempotency) -> Self {
        Request {
            owner: Some(owner),
            command,
            bytes,
            idempotency,
            in_flight: None,
            connection: None,
            attempts: 0,
            may_have_arrived: false,
            may_have_executed: false,
            retry_until: None,
            is_finished: false,
        }
    }

    /// Starts the next attempt and returns its number; none if one is in flight already.
    pub(crate) fn start_attempt(&mut self, endpoint: EndpointId, now: Duration) -> Option<u16> {
        if self.in_flight.is_some() {
            return None;
        }
        let number = self.attempts;
        self.attempts += 1;
        self.in_flight = Some(AttemptInFlight {
            number,
            endpoint,
            started_at: now,
        });
        Some(number)
    }

    /// Ends the attempt in flight and returns it; none if another attempt is in flight, or none.
    pub(crate) fn end_attempt(&mut self, number: u16, outcome: Outcome) -> Option<AttemptInFlight> {
        let attempt = self.in_flight.take_if(|attempt| attempt.number == number)?;
        self.connection = None;
        if may_have_executed(outcome) {
            self.may_have_executed = true;
            self.retry_until = self.retry_until.or(self.retry_end(&attempt));
        }
        self.may_have_arrived |= may_have_arrived(outcome);
        Some(attempt)
    }

    /// When retries end if this attempt was executed.
    fn retry_end(&self, attempt: &AttemptInFlight) -> Option<Duration> {
        match self.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::IdempotencyKey { window, .. } => Some(attempt.started_at + window),
            Idempotency::NonIdempotent => Some(Duration::ZERO),
        }
    }

    /// Whether the attempt in flight may be written now, before this deadline.
    pub(crate) fn is_before_end(&self, deadline: Duration, now: Duration) -> bool {
        let end = self
            .retry_until
            .map_or(deadline, |retry_until| retry_until.min(deadline));
        now < end
    }

    /// Whether it is finished and no attempt ever reached an endpoint.
    pub(crate) fn finished_unsent(&self) -> bool {
        self.is_finished && !self.may_have_arrived
    }

    /// Whether it may have been executed, or may still be by the attempt in flight.
    pub(crate) fn may_execute(&self) -> bool {
        self.may_have_executed || self.in_flight.is_some()
    }
}
