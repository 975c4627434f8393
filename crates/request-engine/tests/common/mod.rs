//! Settings that the tests of the engine share.
#![allow(dead_code)]

use roseyard_decision::*;
use std::time::Duration;

/// The time for which endpoints recognise a repeated request by its idempotency key.
pub(crate) const IDEMPOTENCY_WINDOW: Duration = Duration::from_secs(8);

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: ms(1000),
        objective_work_factor: 0.0,
        deadline: ms(4000),
        priority_weight: 1.0,
        late_weight_ratio: 0.1,
        idempotency,
        streamed: false,
    }
}

/// Returns settings with three classes: 0 is idempotent, 1 has an idempotency key with the scope of
/// a cell, and 2 is non-idempotent.
pub(crate) fn settings() -> Settings {
    let keyed = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
        window: IDEMPOTENCY_WINDOW,
    };
    Settings {
        ingress_count: 2,
        ingress_index: 0,
        zone: 0,
        tick: ms(1),
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![Plan {
            rate: 20.0,
            burst: 30.0,
            max_concurrent: 0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            ceiling_slack: 0.0,
            priority_factor: 1.0,
            over_quota_weight_ratio: 0.0,
            over_quota_cost: 1.0,
        }],
        counter: Some(CounterSettings { timeout: ms(50) }),
        load_reports_on_health_check: true,
        discovery: DiscoveryMode::Push,
        // The engine keeps to one attempt in flight even if the platform allows hedging.
        permissions: Permissions {
            max_attempts: 4,
            cancel: true,
            hedging: true,
            health_checks: true,
            retry_after: true,
            max_retry_after: ms(1000),
        },
        endpoint_limits: EndpointLimits {
            initial_capacity_ratio: 0.3,
            warm_up_duration: ms(10_000),
            overload_multiple: 2.0,
            overload_window: ms(2000),
            drain_grace: ms(2000),
        },
    }
}
