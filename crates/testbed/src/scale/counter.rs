//! The load of all ingresses together on the shared counter.

use super::endpoint_set::EndpointSet;
use super::measure::{resident_bytes, timed};
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use super::simulated_ingress::{
    Demand, RequestLoad, SimulatedEnvironment, SimulatedFleet, Traffic,
};
use super::targets;
use std::sync::Arc;
use std::time::Duration;

/// Servers of the only service.
const SERVERS: usize = 17;
const WARM_UP_DURATION: Duration = Duration::from_millis(100);
const SAMPLE_TIME: Duration = Duration::from_millis(250);
/// Processor time at one size after which no further sample is started.
const MAX_PROCESSOR_TIME: Duration = Duration::from_secs(30);
const PEAK_LOAD: RequestLoad = RequestLoad {
    rate: targets::REQUESTS_PER_INGRESS,
    tenants: targets::TENANTS,
    demand: Demand::ByServers,
};

/// Runs a fleet of each size at the peak request rate.
pub(super) fn run(options: &RunOptions) -> RoleReport {
    let mut figures = Figures::new();
    let endpoints = Arc::new(EndpointSet::single(SERVERS));
    for &size in &options.sizes {
        options.progress(&format!("counter: {size} ingresses"));
        measure(options, &endpoints, size, &mut figures);
    }
    let note = "each ingress receives 256 requests per second".to_owned();
    options.report("counter", "ingresses", figures.series(), vec![note])
}

fn measure(options: &RunOptions, endpoints: &Arc<EndpointSet>, size: usize, figures: &mut Figures) {
    let mut environment = SimulatedEnvironment::new(options.seed);
    let resident_before = resident_bytes();
    let mut fleet = SimulatedFleet::new(endpoints, size, options.seed, &mut environment);
    let mut now = WARM_UP_DURATION;
    fleet.run(now, PEAK_LOAD, &mut environment);
    let grown_kib = resident_bytes().saturating_sub(resident_before) as f64 / 1024.0;
    figures.memory.push(size, &[grown_kib / size as f64]);
    let mut samples = Vec::new();
    let mut cores = Vec::new();
    let mut spent = Duration::ZERO;
    while samples.is_empty() || samples.len() < options.repeats && spent < MAX_PROCESSOR_TIME {
        fleet.reset_traffic();
        now += SAMPLE_TIME;
        let (_, took) = timed(|| fleet.run(now, PEAK_LOAD, &mut environment));
        samples.push(fleet.traffic());
        cores.push(took.as_secs_f64() / SAMPLE_TIME.as_secs_f64());
        spent += took;
    }
    figures.push_traffic(size, &samples);
    figures.cores.push(size, &cores);
}

struct Figures {
    calls: SizeSeries,
    bytes_in: SizeSeries,
    bytes_out: SizeSeries,
    per_ingress: SizeSeries,
    cores: SizeSeries,
    memory: SizeSeries,
}

impl Figures {
    fn new() -> Figures {
        let measured = SizeSeries::measured;
        Figures {
            calls: measured("calls to the counter", "calls/s"),
            bytes_in: measured("bytes to the counter", "bytes/s"),
            bytes_out: measured("bytes from the counter", "bytes/s"),
            per_ingress: measured("bytes per ingress, sent and received", "bytes/s"),
            cores: measured("processor time of all ingresses", "cores"),
            memory: measured("memory per ingress", "KiB"),
        }
    }

    fn push_traffic(&mut self, size: usize, samples: &[Traffic]) {
        let push = |series: &mut SizeSeries, count: fn(&Traffic) -> u64, ingresses: f64| {
            let per_second =
                |traffic: &Traffic| count(traffic) as f64 / SAMPLE_TIME.as_secs_f64() / ingresses;
            series.push(size, &samples.iter().map(per_second).collect::<Vec<_>>());
        };
        push(&mut self.calls, |traffic| traffic.counter_calls, 1.0);
        push(&mut self.bytes_in, |traffic| traffic.counter_bytes_out, 1.0);
        push(&mut self.bytes_out, |traffic| traffic.counter_bytes_in, 1.0);
        push(
            &mut self.per_ingress,
            |traffic| traffic.counter_bytes_out + traffic.counter_bytes_in,
            size as f64,
        );
    }

    fn series(self) -> Vec<SizeSeries> {
        vec![
            self.calls,
            self.bytes_in,
            self.bytes_out,
            self.per_ingress,
            self.cores,
            self.memory,
        ]
    }
}
