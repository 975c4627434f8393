//! The restart of one ingress, and the restart of all machines of the control plane.

use super::measurement::{line_bytes, Figures, PEAK_LOAD};
use crate::scale::endpoint_set::EndpointSet;
use crate::scale::measure::{millis, timed};
use crate::scale::run_options::RunOptions;
use crate::scale::simulated_ingress::{SimulatedEnvironment, SimulatedIngress};
use crate::scale::{list, targets};
use std::sync::Arc;
use std::time::Duration;

/// Measures an ingress that starts without endpoints and receives the complete list.
pub(super) fn ingress(options: &RunOptions, size: usize, figures: &mut Figures) {
    let endpoints = Arc::new(EndpointSet::new(targets::SERVERS, options.services));
    let line = endpoints.complete_list();
    let mut environment = SimulatedEnvironment::new(options.seed);
    let (mut ingress, took) = timed(|| {
        let mut ingress = SimulatedIngress::new(&endpoints, targets::INGRESSES, 0, options.seed);
        ingress.receive_line(&line, &mut environment);
        ingress
    });
    ingress.run(Duration::from_secs(1), Some(PEAK_LOAD), &mut environment);
    let quantity = "restart: bytes of the complete list";
    figures.measured(quantity, "bytes", size, line_bytes(&line));
    let quantity = "restart: processor time until the list is applied";
    figures.measured(quantity, "ms", size, millis(took));
    let quantity = "restart: requests not served in the first second";
    figures.measured(quantity, "%", size, ingress.traffic.not_served_percent());
}

/// Calculates the load on discovery after all machines of the control plane have restarted and
/// every ingress opens its watch again.
pub(super) fn control(sizes: &[usize], figures: &mut Figures) {
    let max_backoff = list::limits().driver.discovery.max_backoff_rejected;
    // The delay is uniformly distributed between half of the backoff and the complete backoff.
    let mean_backoff = max_backoff.mul_f64(0.75);
    let calls = targets::INGRESSES as f64 / mean_backoff.as_secs_f64();
    let list = EndpointSet::single(targets::SERVERS).complete_list();
    let bytes = (list.len() + 1) as f64 * targets::INGRESSES as f64;
    for &size in sizes {
        let quantity = "restart of the control plane: watches reopened by 4,300 ingresses";
        figures.derived(quantity, "calls/s", size, calls);
        let quantity = "restart of the control plane: bytes of complete lists to 4,300 ingresses";
        figures.derived(quantity, "bytes", size, bytes);
    }
}
