//! The measured quantities of the events, and running a fleet in virtual time.

use crate::scale::report::SizeSeries;
use crate::scale::simulated_ingress::{
    Demand, RequestLoad, SimulatedEnvironment, SimulatedFleet, SimulatedIngress, Traffic,
};
use crate::scale::targets;
use std::time::Duration;

/// Virtual time by which each ingress advances before the next ingress runs.
const STEP: Duration = Duration::from_millis(100);
/// The request load of an ingress at peak time.
pub(super) const PEAK_LOAD: RequestLoad = RequestLoad {
    rate: targets::REQUESTS_PER_INGRESS,
    tenants: targets::TENANTS,
    demand: Demand::ByServers,
};

/// The quantities of all events, in the order in which they were first added.
#[derive(Default)]
pub(super) struct Figures(pub Vec<SizeSeries>);

impl Figures {
    /// Adds a measured value of a quantity at one size.
    pub(super) fn measured(&mut self, quantity: &str, unit: &str, size: usize, value: f64) {
        self.add(SizeSeries::measured(quantity, unit), size, value);
    }

    /// Adds a calculated value of a quantity at one size.
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

/// Runs all ingresses in lockstep until a virtual time and returns the traffic of this period.
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

/// Returns the bytes of a line of a watch, including the line feed.
pub(super) fn line_bytes(line: &[u8]) -> f64 {
    line.len() as f64 + 1.0
}
