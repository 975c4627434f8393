//! What a frontend submits.

use roseyard_decision::{CustomerId, IncomingRequest, RequestId, ServiceId};
use std::time::Duration;

/// A request as a frontend submits it. `O` names whom the response is for, `C` is what goes to an
/// endpoint.
///
/// It has the facts of [`IncomingRequest`] and those that the decision module never sees: the
/// owner, the command and its size. It has no id, since the engine assigns one.
#[derive(Clone, Debug)]
pub struct Submission<O, C> {
    /// Whom the response is for.
    pub owner: O,
    /// The service whose endpoints may serve it.
    pub service: ServiceId,
    /// Index of its request class.
    pub class: usize,
    /// Index of its customer's plan.
    pub plan: usize,
    /// Its customer.
    pub customer: CustomerId,
    /// Units that it takes from the customer's quota.
    pub units: f64,
    /// Number of ingresses that the customer's requests may come through.
    pub ingress_count: u32,
    /// Time until the client gives up.
    pub time_left: Duration,
    /// Whether the client marks it as a retry of its own.
    pub is_retry: bool,
    /// What goes to an endpoint.
    pub command: C,
    /// Bytes that holding it costs.
    pub bytes: usize,
}

impl<O, C> Submission<O, C> {
    /// The facts for the decision module, under the id that the engine assigned.
    pub(crate) fn incoming_request(&self, request: RequestId) -> IncomingRequest {
        IncomingRequest {
            request,
            service: self.service,
            class: self.class,
            plan: self.plan,
            customer: self.customer,
            units: self.units,
            ingress_count: self.ingress_count,
            time_left: self.time_left,
            is_retry: self.is_retry,
        }
    }
}

/// The request was not accepted: the engine is at one of its limits, or is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the engine is at its limits or stopped")]
pub struct AtCapacity;
