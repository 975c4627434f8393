//! What the form servers of one service bear of all ingresses: connections and probes.

use super::endpoint_set::EndpointSet;
use super::report::{RoleReport, SizeSeries};
use super::simulated_ingress::{Arrival, Demand, Load, SimulatedEnvironment, SimulatedIngress};
use super::{targets, Run};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A service of the mean size.
const SERVERS: usize = 17;
/// An ingress drops a connection to a server that has been idle for so long, by the lab's settings.
const LINK_IDLE: Duration = Duration::from_secs(12);
const WARM_UP: Duration = LINK_IDLE;
const LENGTH: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_secs(1);

/// Plays one service's share of the traffic through all of so many ingresses.
pub(super) fn run(run: &Run) -> RoleReport {
    let mut open = SizeSeries::measured("connections open at a server, mean", "connections");
    let mut most = SizeSeries::measured("connections open at a server, most", "connections");
    let mut new = SizeSeries::measured("connections opened at a server", "connections/s");
    let mut shared =
        SizeSeries::measured("requests on a connection that was open", "% of requests");
    let mut probes = SizeSeries::measured("probes at a server", "probes/s");
    let mut rejected = SizeSeries::measured("requests refused", "%");
    let mut links = SizeSeries::derived(
        "connections open at an ingress with 3,200 such services",
        "connections",
    );
    // Of its requests each service gets an even share.
    let load = Load {
        rate: targets::REQUESTS_PER_INGRESS / targets::SERVICES as f64,
        tenants: targets::TENANTS,
        demand: Demand::ByServers,
    };
    let endpoint_set = Arc::new(EndpointSet::single(SERVERS));
    let line = endpoint_set.whole();
    for &size in &run.sizes {
        run.progress(&format!("servers: {size} ingresses"));
        let mut environment = SimulatedEnvironment::new(run.seed);
        environment.arrivals = Some(Vec::new());
        let mut fleet: Vec<SimulatedIngress> = (0..size)
            .map(|n| SimulatedIngress::new(&endpoint_set, size, n, run.seed))
            .collect();
        fleet
            .iter_mut()
            .for_each(|simulated_ingress| simulated_ingress.receive_line(&line, &mut environment));
        let mut now = Duration::ZERO;
        while now < WARM_UP + LENGTH {
            now += STEP;
            fleet.iter_mut().for_each(|simulated_ingress| {
                simulated_ingress.run(now, Some(load), &mut environment)
            });
        }
        let seen = Seen::of(environment.arrivals.take().unwrap_or_default());
        let per_server = seen.open.iter().sum::<usize>() as f64 / SERVERS as f64;
        open.push(size, &[per_server]);
        most.push(size, &[seen.open.iter().max().copied().unwrap_or(0) as f64]);
        new.push(
            size,
            &[seen.opened as f64 / SERVERS as f64 / LENGTH.as_secs_f64()],
        );
        shared.push(
            size,
            &[100.0 * (1.0 - seen.opened as f64 / seen.requests.max(1) as f64)],
        );
        let (turned, asked) = fleet
            .iter()
            .fold((0, 0), |(turned, asked), simulated_ingress| {
                let traffic = simulated_ingress.traffic;
                (
                    turned + traffic.rejected,
                    asked + traffic.rejected + traffic.served + traffic.failed,
                )
            });
        rejected.push(size, &[100.0 * turned as f64 / asked.max(1) as f64]);
        let probed: u64 = fleet
            .iter()
            .map(|simulated_ingress| simulated_ingress.traffic.probes)
            .sum();
        probes.push(size, &[probed as f64 / SERVERS as f64 / now.as_secs_f64()]);
        let every = per_server * SERVERS as f64 / size as f64 * targets::SERVICES as f64;
        links.push(size, &[every]);
    }
    let notes = vec![
        "traffic of an ingress is even over 3,200 services, and each service's goes through every ingress"
            .into(),
    ];
    run.report(
        "servers",
        "ingresses",
        vec![open, most, new, shared, links, probes, rejected],
        notes,
    )
}

/// What came within the measured time.
struct Seen {
    requests: usize,
    opened: usize,
    /// Connections that each server has open at the end.
    open: Vec<usize>,
}

impl Seen {
    fn of(mut arrivals: Vec<Arrival>) -> Seen {
        arrivals.sort_by_key(|arrival| arrival.at);
        let end = WARM_UP + LENGTH;
        let mut last: HashMap<(usize, usize), Duration> = HashMap::new();
        let mut seen = Seen {
            requests: 0,
            opened: 0,
            open: vec![0; SERVERS],
        };
        for Arrival {
            at,
            ingress,
            server,
        } in arrivals
        {
            let before = last.insert((ingress, server), at);
            if at >= WARM_UP {
                seen.requests += 1;
                seen.opened += usize::from(before.is_none_or(|before| before + LINK_IDLE < at));
            }
        }
        for ((_, server), at) in last {
            seen.open[server] += usize::from(at + LINK_IDLE >= end);
        }
        seen
    }
}
