//! The rules that the checker enforces, and their violations.

use std::fmt;
use std::time::Duration;

/// A rule of the service. Its `Display` text describes the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rule {
    /// A request id is used for one request.
    #[error("request id used more than once")]
    DuplicateId,
    /// Attempts and responses belong to a request that a client sent.
    #[error("no client sent a request with this id")]
    UnknownRequest,
    /// A request has at most one final response.
    #[error("a second final response")]
    SecondResponse,
    /// A served request was executed by a form server.
    #[error("served, but no form server executed the request")]
    ServedWithoutExecution,
    /// A request that is not idempotent is not rejected once an attempt has started.
    #[error("rejected although a form server may have executed the request")]
    RejectedAfterAttempt,
    /// A request has a final response unless its ingress was killed or stopped.
    #[error("no final response")]
    NoResponse,
    /// A response that carries a value has the value that belongs to the request.
    #[error("response has the wrong value")]
    WrongValue,
    /// The ingress does not close a connection without a response after it has forwarded the
    /// request.
    #[error("the connection was closed without a response after the request was forwarded")]
    ClosedAfterForward,
    /// A request that is not idempotent is not retried.
    #[error("a request that is not idempotent was forwarded again")]
    NonIdempotentRetry,
    /// No attempt begins after the request was served.
    #[error("forwarded after the request was served")]
    AttemptAfterResponse,
    /// A request has at most one attempt in flight.
    #[error("two attempts in flight at once")]
    ConcurrentAttempts,
    /// A request has a final response before the history ends.
    #[error("no final response by the end")]
    NoResponseByEnd,
}

/// A violation of a rule by one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The id of the request.
    pub id: u64,
    /// The time since the history was created; `None` if the violation was found at its end.
    pub at: Option<Duration>,
    /// The rule that the request violated.
    pub rule: Rule,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.id)?;
        if let Some(at) = self.at {
            write!(f, " at {:.3} s", at.as_secs_f64())?;
        }
        write!(f, ": {}", self.rule)
    }
}
