//! A network partition between two regions: each half of the ingresses can reach only the half of a
//! service's servers that is in its own region.

use super::measurement::{run_until, Figures};
use crate::scale::endpoint_set::EndpointSet;
use crate::scale::run_options::RunOptions;
use crate::scale::simulated_ingress::{
    Demand, RequestLoad, SimulatedEnvironment, SimulatedFleet, Split,
};
use crate::scale::targets;
use std::sync::Arc;
use std::time::Duration;

/// The number of servers of the service; half of them are in each region.
pub(super) const SERVERS: usize = 16;
const SPLIT_AT: Duration = Duration::from_secs(20);
const FIRST_PHASE_END: Duration = Duration::from_secs(25);
const HEALED_AT: Duration = Duration::from_secs(50);
const END: Duration = Duration::from_secs(55);
/// The request rate is sufficient for each ingress to detect the failures.
const LOAD: RequestLoad = RequestLoad {
    rate: 4.0,
    tenants: targets::TENANTS,
    demand: Demand::ByServers,
};

pub(super) fn run(options: &RunOptions, ingresses: usize, figures: &mut Figures) {
    let mut environment = SimulatedEnvironment::new(options.seed);
    let endpoints = Arc::new(EndpointSet::single(SERVERS));
    let mut fleet = SimulatedFleet::new(&endpoints, ingresses, options.seed, &mut environment);
    run_until(&mut fleet, SPLIT_AT, LOAD, &mut environment);
    environment.split = Some(Split {
        ingresses: ingresses / 2,
        servers: SERVERS / 2,
    });
    let first_phase = run_until(&mut fleet, FIRST_PHASE_END, LOAD, &mut environment);
    let second_phase = run_until(&mut fleet, HEALED_AT, LOAD, &mut environment);
    environment.split = None;
    let healed = run_until(&mut fleet, END, LOAD, &mut environment);
    for (quantity, traffic) in [
        (
            "regions: attempts at unreachable servers, first 5 s",
            &first_phase,
        ),
        (
            "regions: attempts at unreachable servers, after 5 s",
            &second_phase,
        ),
    ] {
        let failed = traffic.failed_attempts_percent();
        figures.measured(quantity, "% of attempts", ingresses, failed);
    }
    for (quantity, traffic) in [
        ("regions: requests not served, first 5 s", &first_phase),
        ("regions: requests not served, after 5 s", &second_phase),
        (
            "regions: requests not served, in the 5 s after the partition",
            &healed,
        ),
    ] {
        figures.measured(quantity, "%", ingresses, traffic.not_served_percent());
    }
}
