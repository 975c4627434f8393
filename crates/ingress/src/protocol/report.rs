//! Load reports, `inflight=7,queue=2,util=0.61`, and usage figures, `used=37,cost=4`.
//!
//! The platform's field names are mapped here, and nowhere else.

use roseyard_decision::LoadReport;
use std::time::Duration;

/// Reads a load report. Unknown fields, and values that are no number of 0 or above, are skipped;
/// none if nothing is left.
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

/// Reads the true units of a request (`cost`) from a reply's usage figures. None if they are
/// missing, stand there twice, or are not above 0 and at most `max_units`: the estimate then holds.
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
