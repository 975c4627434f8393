//! The rules that a history can violate.

use std::fmt;
use std::time::Duration;

/// A rule that a history can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rule {
    /// A request id is used once.
    #[error("asked twice under one id")]
    DuplicateId,
    /// Attempts and responses belong to a request.
    #[error("nobody asked for it")]
    UnknownRequest,
    /// A request has at most one final response.
    #[error("a second final answer")]
    SecondResponse,
    /// A served request was executed.
    #[error("served, and no form server answered it")]
    ServedWithoutExecution,
    /// A rejected request that is not idempotent was not executed.
    #[error("refused after it may have run")]
    RejectedAfterExecution,
    /// A request has a final response unless a fault excuses it.
    #[error("no final answer")]
    NoResponse,
    /// A served request has the value that its form server returned.
    #[error("answered with another value")]
    WrongValue,
    /// A connection with a request that was forwarded is not closed without a response.
    #[error("its connection was closed without an answer after it was sent on")]
    ClosedAfterForward,
    /// A request that is not idempotent has one attempt.
    #[error("sent on again, and it must not run twice")]
    NonIdempotentRetry,
    /// No attempt begins after the request was served.
    #[error("sent on after it was served")]
    AttemptAfterResponse,
    /// A request has at most one attempt in flight.
    #[error("two attempts out at once")]
    ConcurrentAttempts,
    /// The history does not end before the final response.
    #[error("no final answer by the end")]
    NoResponseByEnd,
}

/// A violated rule, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The request.
    pub id: u64,
    /// Time since the history began; none at the history's end.
    pub at: Option<Duration>,
    /// The rule.
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
