//! Converts the platform's settings to those of the decision module. No other module knows the
//! names of both.

use crate::duration::duration_from_ms;
use crate::error::PlatformConfigError;
use crate::wire::{Ceilings, PlatformSettings, Report, WireClass, WireGuarantees, WirePlan};
use roseyard_decision::{
    CounterSettings, DeduplicationScope, DiscoveryMode, EndpointLimits, Idempotency, Permissions,
    Plan, RequestClass, Settings,
};
use std::time::Duration;

/// The value of `Discovery` if discovery pushes changes to an agent next to the ingress.
pub(crate) const PUSH_DISCOVERY: &str = "automatic";
/// The value of `Discovery` if the ingress polls discovery.
const POLL_DISCOVERY: &str = "subscribe";
/// The value of `Report.Via` if load reports are part of the replies to health checks.
const REPORT_ON_HEALTH_CHECK: &str = "on_probe";
/// The fields of a load report that state how many requests an endpoint is processing or has
/// queued.
const REQUEST_COUNT_FIELDS: [&str; 2] = ["busy_reqs", "pending"];

pub(crate) fn decision_settings(
    platform: &PlatformSettings,
) -> Result<Settings, PlatformConfigError> {
    let discovery = discovery_mode(&platform.discovery)?;
    let counter = counter(platform)?;
    let classes = platform
        .classes
        .iter()
        .map(request_class)
        .collect::<Result<_, _>>()?;
    Ok(Settings {
        ingress_count: platform.balancers,
        ingress_index: platform.me,
        zone: platform.az,
        tick: duration_from_ms(platform.granularity_ms),
        classes,
        plans: platform.tiers_of_service.iter().map(plan).collect(),
        counter,
        load_reports_on_health_check: load_reports_on_health_check(&platform.report),
        discovery,
        permissions: permissions(&platform.ceilings),
        endpoint_limits: endpoint_limits(&platform.guarantees),
    })
}

fn discovery_mode(name: &str) -> Result<DiscoveryMode, PlatformConfigError> {
    match name {
        PUSH_DISCOVERY => Ok(DiscoveryMode::Push),
        POLL_DISCOVERY => Ok(DiscoveryMode::Subscription),
        other => Err(PlatformConfigError::UnknownDiscovery {
            value: other.to_owned(),
        }),
    }
}

fn counter(platform: &PlatformSettings) -> Result<Option<CounterSettings>, PlatformConfigError> {
    if !platform.domain.shared_counter {
        return Ok(None);
    }
    let timeout = required_duration(
        "Domain.CounterTimeoutMs",
        platform.domain.counter_timeout_ms,
    )?;
    Ok(Some(CounterSettings { timeout }))
}

fn request_class(class: &WireClass) -> Result<RequestClass, PlatformConfigError> {
    let idempotency = idempotency(class)?;
    Ok(RequestClass {
        latency_objective: required_duration("Classes[].TargetMs", class.target_ms)?,
        objective_work_factor: class.aim_stretch,
        deadline: required_duration("Classes[].DeadlineMs", class.deadline_ms)?,
        priority_weight: class.worth,
        late_weight_ratio: class.late_worth,
        idempotency,
        streamed: class.stream,
    })
}

fn idempotency(class: &WireClass) -> Result<Idempotency, PlatformConfigError> {
    match class.effect.as_str() {
        "read_like" => Ok(Idempotency::Idempotent),
        "idempotency_key" => Ok(Idempotency::IdempotencyKey {
            scope: deduplication_scope(class.group.as_deref().unwrap_or_default())?,
            window: required_duration("Classes[].WindowMs", class.window_ms.unwrap_or_default())?,
        }),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        other => Err(PlatformConfigError::UnknownValue {
            field: "Classes[].Effect",
            value: other.to_owned(),
            expected: "'read_like', 'idempotency_key' or 'non_idempotent'",
        }),
    }
}

fn deduplication_scope(name: &str) -> Result<DeduplicationScope, PlatformConfigError> {
    match name {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(PlatformConfigError::UnknownValue {
            field: "Classes[].Group",
            value: other.to_owned(),
            expected: "'all', 'zone' or 'cell'",
        }),
    }
}

fn plan(plan: &WirePlan) -> Plan {
    Plan {
        rate: plan.rate,
        burst: plan.most_at_once,
        max_concurrent: plan.max_out,
        ceiling_rate: plan.never_over_rate,
        ceiling_burst: plan.cap_depth,
        ceiling_slack: plan.cap_slack,
        priority_factor: plan.value_factor,
        over_quota_weight_ratio: plan.excess_worth,
        over_quota_cost: plan.beyond_costs,
    }
}

/// Whether load reports are received with health checks and are useful to the decision module. They
/// are only useful if they state the number of requests of the endpoint; CPU utilisation is not
/// sufficient.
fn load_reports_on_health_check(report: &Report) -> bool {
    let has_request_count = report
        .fields
        .iter()
        .any(|field| REQUEST_COUNT_FIELDS.contains(&field.as_str()));
    report.via == REPORT_ON_HEALTH_CHECK && has_request_count
}

fn permissions(ceilings: &Ceilings) -> Permissions {
    Permissions {
        max_attempts: ceilings.max_attempts,
        cancel: ceilings.cancel,
        hedging: ceilings.may_duplicate,
        health_checks: ceilings.probes,
        retry_after: ceilings.retry_after,
        max_retry_after: duration_from_ms(ceilings.max_retry_after_ms),
    }
}

fn endpoint_limits(guarantees: &WireGuarantees) -> EndpointLimits {
    EndpointLimits {
        initial_capacity_ratio: guarantees.start_capacity,
        warm_up_duration: duration_from_ms(guarantees.warm_within_ms),
        overload_multiple: guarantees.tip_multiple,
        overload_window: duration_from_ms(guarantees.tip_after_ms),
        drain_grace: duration_from_ms(guarantees.stop_sending_within_ms),
    }
}

/// Converts milliseconds to a duration, or returns an error if the value is not finite or not above
/// 0.
fn required_duration(
    field: &'static str,
    milliseconds: f64,
) -> Result<Duration, PlatformConfigError> {
    if milliseconds.is_finite() && milliseconds > 0.0 {
        Ok(duration_from_ms(milliseconds))
    } else {
        Err(PlatformConfigError::InvalidDuration {
            field,
            value: milliseconds,
        })
    }
}
