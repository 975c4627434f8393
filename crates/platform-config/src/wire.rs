//! The structure of the platform's JSON settings. Fields have the platform's names and units.
//!
//! The type names are part of the decoder's error messages.

use crate::error::PlatformConfigError;
use serde::de::DeserializeOwned;
use serde::Deserialize;

/// Decodes JSON in place, which overwrites `text`. Unknown keys are ignored. An error contains the
/// path of the field, such as `Classes[0].TargetMs`.
pub fn decode<T: DeserializeOwned>(text: &mut [u8]) -> Result<T, PlatformConfigError> {
    let mut deserializer = simd_json::Deserializer::from_slice(text)?;
    Ok(serde_path_to_error::deserialize(&mut deserializer)?)
}

/// The platform's settings for an ingress. They are decoded, but their values are not validated.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PlatformSettings {
    pub(crate) az: u16,
    pub(crate) balancers: u32,
    pub(crate) ceilings: Ceilings,
    pub(crate) classes: Vec<WireClass>,
    pub(crate) discovery: String,
    pub(crate) domain: Domain,
    #[serde(default)]
    pub(crate) failure_domains: Vec<String>,
    pub(crate) granularity_ms: f64,
    pub(crate) guarantees: WireGuarantees,
    pub(crate) me: u32,
    pub(crate) report: Report,
    pub(crate) tiers_of_service: Vec<WirePlan>,
}

/// The limits of an ingress, and the measures that it may take.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Ceilings {
    pub(crate) cancel: bool,
    #[serde(default)]
    pub(crate) conn_idle_ms: f64,
    #[serde(default)]
    pub(crate) connect_timeout_ms: f64,
    pub(crate) max_attempts: u32,
    #[serde(default)]
    pub(crate) max_open: usize,
    pub(crate) max_retry_after_ms: f64,
    pub(crate) may_duplicate: bool,
    pub(crate) probes: bool,
    pub(crate) retry_after: bool,
}

/// A request class with its latency objective, deadline, value and idempotency.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct WireClass {
    #[serde(default)]
    pub(crate) aim_stretch: f64,
    pub(crate) deadline_ms: f64,
    pub(crate) effect: String,
    /// Present only if `effect` is `idempotency_key`.
    #[serde(default)]
    pub(crate) group: Option<String>,
    pub(crate) late_worth: f64,
    #[serde(default)]
    pub(crate) name: String,
    pub(crate) stream: bool,
    pub(crate) target_ms: f64,
    /// Present only if `effect` is `idempotency_key`.
    #[serde(default)]
    pub(crate) window_ms: Option<f64>,
    pub(crate) worth: f64,
}

/// The properties of quotas and of the counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Domain {
    pub(crate) counter_timeout_ms: f64,
    #[serde(default)]
    pub(crate) most_units: f64,
    #[serde(default)]
    pub(crate) post_paid: bool,
    pub(crate) shared_counter: bool,
}

/// The behaviour of endpoints that the platform guarantees.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct WireGuarantees {
    pub(crate) start_capacity: f64,
    pub(crate) stop_sending_within_ms: f64,
    pub(crate) tip_after_ms: f64,
    pub(crate) tip_multiple: f64,
    pub(crate) warm_within_ms: f64,
}

/// The content of load reports and the way in which endpoints send them.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Report {
    pub(crate) fields: Vec<String>,
    pub(crate) via: String,
}

/// The plan of a customer, with its quota.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct WirePlan {
    pub(crate) beyond_costs: f64,
    pub(crate) cap_depth: f64,
    pub(crate) cap_slack: f64,
    pub(crate) excess_worth: f64,
    pub(crate) max_out: u32,
    pub(crate) most_at_once: f64,
    #[serde(default)]
    pub(crate) name: String,
    pub(crate) never_over_rate: f64,
    pub(crate) rate: f64,
    pub(crate) value_factor: f64,
}
