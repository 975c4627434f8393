//! Load reports: `inflight=7,queue=2,util=0.61`.

use roseyard::LoadReport;
use std::time::Duration;

/// Reads a report; fields that are unknown or no numbers are passed over. None if nothing was found.
pub fn report(text: &[u8]) -> Option<LoadReport> {
    let text = std::str::from_utf8(text).ok()?;
    let mut load = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|item| item.trim().split_once('=')) {
        let Some(value) = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0) else { continue };
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn known_fields_are_read_and_the_rest_is_passed_over() {
        let load = report(b"inflight=7,queue=2,util=0.61,eps=3,odd").unwrap();
        assert_eq!((load.in_flight, load.queued, load.utilisation), (Some(7.0), Some(2.0), Some(0.61)));
        assert_eq!(report(b"cpu_share=0.5").unwrap().utilisation, Some(0.5));
        assert_eq!(report(b"util=nan,queue=-1"), None);
        assert_eq!(report(b"failed"), None);
        assert_eq!(report(b"\xff"), None);
    }
}
