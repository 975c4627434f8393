//! A rack fails: one server in each of many services stops, and discovery reports it 10 s later.

use super::measurement::{line_bytes, run_until, Figures};
use crate::scale::endpoint_set::{EndpointEntry, EndpointSet, EndpointState};
use crate::scale::run_options::RunOptions;
use crate::scale::simulated_ingress::{Demand, RequestLoad, SimulatedEnvironment, SimulatedFleet};
use crate::scale::targets;
use std::sync::Arc;
use std::time::Duration;

/// The number of servers in a rack.
const RACK_SERVERS: usize = 40;
/// Servers of a service of the mean size; one of them is in the rack.
pub(super) const SERVICE_SERVERS: usize = 17;
const FAILS_AT: Duration = Duration::from_secs(60);
const REPORTED_AT: Duration = Duration::from_secs(70);

pub(super) fn run(options: &RunOptions, size: usize, figures: &mut Figures) {
    let mut environment = SimulatedEnvironment::new(options.seed);
    let endpoints = Arc::new(EndpointSet::single(SERVICE_SERVERS));
    let ingresses = targets::INGRESSES;
    let mut fleet = SimulatedFleet::new(&endpoints, ingresses, options.seed, &mut environment);
    // The requests of an ingress are spread evenly over all services, one of which is simulated.
    let load = RequestLoad {
        rate: targets::REQUESTS_PER_INGRESS / targets::SERVICES as f64,
        tenants: targets::TENANTS,
        demand: Demand::ByServers,
    };
    run_until(&mut fleet, FAILS_AT, load, &mut environment);
    environment.down.insert(0);
    let unreported = run_until(&mut fleet, REPORTED_AT, load, &mut environment);
    let quantity = "rack: attempts at failed servers until discovery reports them";
    let failed = unreported.failed_attempts_percent();
    figures.measured(quantity, "% of attempts", size, failed);
    let quantity = "rack: requests of its services not served until discovery reports it";
    figures.measured(quantity, "%", size, unreported.not_served_percent());
    let deleted = |server| EndpointEntry {
        state: EndpointState::Deleted,
        ..EndpointEntry::serving(server)
    };
    let entries: Vec<EndpointEntry> = (0..RACK_SERVERS).map(deleted).collect();
    let change = EndpointSet::single(RACK_SERVERS).watch_line(2, false, &entries);
    let quantity = "rack: bytes of the change per ingress";
    figures.measured(quantity, "bytes", size, line_bytes(&change));
}
