//! The results that a simulated ingress will receive at a later virtual time.

use roseyard_decision::{CounterKey, EndpointId, Outcome};
use roseyard_request_engine::Key;
use std::time::Duration;

/// A result that is passed to the engine when its virtual time has come.
pub(super) enum Pending {
    CounterReply {
        key: CounterKey,
        total: f64,
        called_at: Duration,
    },
    AttemptEnd {
        request: Key,
        attempt: u16,
        outcome: Outcome,
    },
    HealthCheckEnd {
        endpoint: EndpointId,
        outcome: Outcome,
    },
}
