//! Two regions cannot reach each other: half of a service's servers are out of reach of half of the
//! ingresses, and the others of the others.

use super::measurement::{run_until, Figures};
use crate::scale::endpoint_set::EndpointSet;
use crate::scale::run_options::RunOptions;
use crate::scale::simulated_ingress::{
    Demand, RequestLoad, SimulatedEnvironment, SimulatedFleet, Split,
};
use crate::scale::targets;
use std::sync::Arc;
use std::time::Duration;

/// Servers of the service, half of them in each region.
pub(super) const SERVERS: usize = 16;
const SPLIT_AT: Duration = Duration::from_secs(20);
const FIRST_UNTIL: Duration = Duration::from_secs(25);
const HEALED_AT: Duration = Duration::from_secs(50);
const END: Duration = Duration::from_secs(55);
/// Enough requests for each ingress to detect failures.
const LOAD: RequestLoad = RequestLoad {
    rate: 4.0,
    tenants: targets::TENANTS,
    demand: Demand::ByServers,
};

pub(super) fn run(run: &RunOptions, ingresses: usize, figures: &mut Figures) {
    let mut environment = SimulatedEnvironment::new(run.seed);
    let endpoints = Arc::new(EndpointSet::single(SERVERS));
    let mut fleet = SimulatedFleet::new(&endpoints, ingresses, run.seed, &mut environment);
    run_until(&mut fleet, SPLIT_AT, LOAD, &mut environment);
    environment.split = Some(Split {
        ingresses: ingresses / 2,
        servers: SERVERS / 2,
    });
    let first = run_until(&mut fleet, FIRST_UNTIL, LOAD, &mut environment);
    let later = run_until(&mut fleet, HEALED_AT, LOAD, &mut environment);
    environment.split = None;
    let healed = run_until(&mut fleet, END, LOAD, &mut environment);
    for (quantity, traffic) in [
        ("regions: attempts out of reach, first 5 s", &first),
        ("regions: attempts out of reach, after that", &later),
    ] {
        let failed = traffic.failed_attempts_percent();
        figures.measured(quantity, "% of attempts", ingresses, failed);
    }
    for (quantity, traffic) in [
        ("regions: requests refused, first 5 s", &first),
        ("regions: requests refused, after that", &later),
        ("regions: requests refused, 5 s after they met", &healed),
    ] {
        figures.measured(quantity, "%", ingresses, traffic.not_served_percent());
    }
}
