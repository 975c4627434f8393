//! The state of an open request.

use crate::attempt::{may_have_arrived, may_have_executed, AttemptInFlight};
use crate::slots::Key;
use roseyard_decision::{EndpointId, Idempotency, Outcome};
use std::time::Duration;

/// A request that has no final response yet, or whose last attempt is still in flight.
pub(crate) struct Request<O, C> {
    /// The recipient of the response; `None` after the response was delivered or the owner has
    /// disconnected.
    pub(crate) owner: Option<O>,
    pub(crate) command: C,
    /// The size of the request, counted towards
    /// [`EngineLimits::bytes`](crate::EngineLimits::bytes).
    pub(crate) bytes: usize,
    /// Whether the request may be executed more than once, which depends on its class.
    pub(crate) idempotency: Idempotency,
    pub(crate) in_flight: Option<AttemptInFlight>,
    /// The driver's key of the connection that carries the attempt in flight, if the driver has set
    /// one.
    pub(crate) connection: Option<Key>,
    /// The number of attempts that have been started.
    attempts: u16,
    /// Whether an attempt that has ended may have reached an endpoint.
    may_have_arrived: bool,
    /// Whether an attempt that has ended may have been executed.
    may_have_executed: bool,
    /// The time after which a retry could execute the request a second time. `None` if there is no
    /// such time, because no attempt can have been executed or the request is idempotent.
    retry_deadline: Option<Duration>,
    /// Whether the request has its final response or its owner has disconnected.
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
            retry_deadline: None,
            is_finished: false,
        }
    }

    /// Starts the next attempt and returns its number; `None` if an attempt is already in flight.
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

    /// Ends the attempt with this number and returns it; `None` if it is not in flight.
    pub(crate) fn end_attempt(&mut self, number: u16, outcome: Outcome) -> Option<AttemptInFlight> {
        let attempt = self.in_flight.take_if(|attempt| attempt.number == number)?;
        self.connection = None;
        if may_have_executed(outcome) {
            self.may_have_executed = true;
            self.retry_deadline = self.retry_deadline.or(self.retry_deadline_after(&attempt));
        }
        self.may_have_arrived |= may_have_arrived(outcome);
        Some(attempt)
    }

    /// Returns the time until which retries are allowed after this attempt may have been executed;
    /// `None` if there is no limit.
    fn retry_deadline_after(&self, attempt: &AttemptInFlight) -> Option<Duration> {
        match self.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::IdempotencyKey { window, .. } => Some(attempt.started_at + window),
            Idempotency::NonIdempotent => Some(Duration::ZERO),
        }
    }

    /// Whether neither the deadline nor the retry deadline has passed.
    pub(crate) fn is_before_deadlines(&self, deadline: Duration, now: Duration) -> bool {
        let end = self
            .retry_deadline
            .map_or(deadline, |retry_deadline| retry_deadline.min(deadline));
        now < end
    }

    /// Whether the request is finished and certainly never reached an endpoint.
    pub(crate) fn is_finished_unsent(&self) -> bool {
        self.is_finished && !self.may_have_arrived
    }

    /// Whether the request may have been executed, or may still be executed by the attempt in
    /// flight.
    pub(crate) fn may_be_executed(&self) -> bool {
        self.may_have_executed || self.in_flight.is_some()
    }
}
