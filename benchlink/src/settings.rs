//! The settings text of an instance, mapped to the library's settings. Unknown keys are ignored.

use roseyard::{Class, Counter, DedupGroup, Discovery, Effect, Guarantees, Limits, Plan, Settings};
use serde::Deserialize;
use std::time::Duration;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Options {
    az: u16,
    balancers: u32,
    ceilings: Ceilings,
    classes: Vec<WireClass>,
    discovery: String,
    domain: Domain,
    granularity_ms: f64,
    guarantees: WireGuarantees,
    report: Report,
    tiers_of_service: Vec<WirePlan>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Ceilings {
    cancel: bool,
    max_attempts: u32,
    max_retry_after_ms: f64,
    may_duplicate: bool,
    probes: bool,
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireClass {
    #[serde(default)]
    aim_stretch: f64,
    deadline_ms: f64,
    effect: String,
    group: String,
    late_worth: f64,
    stream: bool,
    target_ms: f64,
    window_ms: f64,
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Domain {
    counter_timeout_ms: f64,
    metering_ms: f64,
    shared_counter: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireGuarantees {
    start_capacity: f64,
    stop_sending_within_ms: f64,
    tip_after_ms: f64,
    tip_multiple: f64,
    warm_within_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Report {
    fields: Vec<String>,
    via: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WirePlan {
    beyond_costs: f64,
    cap_depth: f64,
    cap_slack: f64,
    excess_worth: f64,
    max_out: u32,
    most_at_once: f64,
    never_over_rate: f64,
    rate: f64,
    value_factor: f64,
}

/// Milliseconds of the wire as a duration, on its grid of microseconds; what is not a time reads as none.
pub fn ms(value: f64) -> Duration {
    if !value.is_finite() || value <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_micros((value * 1000.0).round().min(1e15) as u64)
}

fn required(name: &str, value: f64) -> Result<Duration, String> {
    if value.is_finite() && value > 0.0 {
        Ok(ms(value))
    } else {
        Err(format!("{name}: {value} is not a time"))
    }
}

fn class(c: &WireClass) -> Result<Class, String> {
    let group = match c.group.as_str() {
        "all" => DedupGroup::All,
        "zone" => DedupGroup::Zone,
        "cell" => DedupGroup::Cell,
        other => return Err(format!("Classes[].Group: unknown value '{other}'")),
    };
    let effect = match c.effect.as_str() {
        "read_like" => Effect::Safe,
        "idempotency_key" => Effect::Keyed { group, window: required("Classes[].WindowMs", c.window_ms)? },
        "non_idempotent" => Effect::Unsafe,
        other => return Err(format!("Classes[].Effect: unknown value '{other}'")),
    };
    Ok(Class {
        aim: required("Classes[].TargetMs", c.target_ms)?,
        aim_stretch: c.aim_stretch,
        deadline: required("Classes[].DeadlineMs", c.deadline_ms)?,
        worth: c.worth,
        late_worth: c.late_worth,
        effect,
        streamed: c.stream,
    })
}

/// Parses the settings; also gives the names of the load report's fields.
pub fn parse(text: &[u8]) -> Result<(Settings, Vec<String>), String> {
    let o: Options = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let discovery = match o.discovery.as_str() {
        "automatic" => Discovery::Push,
        "subscribe" => Discovery::Ask,
        other => return Err(format!("Discovery: unknown value '{other}'")),
    };
    let counter = match o.domain.shared_counter {
        true => Some(Counter { timeout: required("Domain.CounterTimeoutMs", o.domain.counter_timeout_ms)? }),
        false => None,
    };
    let plan = |p: &WirePlan| Plan {
        rate: p.rate,
        burst: p.most_at_once,
        max_open: p.max_out,
        ceiling_rate: p.never_over_rate,
        ceiling_burst: p.cap_depth,
        ceiling_slack: p.cap_slack,
        price: p.value_factor,
        excess_worth: p.excess_worth,
        excess_cost: p.beyond_costs,
    };
    let settings = Settings {
        gateways: o.balancers,
        zone: o.az,
        tick: ms(o.granularity_ms),
        classes: o.classes.iter().map(class).collect::<Result<_, _>>()?,
        plans: o.tiers_of_service.iter().map(plan).collect(),
        counter,
        meter_period: (o.domain.metering_ms > 0.0).then(|| ms(o.domain.metering_ms)),
        reports_on_probe: o.report.via == "on_probe",
        discovery,
        limits: Limits {
            max_attempts: o.ceilings.max_attempts,
            cancel: o.ceilings.cancel,
            duplicates: o.ceilings.may_duplicate,
            probes: o.ceilings.probes,
            retry_advice: o.ceilings.retry_after,
            max_retry_advice: ms(o.ceilings.max_retry_after_ms),
        },
        guarantees: Guarantees {
            cold_share: o.guarantees.start_capacity,
            warm_within: ms(o.guarantees.warm_within_ms),
            tip_multiple: o.guarantees.tip_multiple,
            tip_after: ms(o.guarantees.tip_after_ms),
            drain_grace: ms(o.guarantees.stop_sending_within_ms),
        },
    };
    Ok((settings, o.report.fields))
}
