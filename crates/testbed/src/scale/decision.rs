//! The cost of selecting a server by the number of servers to select from.

use super::endpoint_set::EndpointSet;
use super::measure::{resident_bytes, resident_growth_mib, timed};
use super::report::{RoleReport, SizeSeries};
use super::run_options::RunOptions;
use super::simulated_ingress::{
    Demand, RequestLoad, SimulatedEnvironment, SimulatedIngress, Traffic,
};
use super::targets;
use std::sync::Arc;
use std::time::Duration;

const TENANTS: usize = 1_000;
const WARM_UP_DURATION: Duration = Duration::from_secs(1);
/// The minimum number of requests in a sample; a sample lasts longer than its virtual time if it
/// would contain fewer.
const MIN_REQUESTS: f64 = 64.0;
/// Processor time at one size and demand after which no further sample is started.
const MAX_PROCESSOR_TIME: Duration = Duration::from_secs(8);

/// Measures one ingress for each number of servers.
pub(super) fn run(options: &RunOptions) -> RoleReport {
    let mut figures = Figures::new();
    // No ingress is dropped before the end, because the next one would reuse its memory and the
    // growth of the resident memory would be too small.
    let mut ingresses = Vec::new();
    for &size in &options.sizes {
        options.progress(&format!("decision: {size} servers"));
        ingresses.push(measure(options, size, &mut figures));
    }
    options.report(
        "decision",
        "servers",
        figures.series(),
        vec![options.describe_services()],
    )
}

fn measure(options: &RunOptions, size: usize, figures: &mut Figures) -> SimulatedIngress {
    let mut environment = SimulatedEnvironment::new(options.seed);
    let resident_before = resident_bytes();
    let endpoints = Arc::new(EndpointSet::new(size, options.services));
    let mut ingress = SimulatedIngress::new(&endpoints, targets::INGRESSES, 0, options.seed);
    let list = roseyard_ingress::protocol::list::decode(&mut endpoints.complete_list());
    ingress.apply_endpoint_list(
        &list.expect("a list of the testbed decodes"),
        &mut environment,
    );
    let by_servers = samples(options, &mut ingress, Demand::ByServers, &mut environment);
    figures
        .memory
        .push(size, &[resident_growth_mib(resident_before)]);
    figures.push(size, &by_servers);
    if options.services {
        let even = samples(options, &mut ingress, Demand::Even, &mut environment);
        figures
            .request_even
            .push(size, &values_of(&even, Sample::request_us));
    }
    ingress
}

struct Figures {
    request: SizeSeries,
    request_even: SizeSeries,
    idle: SizeSeries,
    busy: SizeSeries,
    rejected: SizeSeries,
    memory: SizeSeries,
}

impl Figures {
    fn new() -> Figures {
        let measured = SizeSeries::measured;
        Figures {
            request: measured("processor time per request", "us"),
            request_even: measured(
                "processor time per request, requests spread evenly over services",
                "us",
            ),
            idle: measured("processor time without load", "% of a core"),
            busy: SizeSeries::derived("processor time at 256 requests per second", "% of a core"),
            rejected: measured("requests rejected", "%"),
            memory: measured("memory of the ingress", "MiB"),
        }
    }

    fn push(&mut self, size: usize, samples: &[Sample]) {
        self.request
            .push(size, &values_of(samples, Sample::request_us));
        self.idle
            .push(size, &values_of(samples, Sample::idle_percent));
        self.rejected
            .push(size, &values_of(samples, Sample::rejected_percent));
        self.busy
            .push(size, &values_of(samples, Sample::busy_percent));
    }

    fn series(self) -> Vec<SizeSeries> {
        let all = [
            self.request,
            self.request_even,
            self.idle,
            self.busy,
            self.rejected,
            self.memory,
        ];
        all.into_iter()
            .filter(|series| !series.points.is_empty())
            .collect()
    }
}

fn values_of(samples: &[Sample], value: fn(&Sample) -> f64) -> Vec<f64> {
    samples.iter().map(value).collect()
}

struct Sample {
    /// Seconds of processor time per second without load.
    idle_s: f64,
    /// Seconds of processor time per request, less the processor time without load.
    request_s: f64,
    /// The ratio of rejected requests to all requests, from 0 to 1.
    rejected_ratio: f64,
}

impl Sample {
    fn request_us(&self) -> f64 {
        self.request_s * 1e6
    }

    fn idle_percent(&self) -> f64 {
        self.idle_s * 100.0
    }

    fn rejected_percent(&self) -> f64 {
        self.rejected_ratio * 100.0
    }

    fn busy_percent(&self) -> f64 {
        (self.request_s * targets::REQUESTS_PER_INGRESS + self.idle_s) * 100.0
    }
}

fn samples(
    options: &RunOptions,
    ingress: &mut SimulatedIngress,
    demand: Demand,
    environment: &mut SimulatedEnvironment,
) -> Vec<Sample> {
    let load = RequestLoad {
        rate: targets::REQUESTS_PER_INGRESS,
        tenants: TENANTS,
        demand,
    };
    let (_, mut spent) =
        timed(|| ingress.run(ingress.now() + WARM_UP_DURATION, Some(load), environment));
    let mut samples = Vec::new();
    while samples.is_empty() || samples.len() < options.repeats && spent < MAX_PROCESSOR_TIME {
        let (sample, took) = sample(options, ingress, load, environment);
        samples.push(sample);
        spent += took;
    }
    samples
}

/// Takes one sample and returns it with the processor time that it took.
fn sample(
    options: &RunOptions,
    ingress: &mut SimulatedIngress,
    load: RequestLoad,
    environment: &mut SimulatedEnvironment,
) -> (Sample, Duration) {
    let seconds = Duration::from_secs(options.seconds);
    // Requests in flight complete before the idle cost is measured.
    ingress.run(ingress.now() + WARM_UP_DURATION, None, environment);
    let (_, idle) = timed(|| ingress.run(ingress.now() + seconds, None, environment));
    let min_length = Duration::from_secs_f64(MIN_REQUESTS / load.rate);
    let length = if idle * 4 > seconds {
        min_length
    } else {
        seconds.max(min_length)
    };
    ingress.traffic = Traffic::default();
    let (_, loaded) = timed(|| ingress.run(ingress.now() + length, Some(load), environment));
    let ended = (ingress.traffic.attempts + ingress.traffic.rejected).max(1) as f64;
    let idle_s = idle.as_secs_f64() / seconds.as_secs_f64();
    let requests_s = (loaded.as_secs_f64() - idle_s * length.as_secs_f64()).max(0.0);
    let sample = Sample {
        idle_s,
        request_s: requests_s / ended,
        rejected_ratio: ingress.traffic.rejected as f64 / ended,
    };
    (sample, idle + loaded)
}
