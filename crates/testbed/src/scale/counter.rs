//! What the shared counter is asked by all ingresses together.

use super::endpoint_set::EndpointSet;
use super::measure::{resident_bytes, timed};
use super::report::{RoleReport, SizeSeries};
use super::simulated_ingress::{Demand, Load, SimulatedEnvironment, SimulatedIngress, Traffic};
use super::{targets, Run};
use std::sync::Arc;
use std::time::Duration;

/// Servers of the one service that the ingresses carry here: the choice among them is another role.
const SERVERS: usize = 17;
const WARM_UP: Duration = Duration::from_millis(100);
const LENGTH: Duration = Duration::from_millis(250);
/// Processor time after which no further sample is begun at a size.
const MAX_PROCESSOR_TIME: Duration = Duration::from_secs(30);

/// Plays all of so many ingresses under the load of the peak.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut calls = SizeSeries::measured("calls at the counter", "calls/s");
    let mut bytes_in = SizeSeries::measured("bytes to the counter", "bytes/s");
    let mut bytes_out = SizeSeries::measured("bytes from the counter", "bytes/s");
    let mut each = SizeSeries::measured("bytes of an ingress, to and from", "bytes/s");
    let mut cost = SizeSeries::measured("processor time of all ingresses", "cores");
    let mut memory = SizeSeries::measured("memory of an ingress", "KiB");
    let load = Load {
        rate: targets::REQUESTS_PER_INGRESS,
        tenants: targets::TENANTS,
        demand: Demand::ByServers,
    };
    let endpoint_set = Arc::new(EndpointSet::single(SERVERS));
    let line = endpoint_set.whole();
    for &size in &run.sizes {
        run.progress(&format!("counter: {size} ingresses"));
        let mut environment = SimulatedEnvironment::new(run.seed);
        let before = resident_bytes();
        let mut fleet: Vec<SimulatedIngress> = (0..size)
            .map(|n| SimulatedIngress::new(&endpoint_set, size, n, run.seed))
            .collect();
        fleet
            .iter_mut()
            .for_each(|simulated_ingress| simulated_ingress.receive_line(&line, &mut environment));
        let mut now = WARM_UP;
        let go_on =
            |fleet: &mut Vec<SimulatedIngress>, until, environment: &mut SimulatedEnvironment| {
                fleet.iter_mut().for_each(|simulated_ingress| {
                    simulated_ingress.run(until, Some(load), environment)
                });
            };
        go_on(&mut fleet, now, &mut environment);
        memory.push(
            size,
            &[resident_bytes().saturating_sub(before) as f64 / 1024.0 / size as f64],
        );
        let (mut samples, mut cores, mut spent) = (Vec::new(), Vec::new(), Duration::ZERO);
        while samples.is_empty() || samples.len() < run.repeats && spent < MAX_PROCESSOR_TIME {
            fleet
                .iter_mut()
                .for_each(|simulated_ingress| simulated_ingress.traffic = Traffic::default());
            now += LENGTH;
            let (_, took) = timed(|| go_on(&mut fleet, now, &mut environment));
            let mut traffic = Traffic::default();
            fleet
                .iter()
                .for_each(|simulated_ingress| traffic += simulated_ingress.traffic);
            samples.push(traffic);
            cores.push(took.as_secs_f64() / LENGTH.as_secs_f64());
            spent += took;
        }
        let push = |figure: &mut SizeSeries, of: &dyn Fn(&Traffic) -> u64, per: f64| {
            let second = |t: &Traffic| of(t) as f64 / LENGTH.as_secs_f64() / per;
            figure.push(size, &samples.iter().map(second).collect::<Vec<_>>());
        };
        push(&mut calls, &|t| t.counter_calls, 1.0);
        push(&mut bytes_in, &|t| t.counter_bytes_out, 1.0);
        push(&mut bytes_out, &|t| t.counter_bytes_in, 1.0);
        push(
            &mut each,
            &|t| t.counter_bytes_out + t.counter_bytes_in,
            size as f64,
        );
        cost.push(size, &cores);
    }
    let figures = vec![calls, bytes_in, bytes_out, each, cost, memory];
    run.report(
        "counter",
        "ingresses",
        figures,
        vec!["each ingress at 256 requests a second".into()],
    )
}
