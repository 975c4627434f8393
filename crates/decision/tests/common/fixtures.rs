//! Settings and endpoint entries that most tests use, with or without changes.

use roseyard_decision::*;
use std::time::Duration;

pub(crate) fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub(crate) fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: ms(500),
        objective_work_factor: 0.0,
        deadline: ms(2000),
        priority_weight: 1.0,
        late_weight_ratio: 0.2,
        idempotency,
        streamed: false,
    }
}

pub(crate) fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        max_concurrent: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        priority_factor: 1.0,
        over_quota_weight_ratio: 0.0,
        over_quota_cost: 1.0,
    }
}

pub(crate) fn ceiling_plan() -> Plan {
    Plan {
        ceiling_rate: 16.0,
        ceiling_burst: 32.0,
        ceiling_slack: 3.2,
        ..plan(10.0, 20.0)
    }
}

/// Returns settings with four classes and three plans. Class 0 is idempotent, class 1 has an
/// idempotency key that is valid in one cell, class 2 is not idempotent, and class 3 has an
/// idempotency key that is valid at all endpoints. Plan 0 has a rate quota, plan 1 a rate quota and
/// a ceiling, and plan 2 a concurrency limit only.
pub(crate) fn settings(ingress_count: u32) -> Settings {
    let with_key = |scope| {
        class(Idempotency::IdempotencyKey {
            scope,
            window: ms(400),
        })
    };
    let concurrency_plan = Plan {
        max_concurrent: 4,
        ..plan(0.0, 0.0)
    };
    Settings {
        ingress_count,
        ingress_index: 0,
        zone: 0,
        tick: ms(1),
        classes: vec![
            class(Idempotency::Idempotent),
            with_key(DeduplicationScope::Cell),
            class(Idempotency::NonIdempotent),
            with_key(DeduplicationScope::All),
        ],
        plans: vec![plan(5.0, 10.0), ceiling_plan(), concurrency_plan],
        counter: Some(CounterSettings { timeout: ms(60) }),
        load_reports_on_health_check: false,
        discovery: DiscoveryMode::Push,
        permissions: Permissions {
            max_attempts: 4,
            cancel: true,
            hedging: true,
            health_checks: false,
            retry_after: true,
            max_retry_after: ms(1000),
        },
        endpoint_limits: EndpointLimits {
            initial_capacity_ratio: 0.25,
            warm_up_duration: ms(10_000),
            overload_multiple: 2.0,
            overload_window: ms(2000),
            drain_grace: ms(500),
        },
    }
}

/// Returns an entry of service 0. Odd and even ids belong to different cells.
pub(crate) fn entry(id: u32, state: EndpointState, started_at: Option<Duration>) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(id),
        service: ServiceId(0),
        zone: 0,
        cell: (id % 2) as u16,
        state,
        weight: 1.0,
        rank: u64::from(id),
        started_at,
    }
}
