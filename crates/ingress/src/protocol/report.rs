//! Parses load reports such as `inflight=7,queue=2,util=0.61` and usage figures such as
//! `used=37,cost=4`.
//!
//! This module alone knows the platform's names of these fields.

use roseyard_decision::LoadReport;
use std::time::Duration;

/// Parses a load report. Skips unknown fields and values that are not finite numbers of at least 0.
/// Returns `None` if no field remains.
pub fn parse_load_report(text: &[u8]) -> Option<LoadReport> {
    let text = std::str::from_utf8(text).ok()?;
    let mut load = LoadReport::default();
    let fields = text
        .split(',')
        .filter_map(|item| item.trim().split_once('='));
    for (name, value) in fields {
        let Some(value) = non_negative(value) else {
            continue;
        };
        match name {
            "inflight" | "busy_reqs" => load.in_flight = Some(value),
            "queue" | "pending" => load.queued = Some(value),
            "util" | "cpu_share" => load.utilisation = Some(value),
            "latency_ms" | "svc_ms" => {
                load.service_time = Duration::try_from_secs_f64(value / 1000.0).ok();
            }
            _ => {}
        }
    }
    (load != LoadReport::default()).then_some(load)
}

fn non_negative(text: &str) -> Option<f64> {
    let number = text.parse::<f64>().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Parses the units that a request actually used (`cost`) from a reply's usage figures. Returns
/// `None` if `cost` is missing, occurs twice, or is not above 0 and at most `max_units`; the caller
/// then uses the estimate.
pub fn parse_true_units(figures: &[u8], max_units: f64) -> Option<f64> {
    let text = std::str::from_utf8(figures).ok()?;
    let mut costs = text
        .split(',')
        .filter_map(|item| item.trim().strip_prefix("cost="));
    let first = costs.next()?;
    if costs.next().is_some() {
        return None;
    }
    let units = first.parse::<f64>().ok()?;
    (units > 0.0 && units <= max_units).then_some(units)
}
