//! What the choice of a server costs, by the servers to choose from.

use super::endpoint_set::EndpointSet;
use super::measure::{resident_bytes, timed};
use super::report::{RoleReport, SizeSeries};
use super::simulated_ingress::{Demand, Load, SimulatedEnvironment, SimulatedIngress, Traffic};
use super::{targets, Run};
use std::sync::Arc;
use std::time::Duration;

const TENANTS: usize = 1_000;
const WARM_UP: Duration = Duration::from_secs(1);
/// Requests that one sample takes at least, however few fit in its virtual time.
const MIN_REQUESTS: f64 = 64.0;
/// Processor time after which no further sample is begun at a size.
const MAX_PROCESSOR_TIME: Duration = Duration::from_secs(8);

/// Plays one ingress at each number of servers.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut request = SizeSeries::measured("processor time a request", "us");
    let mut even = SizeSeries::measured("processor time a request, services asked alike", "us");
    let mut rest = SizeSeries::measured("processor time at rest", "% of a core");
    let mut busy = SizeSeries::derived("processor time at 256 requests a second", "% of a core");
    let mut rejected = SizeSeries::measured("requests refused", "%");
    let mut memory = SizeSeries::measured("memory of the ingress", "MiB");
    let mut held = Vec::new();
    for &size in &run.sizes {
        run.progress(&format!("decision: {size} servers"));
        let mut environment = SimulatedEnvironment::new(run.seed);
        let before = resident_bytes();
        let endpoint_set = Arc::new(EndpointSet::new(size, run.services));
        let mut simulated_ingress =
            SimulatedIngress::new(&endpoint_set, targets::INGRESSES, 0, run.seed);
        let list = roseyard_ingress::protocol::list::decode(&mut endpoint_set.whole());
        simulated_ingress
            .apply_endpoint_list(&list.expect("a list of the lab's own"), &mut environment);
        let sample = samples(
            run,
            &mut simulated_ingress,
            Demand::ByServers,
            &mut environment,
        );
        memory.push(
            size,
            &[resident_bytes().saturating_sub(before) as f64 / f64::from(1 << 20)],
        );
        request.push(
            size,
            &sample.iter().map(|s| s.request * 1e6).collect::<Vec<_>>(),
        );
        if run.services {
            let alike = samples(run, &mut simulated_ingress, Demand::Even, &mut environment);
            even.push(
                size,
                &alike.iter().map(|s| s.request * 1e6).collect::<Vec<_>>(),
            );
        }
        rest.push(
            size,
            &sample.iter().map(|s| s.rest * 100.0).collect::<Vec<_>>(),
        );
        rejected.push(
            size,
            &sample
                .iter()
                .map(|s| s.rejected * 100.0)
                .collect::<Vec<_>>(),
        );
        let share = |s: &Sample| (s.request * targets::REQUESTS_PER_INGRESS + s.rest) * 100.0;
        busy.push(size, &sample.iter().map(share).collect::<Vec<_>>());
        held.push(simulated_ingress);
    }
    let figures = [request, even, rest, busy, rejected, memory];
    let figures = figures
        .into_iter()
        .filter(|figure| !figure.points.is_empty())
        .collect();
    run.report("decision", "servers", figures, vec![run.shape()])
}

/// Seconds of processor time: for a second at rest, and for a request beyond that; and the share
/// that was refused.
struct Sample {
    rest: f64,
    request: f64,
    rejected: f64,
}

fn samples(
    run: &Run,
    simulated_ingress: &mut SimulatedIngress,
    demand: Demand,
    environment: &mut SimulatedEnvironment,
) -> Vec<Sample> {
    let load = Load {
        rate: targets::REQUESTS_PER_INGRESS,
        tenants: TENANTS,
        demand,
    };
    let seconds = Duration::from_secs(run.seconds);
    let (_, mut spent) =
        timed(|| simulated_ingress.run(simulated_ingress.now() + WARM_UP, Some(load), environment));
    let mut samples = Vec::new();
    while samples.is_empty() || samples.len() < run.repeats && spent < MAX_PROCESSOR_TIME {
        // What is still out ends first, so that rest is rest.
        simulated_ingress.run(simulated_ingress.now() + WARM_UP, None, environment);
        let (_, resting) =
            timed(|| simulated_ingress.run(simulated_ingress.now() + seconds, None, environment));
        let least = Duration::from_secs_f64(MIN_REQUESTS / load.rate);
        let wanted = if resting * 4 > seconds {
            least
        } else {
            seconds.max(least)
        };
        simulated_ingress.traffic = Traffic::default();
        let (_, working) = timed(|| {
            simulated_ingress.run(simulated_ingress.now() + wanted, Some(load), environment)
        });
        let ended = simulated_ingress.traffic.attempts + simulated_ingress.traffic.rejected;
        let rejected = simulated_ingress.traffic.rejected as f64 / ended.max(1) as f64;
        let rest = resting.as_secs_f64() / seconds.as_secs_f64();
        let request =
            (working.as_secs_f64() - rest * wanted.as_secs_f64()).max(0.0) / ended.max(1) as f64;
        samples.push(Sample {
            rest,
            request,
            rejected,
        });
        spent += resting + working;
    }
    samples
}
