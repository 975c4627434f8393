//! Results that a simulated ingress waits for.

use roseyard_decision::{CounterKey, EndpointId, Outcome};
use roseyard_request_engine::Key;
use std::time::Duration;

/// What an ingress waits for.
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
