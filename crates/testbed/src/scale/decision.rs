//! What the choice of a server costs, by the servers to choose from.

use super::hollow::{Demand, Hollow, Load, Traffic, World};
use super::listing::Listing;
use super::measure::{resident_bytes, timed};
use super::report::{Figure, RoleReport};
use super::{targets, Run};
use std::sync::Arc;
use std::time::Duration;

const TENANTS: usize = 1_000;
const WARM_UP: Duration = Duration::from_secs(1);
/// Requests that one sample takes at least, however few fit in its virtual time.
const LEAST_REQUESTS: f64 = 64.0;
/// Processor time after which no further sample is begun at a size.
const ENOUGH: Duration = Duration::from_secs(8);

/// Plays one ingress at each number of servers.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut request = Figure::measured("processor time a request", "us");
    let mut even = Figure::measured("processor time a request, services asked alike", "us");
    let mut rest = Figure::measured("processor time at rest", "% of a core");
    let mut busy = Figure::reckoned("processor time at 256 requests a second", "% of a core");
    let mut refused = Figure::measured("requests refused", "%");
    let mut memory = Figure::measured("memory of the ingress", "MiB");
    let mut held = Vec::new();
    for &size in &run.sizes {
        run.progress(&format!("decision: {size} servers"));
        let mut world = World::new(run.seed);
        let before = resident_bytes();
        let listing = Arc::new(Listing::new(size, run.services));
        let mut hollow = Hollow::new(&listing, targets::INGRESSES, 0, run.seed);
        let list = roseyard_ingress::protocol::list::decode(&mut listing.whole());
        hollow.apply_endpoint_list(&list.expect("a list of the lab's own"), &mut world);
        let sample = samples(run, &mut hollow, Demand::ByServers, &mut world);
        memory.push(
            size,
            &[resident_bytes().saturating_sub(before) as f64 / f64::from(1 << 20)],
        );
        request.push(
            size,
            &sample.iter().map(|s| s.request * 1e6).collect::<Vec<_>>(),
        );
        if run.services {
            let alike = samples(run, &mut hollow, Demand::Even, &mut world);
            even.push(
                size,
                &alike.iter().map(|s| s.request * 1e6).collect::<Vec<_>>(),
            );
        }
        rest.push(
            size,
            &sample.iter().map(|s| s.rest * 100.0).collect::<Vec<_>>(),
        );
        refused.push(
            size,
            &sample.iter().map(|s| s.refused * 100.0).collect::<Vec<_>>(),
        );
        let share = |s: &Sample| (s.request * targets::REQUESTS_PER_INGRESS + s.rest) * 100.0;
        busy.push(size, &sample.iter().map(share).collect::<Vec<_>>());
        held.push(hollow);
    }
    let figures = [request, even, rest, busy, refused, memory];
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
    refused: f64,
}

fn samples(run: &Run, hollow: &mut Hollow, demand: Demand, world: &mut World) -> Vec<Sample> {
    let load = Load {
        rate: targets::REQUESTS_PER_INGRESS,
        tenants: TENANTS,
        demand,
    };
    let seconds = Duration::from_secs(run.seconds);
    let (_, mut spent) = timed(|| hollow.run(hollow.now() + WARM_UP, Some(load), world));
    let mut samples = Vec::new();
    while samples.is_empty() || samples.len() < run.repeats && spent < ENOUGH {
        // What is still out ends first, so that rest is rest.
        hollow.run(hollow.now() + WARM_UP, None, world);
        let (_, resting) = timed(|| hollow.run(hollow.now() + seconds, None, world));
        let least = Duration::from_secs_f64(LEAST_REQUESTS / load.rate);
        let wanted = if resting * 4 > seconds {
            least
        } else {
            seconds.max(least)
        };
        hollow.traffic = Traffic::default();
        let (_, working) = timed(|| hollow.run(hollow.now() + wanted, Some(load), world));
        let ended = hollow.traffic.attempts + hollow.traffic.refused;
        let refused = hollow.traffic.refused as f64 / ended.max(1) as f64;
        let rest = resting.as_secs_f64() / seconds.as_secs_f64();
        let request =
            (working.as_secs_f64() - rest * wanted.as_secs_f64()).max(0.0) / ended.max(1) as f64;
        samples.push(Sample {
            rest,
            request,
            refused,
        });
        spent += resting + working;
    }
    samples
}
