//! The connections and health checks that the form servers of one service receive from all
//! ingresses.

use super::endpoint_set::EndpointSet;
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use super::simulated_ingress::{
    Arrival, Demand, RequestLoad, SimulatedEnvironment, SimulatedFleet,
};
use super::targets;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Servers of a service of the mean size.
const SERVERS: usize = 17;
/// The time after which an ingress closes an idle connection to a server, as in the settings of the
/// test bed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);
const WARM_UP_DURATION: Duration = IDLE_TIMEOUT;
const SAMPLE_TIME: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_secs(1);

/// Runs the traffic of one service through a fleet of each size.
pub(super) fn run(options: &RunOptions) -> RoleReport {
    let mut figures = Figures::new();
    let endpoints = Arc::new(EndpointSet::single(SERVERS));
    for &size in &options.sizes {
        options.progress(&format!("servers: {size} ingresses"));
        measure(options, &endpoints, size, &mut figures);
    }
    let notes = vec![
        "the traffic of each ingress is spread evenly over 3,200 services, and every ingress has traffic for each service"
            .into(),
    ];
    options.report("servers", "ingresses", figures.series(), notes)
}

fn measure(options: &RunOptions, endpoints: &Arc<EndpointSet>, size: usize, figures: &mut Figures) {
    // The requests of an ingress are spread evenly over all services.
    let load = RequestLoad {
        rate: targets::REQUESTS_PER_INGRESS / targets::SERVICES as f64,
        tenants: targets::TENANTS,
        demand: Demand::ByServers,
    };
    let mut environment = SimulatedEnvironment::new(options.seed);
    environment.arrivals = Some(Vec::new());
    let mut fleet = SimulatedFleet::new(endpoints, size, options.seed, &mut environment);
    let mut now = Duration::ZERO;
    while now < WARM_UP_DURATION + SAMPLE_TIME {
        now += STEP;
        fleet.run(now, load, &mut environment);
    }
    let connections = Connections::from_arrivals(environment.arrivals.take().unwrap_or_default());
    figures.push_connections(size, &connections);
    let traffic = fleet.traffic();
    let rejected_percent = 100.0 * traffic.rejected as f64 / traffic.ended().max(1) as f64;
    figures.rejected.push(size, &[rejected_percent]);
    let health_checks = traffic.health_checks as f64 / SERVERS as f64 / now.as_secs_f64();
    figures.health_checks.push(size, &[health_checks]);
}

struct Figures {
    open_mean: SizeSeries,
    open_max: SizeSeries,
    opened: SizeSeries,
    reused: SizeSeries,
    per_ingress: SizeSeries,
    health_checks: SizeSeries,
    rejected: SizeSeries,
}

impl Figures {
    fn new() -> Figures {
        let measured = SizeSeries::measured;
        Figures {
            open_mean: measured("open connections per server, mean", "connections"),
            open_max: measured("open connections per server, maximum", "connections"),
            opened: measured("new connections per server", "connections/s"),
            reused: measured("requests on a reused connection", "% of requests"),
            per_ingress: SizeSeries::derived(
                "open connections per ingress with 3,200 such services",
                "connections",
            ),
            health_checks: measured("health checks per server", "checks/s"),
            rejected: measured("requests rejected", "%"),
        }
    }

    fn push_connections(&mut self, size: usize, connections: &Connections) {
        let open = &connections.open;
        let mean = open.iter().sum::<usize>() as f64 / SERVERS as f64;
        self.open_mean.push(size, &[mean]);
        let max = open.iter().max().copied().unwrap_or(0);
        self.open_max.push(size, &[max as f64]);
        let opened = connections.opened as f64;
        self.opened
            .push(size, &[opened / SERVERS as f64 / SAMPLE_TIME.as_secs_f64()]);
        let reused = 1.0 - opened / connections.requests.max(1) as f64;
        self.reused.push(size, &[100.0 * reused]);
        let per_ingress = mean * SERVERS as f64 / size as f64 * targets::SERVICES as f64;
        self.per_ingress.push(size, &[per_ingress]);
    }

    fn series(self) -> Vec<SizeSeries> {
        vec![
            self.open_mean,
            self.open_max,
            self.opened,
            self.reused,
            self.per_ingress,
            self.health_checks,
            self.rejected,
        ]
    }
}

/// The connections that are needed for the measured attempts.
struct Connections {
    requests: usize,
    opened: usize,
    /// The number of open connections of each server at the end.
    open: Vec<usize>,
}

impl Connections {
    fn from_arrivals(mut arrivals: Vec<Arrival>) -> Connections {
        arrivals.sort_by_key(|arrival| arrival.at);
        let end = WARM_UP_DURATION + SAMPLE_TIME;
        let mut last_use: HashMap<(usize, usize), Duration> = HashMap::new();
        let mut connections = Connections {
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
            let before = last_use.insert((ingress, server), at);
            if at >= WARM_UP_DURATION {
                let is_new = before.is_none_or(|before| before + IDLE_TIMEOUT < at);
                connections.requests += 1;
                connections.opened += usize::from(is_new);
            }
        }
        for ((_, server), at) in last_use {
            connections.open[server] += usize::from(at + IDLE_TIMEOUT >= end);
        }
        connections
    }
}
