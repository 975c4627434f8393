//! Failures and restarts at size, with simulated ingresses.

mod rack;
mod regions;
mod restart;
mod zone;

pub use zone::zone_returns;

use super::report::{RoleReport, SizeSeries};
use super::simulated_ingress::{
    Demand, RequestLoad, SimulatedEnvironment, SimulatedFleet, SimulatedIngress, Traffic,
};
use super::{targets, RunOptions};
use std::time::Duration;

/// Virtual time for which one ingress runs before the others follow.
const STEP: Duration = Duration::from_millis(100);
/// The requests of one ingress at the peak.
const PEAK_LOAD: RequestLoad = RequestLoad {
    rate: targets::REQUESTS_PER_INGRESS,
    tenants: targets::TENANTS,
    demand: Demand::ByServers,
};

/// Runs each event with so many ingresses.
pub(super) fn run(run: &RunOptions) -> RoleReport {
    let mut figures = Figures::default();
    let first = run.sizes[0];
    run.progress("events: one ingress restarts");
    restart::ingress(run, first, &mut figures);
    run.progress("events: a rack goes");
    rack::run(run, first, &mut figures);
    for &size in &run.sizes {
        run.progress("events: two regions lose each other");
        regions::run(run, size, &mut figures);
        run.progress("events: a zone goes and returns cold");
        zone::run(run, size, &mut figures);
    }
    run.progress("events: a zone's servers in the whole list");
    zone::in_complete_list(run, first, &mut figures);
    restart::control(&run.sizes, &mut figures);
    run.report("events", "ingresses", figures.0, notes(run))
}

fn notes(run: &RunOptions) -> Vec<String> {
    vec![
        run.division(),
        format!(
            "a restart and a zone's changes: one ingress that holds all {} servers",
            targets::SERVERS
        ),
        format!(
            "a rack: {} ingresses, a service of {}, one server of which is in it; nobody is told for 10 s",
            targets::INGRESSES,
            rack::SERVICE_SERVERS
        ),
        format!(
            "regions: a service of {}, half of its servers out of reach, for 30 s",
            regions::SERVERS
        ),
        "a zone: as many servers an ingress as in the plan; 7.7% of both go and return cold".into(),
        "membership in the same events is measured with its role".into(),
    ]
}

/// The figures of all events, in the order in which they were first added.
#[derive(Default)]
struct Figures(Vec<SizeSeries>);

impl Figures {
    /// Adds a value that was measured.
    fn measured(&mut self, quantity: &str, unit: &str, size: usize, value: f64) {
        self.add(SizeSeries::measured(quantity, unit), size, value);
    }

    /// Adds a value that was calculated.
    fn derived(&mut self, quantity: &str, unit: &str, size: usize, value: f64) {
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
fn run_until(
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
fn line_bytes(line: &[u8]) -> f64 {
    line.len() as f64 + 1.0
}
