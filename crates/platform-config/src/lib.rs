//! The settings that a platform hands an ingress, decoded once for every embedder of the module:
//! the bench's adapter receives them as a text of their own, the real ingress inside its
//! configuration. Unknown keys are ignored.

use roseyard_decision::{
    CounterSettings, DeduplicationScope, DiscoveryMode, EndpointLimits, Idempotency, Permissions,
    Plan, RequestClass, Settings,
};
use serde::Deserialize;
use std::time::Duration;

/// The settings as the platform words them.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PlatformSettings {
    az: u16,
    balancers: u32,
    ceilings: Ceilings,
    classes: Vec<WireClass>,
    discovery: String,
    domain: Domain,
    #[serde(default)]
    failure_domains: Vec<String>,
    granularity_ms: f64,
    guarantees: WireGuarantees,
    me: u32,
    report: Report,
    tiers_of_service: Vec<WirePlan>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Ceilings {
    cancel: bool,
    #[serde(default)]
    conn_idle_ms: f64,
    #[serde(default)]
    connect_timeout_ms: f64,
    max_attempts: u32,
    #[serde(default)]
    max_open: usize,
    max_retry_after_ms: f64,
    may_duplicate: bool,
    probes: bool,
    retry_after: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireClass {
    #[serde(default)]
    aim_stretch: f64,
    deadline_ms: f64,
    effect: String,
    /// Of keyed classes alone.
    #[serde(default)]
    group: Option<String>,
    late_worth: f64,
    #[serde(default)]
    name: String,
    stream: bool,
    target_ms: f64,
    /// Of keyed classes alone.
    #[serde(default)]
    window_ms: Option<f64>,
    worth: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Domain {
    counter_timeout_ms: f64,
    #[serde(default)]
    most_units: f64,
    #[serde(default)]
    post_paid: bool,
    shared_counter: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireGuarantees {
    start_capacity: f64,
    stop_sending_within_ms: f64,
    tip_after_ms: f64,
    tip_multiple: f64,
    warm_within_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Report {
    fields: Vec<String>,
    via: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WirePlan {
    beyond_costs: f64,
    cap_depth: f64,
    cap_slack: f64,
    excess_worth: f64,
    max_out: u32,
    most_at_once: f64,
    #[serde(default)]
    name: String,
    never_over_rate: f64,
    rate: f64,
    value_factor: f64,
}

/// Decodes JSON, in place. An error names the field, such as `Classes[0].TargetMs`.
pub fn decode<T: serde::de::DeserializeOwned>(text: &mut [u8]) -> Result<T, String> {
    let mut from = simd_json::Deserializer::from_slice(text).map_err(|e| e.to_string())?;
    serde_path_to_error::deserialize(&mut from).map_err(|e| e.to_string())
}

/// Milliseconds of the wire as a duration, on its grid of microseconds; what is not a time reads as
/// none.
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

fn class(c: &WireClass) -> Result<RequestClass, String> {
    let group = || match c.group.as_deref().unwrap_or_default() {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(format!(
            "Classes[].Group: unknown value '{other}', expected 'all', 'zone' or 'cell'"
        )),
    };
    let effect = match c.effect.as_str() {
        "read_like" => Idempotency::Idempotent,
        "idempotency_key" => Idempotency::IdempotencyKey {
            group: group()?,
            window: required("Classes[].WindowMs", c.window_ms.unwrap_or_default())?,
        },
        "non_idempotent" => Idempotency::NonIdempotent,
        other => {
            let known = "'read_like', 'idempotency_key' or 'non_idempotent'";
            return Err(format!(
                "Classes[].Effect: unknown value '{other}', expected {known}"
            ));
        }
    };
    Ok(RequestClass {
        latency_objective: required("Classes[].TargetMs", c.target_ms)?,
        objective_per_work: c.aim_stretch,
        deadline: required("Classes[].DeadlineMs", c.deadline_ms)?,
        priority_weight: c.worth,
        late_weight_ratio: c.late_worth,
        idempotency: effect,
        streamed: c.stream,
    })
}

impl PlatformSettings {
    /// Decodes the settings' text.
    pub fn parse(text: &[u8]) -> Result<PlatformSettings, String> {
        decode(&mut text.to_vec())
    }

    /// Names of the values in a load report, in their order.
    pub fn report_fields(&self) -> &[String] {
        &self.report.fields
    }

    /// Names of the request classes, by index.
    pub fn class_names(&self) -> Vec<&str> {
        self.classes.iter().map(|c| c.name.as_str()).collect()
    }

    /// Names of the plans, by index.
    pub fn plan_names(&self) -> Vec<&str> {
        self.tiers_of_service
            .iter()
            .map(|p| p.name.as_str())
            .collect()
    }

    /// Names of the zones, by index.
    pub fn zone_names(&self) -> &[String] {
        &self.failure_domains
    }

    /// Servers close idle connections after this long; none where the settings say nothing.
    pub fn idle_connection(&self) -> Option<Duration> {
        Some(ms(self.ceilings.conn_idle_ms)).filter(|d| !d.is_zero())
    }

    /// Does an agent beside the ingress hold what discovery has pushed, and answer at once? Else
    /// each call is a load on discovery itself, and may wait there.
    pub fn pushed(&self) -> bool {
        self.discovery == "automatic"
    }

    /// Sends to a server that was told draining or gone end within this.
    pub fn drain_grace(&self) -> Duration {
        ms(self.guarantees.stop_sending_within_ms)
    }

    /// A connection that is not up by then has failed.
    pub fn connect_timeout(&self) -> Option<Duration> {
        Some(ms(self.ceilings.connect_timeout_ms)).filter(|d| !d.is_zero())
    }

    /// The most units that a request counts; none where the settings say nothing.
    pub fn most_units(&self) -> Option<f64> {
        Some(self.domain.most_units).filter(|n| *n > 0.0)
    }

    /// Are a request's units only a guess, which the answer puts right?
    pub fn post_paid(&self) -> bool {
        self.domain.post_paid
    }

    /// Ingresses in this tier.
    pub fn ingresses(&self) -> u32 {
        self.balancers
    }

    /// The longest time that a client waits.
    pub fn longest_deadline(&self) -> Duration {
        self.classes
            .iter()
            .map(|c| ms(c.deadline_ms))
            .max()
            .unwrap_or_default()
    }

    /// Most requests held open at once.
    pub fn max_open(&self) -> Option<usize> {
        Some(self.ceilings.max_open).filter(|n| *n > 0)
    }

    /// The module's settings.
    pub fn settings(&self) -> Result<Settings, String> {
        let o = self;
        let discovery = match o.discovery.as_str() {
            "automatic" => DiscoveryMode::Push,
            "subscribe" => DiscoveryMode::Poll,
            other => return Err(format!("Discovery: unknown value '{other}'")),
        };
        let counter = match o.domain.shared_counter {
            true => Some(CounterSettings {
                timeout: required("Domain.CounterTimeoutMs", o.domain.counter_timeout_ms)?,
            }),
            false => None,
        };
        let plan = |p: &WirePlan| Plan {
            rate: p.rate,
            burst: p.most_at_once,
            max_concurrent: p.max_out,
            ceiling_rate: p.never_over_rate,
            ceiling_burst: p.cap_depth,
            ceiling_slack: p.cap_slack,
            priority_factor: p.value_factor,
            over_quota_weight_ratio: p.excess_worth,
            over_quota_cost: p.beyond_costs,
        };
        let settings = Settings {
            ingress_count: o.balancers,
            ingress_index: o.me,
            zone: o.az,
            tick: ms(o.granularity_ms),
            classes: o.classes.iter().map(class).collect::<Result<_, _>>()?,
            plans: o.tiers_of_service.iter().map(plan).collect(),
            counter,
            // What a server's cores do says nothing of what it holds: such reports are worth no
            // probe.
            load_reports_on_health_check: o.report.via == "on_probe"
                && o.report
                    .fields
                    .iter()
                    .any(|f| f == "busy_reqs" || f == "pending"),
            discovery,
            permissions: Permissions {
                max_attempts: o.ceilings.max_attempts,
                cancel: o.ceilings.cancel,
                hedging: o.ceilings.may_duplicate,
                health_checks: o.ceilings.probes,
                retry_after: o.ceilings.retry_after,
                max_retry_after: ms(o.ceilings.max_retry_after_ms),
            },
            endpoint_limits: EndpointLimits {
                initial_capacity_ratio: o.guarantees.start_capacity,
                warm_up_duration: ms(o.guarantees.warm_within_ms),
                overload_multiple: o.guarantees.tip_multiple,
                overload_window: ms(o.guarantees.tip_after_ms),
                drain_grace: self.drain_grace(),
            },
        };
        Ok(settings)
    }
}
