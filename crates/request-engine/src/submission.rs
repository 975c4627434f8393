//! The requests that a driver submits to the engine.

use roseyard_decision::{CustomerId, IncomingRequest, RequestId, ServiceId};
use std::time::Duration;

/// A request as the driver submits it. `O` identifies the recipient of the response and `C` is the
/// command that is sent to an endpoint.
///
/// A submission has the fields of [`IncomingRequest`] except for the id, which the engine assigns.
/// It also has fields that the decision module does not use: the owner, the command and its size.
#[derive(Clone, Debug)]
pub struct Submission<O, C> {
    /// The recipient of the response.
    pub owner: O,
    /// The service whose endpoints may serve the request.
    pub service: ServiceId,
    /// The index of the request's class in the settings.
    pub class: usize,
    /// The index of the customer's plan in the settings.
    pub plan: usize,
    /// The customer whose quota the request uses.
    pub customer: CustomerId,
    /// The units that the request takes from the customer's quota, possibly an estimate.
    pub units: f64,
    /// The number of ingresses that receive requests of this customer.
    pub ingress_count: u32,
    /// The time until the client stops waiting for the response.
    pub time_left: Duration,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
    /// The command that is sent to an endpoint.
    pub command: C,
    /// The size of the request, counted towards
    /// [`EngineLimits::bytes`](crate::EngineLimits::bytes).
    pub bytes: usize,
}

impl<O, C> Submission<O, C> {
    /// Returns the request for the decision module, with the id that the engine assigned.
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

/// The request was not accepted because the engine has reached one of its limits or is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the engine has reached one of its limits or is stopped")]
pub struct AtCapacity;
