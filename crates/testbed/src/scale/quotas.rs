//! The cost of the tenants' quotas at an ingress: memory, processor time and calls to the counter.

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

/// A small number of servers, so that selecting a server costs little.
const FEW_SERVERS: usize = 17;
/// The time within which each tenant sends its first request. It is less than 30 s, after which an
/// ingress removes an unused quota.
const RAMP_UP_DURATION: Duration = Duration::from_secs(20);

/// Measures one ingress for each number of tenants, after each tenant has sent a request.
pub(super) fn run(options: &RunOptions) -> RoleReport {
    let mut figures = Figures::new();
    // No ingress is dropped before the end, because the next one would reuse its memory and the
    // growth of the resident memory would be too small.
    let mut ingresses = Vec::new();
    for &size in &options.sizes {
        options.progress(&format!("quotas: {size} tenants"));
        ingresses.push(measure(options, size, &mut figures));
    }
    let note =
        "bytes are those of the calls and replies, without the headers of TCP and IP".to_owned();
    let notes = vec![options.describe_services(), note];
    options.report("quotas", "tenants", figures.series(), notes)
}

fn measure(options: &RunOptions, size: usize, figures: &mut Figures) -> SimulatedIngress {
    let mut environment = SimulatedEnvironment::new(options.seed);
    let servers = if options.services {
        targets::SERVERS
    } else {
        FEW_SERVERS
    };
    let endpoints = Arc::new(EndpointSet::new(servers, options.services));
    let mut ingress = SimulatedIngress::new(&endpoints, targets::INGRESSES, 0, options.seed);
    ingress.receive_line(&endpoints.complete_list(), &mut environment);
    let resident_before = resident_bytes();
    for tenant in 0..size {
        let at = RAMP_UP_DURATION.mul_f64((tenant + 1) as f64 / size as f64);
        ingress.run(at, None, &mut environment);
        ingress.request(tenant as u64, Demand::ByServers, &mut environment);
    }
    figures
        .memory
        .push(size, &[resident_growth_mib(resident_before)]);
    let traffic = samples(options, size, &mut ingress, &mut environment, figures);
    figures.push_traffic(size, &traffic);
    ingress
}

/// Measures an ingress alternately without and under load. Returns its traffic under load.
fn samples(
    options: &RunOptions,
    size: usize,
    ingress: &mut SimulatedIngress,
    environment: &mut SimulatedEnvironment,
    figures: &mut Figures,
) -> Traffic {
    let load = RequestLoad {
        rate: targets::REQUESTS_PER_INGRESS,
        tenants: size,
        demand: Demand::ByServers,
    };
    let length = Duration::from_millis(1000 * options.seconds / options.repeats as u64);
    let mut idle_percents = Vec::new();
    let mut requests_us = Vec::new();
    let mut total = Traffic::default();
    for _ in 0..options.repeats {
        let (_, took) = timed(|| ingress.run(ingress.now() + length, None, environment));
        let idle_s = took.as_secs_f64() / length.as_secs_f64();
        ingress.traffic = Traffic::default();
        let (_, took) = timed(|| ingress.run(ingress.now() + length, Some(load), environment));
        let ended = ingress.traffic.attempts + ingress.traffic.rejected;
        let requests_s = (took.as_secs_f64() - idle_s * length.as_secs_f64()).max(0.0);
        let request_s = requests_s / ended.max(1) as f64;
        idle_percents.push(idle_s * 100.0);
        requests_us.push(request_s * 1e6);
        total += ingress.traffic;
    }
    figures.idle.push(size, &idle_percents);
    figures.request.push(size, &requests_us);
    total
}

struct Figures {
    request: SizeSeries,
    idle: SizeSeries,
    memory: SizeSeries,
    calls: SizeSeries,
    call_bytes: SizeSeries,
    reply_bytes: SizeSeries,
    byte_rate: SizeSeries,
}

impl Figures {
    fn new() -> Figures {
        let measured = SizeSeries::measured;
        Figures {
            request: measured("processor time per request", "us"),
            idle: measured("processor time without load", "% of a core"),
            memory: measured("memory of all quotas", "MiB"),
            calls: measured("calls to the counter per request", "calls"),
            call_bytes: measured("bytes per call", "bytes"),
            reply_bytes: measured("bytes per reply", "bytes"),
            byte_rate: SizeSeries::derived(
                "bytes to and from the counter at 256 requests per second",
                "bytes/s",
            ),
        }
    }

    fn push_traffic(&mut self, size: usize, traffic: &Traffic) {
        let calls = traffic.counter_calls as f64;
        let ended = (traffic.attempts + traffic.rejected) as f64;
        let call_bytes = traffic.counter_bytes_out as f64 / calls;
        let reply_bytes = traffic.counter_bytes_in as f64 / calls;
        self.calls.push(size, &[calls / ended]);
        self.call_bytes.push(size, &[call_bytes]);
        self.reply_bytes.push(size, &[reply_bytes]);
        let byte_rate = calls / ended * (call_bytes + reply_bytes) * targets::REQUESTS_PER_INGRESS;
        self.byte_rate.push(size, &[byte_rate]);
    }

    fn series(self) -> Vec<SizeSeries> {
        vec![
            self.request,
            self.idle,
            self.memory,
            self.calls,
            self.call_bytes,
            self.reply_bytes,
            self.byte_rate,
        ]
    }
}
