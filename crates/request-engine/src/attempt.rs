//! One attempt of a request.

use roseyard_decision::{EndpointId, LoadReport, Outcome};
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult<V> {
    /// Its outcome.
    pub outcome: Outcome,
    /// The value, if it was served.
    pub value: Option<V>,
    /// The request's true units, if the submitted ones were an estimate and the reply has the true
    /// ones.
    pub true_units: Option<f64>,
    /// The load report in the reply.
    pub load: Option<LoadReport>,
}

impl<V> AttemptResult<V> {
    /// A result that has nothing but its outcome.
    pub fn from_outcome(outcome: Outcome) -> AttemptResult<V> {
        AttemptResult {
            outcome,
            value: None,
            true_units: None,
            load: None,
        }
    }
}

/// The attempt that is in flight.
#[derive(Clone, Copy)]
pub(crate) struct AttemptInFlight {
    pub(crate) number: u16,
    pub(crate) endpoint: EndpointId,
    pub(crate) started_at: Duration,
}

/// Whether a request with this outcome may have been executed.
pub(crate) fn may_have_executed(outcome: Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::ConnectFailed | Outcome::Overloaded | Outcome::NotStarted
    )
}

/// Whether a request with this outcome may have reached its endpoint.
pub(crate) fn may_have_arrived(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::ConnectFailed | Outcome::NotStarted)
}
