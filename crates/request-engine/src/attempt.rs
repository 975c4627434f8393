//! The attempts of a request and their results.

use roseyard_decision::{EndpointId, LoadReport, Outcome};
use std::time::Duration;

/// The result of an attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult<V> {
    /// Whether the attempt succeeded, or how it failed.
    pub outcome: Outcome,
    /// The value that the endpoint returned; `None` if the attempt failed.
    pub value: Option<V>,
    /// The units that the request actually used; `None` if the reply does not state them. They
    /// replace the submitted units where those were an estimate.
    pub true_units: Option<f64>,
    /// The load report in the reply; `None` if the reply has none.
    pub load: Option<LoadReport>,
}

impl<V> AttemptResult<V> {
    /// Returns a result with this outcome and without a value, units or a load report.
    pub fn from_outcome(outcome: Outcome) -> AttemptResult<V> {
        AttemptResult {
            outcome,
            value: None,
            true_units: None,
            load: None,
        }
    }
}

/// The attempt of a request that is in flight.
#[derive(Clone, Copy)]
pub(crate) struct AttemptInFlight {
    pub(crate) number: u16,
    pub(crate) endpoint: EndpointId,
    pub(crate) started_at: Duration,
}

/// Whether an endpoint may have executed the request, given the outcome of an attempt.
pub(crate) fn may_have_executed(outcome: Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::ConnectFailed | Outcome::Overloaded | Outcome::NotStarted
    )
}

/// Whether the request may have reached an endpoint, given the outcome of an attempt. An overloaded
/// endpoint has received the request, although it has not executed it.
pub(crate) fn may_have_arrived(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::ConnectFailed | Outcome::NotStarted)
}
