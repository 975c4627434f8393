//! Figures of the events, and the run of a fleet.

use crate::scale::report::SizeSeries;
use crate::scale::simulated_ingress::{
    Demand, RequestLoad, SimulatedEnvironment, SimulatedFleet, SimulatedIngress, Traffic,
};
use crate::scale::targets;
use std::time::Duration;

/// Virtual time for which one ingress runs before the others follow.
const STEP: Duration = Duration::from_millis(100);
/// The requests of one ingress at the peak.
pub(super) const PEAK_LOAD: RequestLoad = RequestLoad {
    rate: targets::REQUESTS_PER_INGRESS,
    tenants: targets::TENANTS,
    demand: Demand::ByServers,
};

/// The figures of all events, in the order in which they were first added.
#[derive(Default)]
pub(super) struct Figures(pub Vec<SizeSeries>);

impl Figures {
    /// Adds a value that was measured.
    pub(super) fn measured(&mut self, quantity: &str, unit: &str, size: usize, value: f64) {
        self.add(SizeSeries::measured(quantity, unit), size, value);
    }

    /// Adds a value that was calculated.
    pub(super) fn derived(&mut self, quantity: &str, unit: &str, size: usize, value: f64) {
        self.add(SizeSeries::derived(quantity, unit), size, value);
    }

    fn add(&mut self, empty: SizeSeries, size: usize, value: f64) {
        let mut existing = self.0.iter_mut();
        match existing.find(|series| series.quantity == empty.quantity) {
            Some(series) => series.push(size, &[value]),
            None => {
                let mut series = empty;
                series.push(size, &[value]);
                self.0.push(series);
            }
        }
    }
}

/// Runs all ingresses in step to a virtual time; the traffic meanwhile.
pub(super) fn run_until(
    fleet: &mut SimulatedFleet,
    until: Duration,
    load: RequestLoad,
    environment: &mut SimulatedEnvironment,
) -> Traffic {
    fleet.reset_traffic();
    let mut now = fleet.ingresses.first().map_or(until, SimulatedIngress::now);
    while now < until {
        now += STEP;
        fleet.run(now, load, environment);
    }
    fleet.traffic()
}

/// Bytes of a line of a watch, with its end.
pub(super) fn line_bytes(line: &[u8]) -> f64 {
    line.len() as f64 + 1.0
}
