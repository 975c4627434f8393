//! Takes one sample of a case: a new daemon with its own platform is measured without load, under
//! load and during changes of the endpoint list.

use super::case::Case;
use super::load::TenantLoad;
use super::measured_daemon::MeasuredDaemon;
use super::metered_listener::Totals;
use super::options::{DaemonOptions, Runtimes, ALL_TENANTS, DEFAULT_TENANTS, SETTLE_TIME};
use super::platform::LoopbackPlatform;
use super::quantities::Sample;
use crate::client_load::LoadOutcome;
use crate::scale::topology::{target, ServiceTopology};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Requests per second while every tenant sends one request: high enough that all of them are sent
/// within 30 s, after which an ingress removes an unused quota.
const ALL_TENANTS_RATE: f64 = 4_000.0;
/// Duration of the load before the measured load.
const WARM_UP: Duration = Duration::from_secs(1);
/// Duration of a CPU measurement without load.
const IDLE_WINDOW: Duration = Duration::from_secs(2);
/// The number of endpoint list changes, of one server each, in a measurement.
const ENDPOINT_CHANGES: u32 = 300;
/// Time between two changes when they are not sent in a burst.
const CHANGE_INTERVAL: Duration = Duration::from_millis(5);
/// Added to the seed of the measured load, so that it differs from the warm-up load.
const MEASURED_SEED_OFFSET: u64 = 1_000;

/// Takes one sample of a case.
pub(super) fn sample(options: &DaemonOptions, case: &Case, seed: u64) -> io::Result<Sample> {
    let topology = case.topology();
    let runtimes = Runtimes::start()?;
    let platform = options.start_platform(&topology, &runtimes)?;
    let program = match &options.baseline_daemon {
        Some(baseline) if case.is_baseline => baseline,
        _ => &options.daemon,
    };
    let daemon = MeasuredDaemon::start(program, &topology, &platform, &options.settings())?;
    let load = TenantLoad {
        tenants: case.tenants,
        ..options.load(&topology, seed)
    };
    let trial = Trial {
        options,
        topology: &topology,
        runtimes: &runtimes,
        platform: &platform,
        daemon: &daemon,
        load,
    };
    trial.run(case)
}

/// The daemon, the platform and the load of one sample.
struct Trial<'a> {
    options: &'a DaemonOptions,
    topology: &'a ServiceTopology,
    runtimes: &'a Runtimes,
    platform: &'a LoopbackPlatform,
    daemon: &'a MeasuredDaemon,
    load: TenantLoad,
}

impl Trial<'_> {
    /// Takes all measurements of the sample.
    fn run(&self, case: &Case) -> io::Result<Sample> {
        let mut sample = Sample {
            ready_s: self.daemon.ready_after.as_secs_f64(),
            ..Sample::default()
        };
        std::thread::sleep(SETTLE_TIME);
        let sent_before = self.platform.discovery_totals().sent;
        sample.idle_percent = 100.0 * self.daemon.core_share(IDLE_WINDOW)?;
        let sent = self.platform.discovery_totals().sent - sent_before;
        sample.discovery_bytes_per_second = sent as f64 / IDLE_WINDOW.as_secs_f64();
        let address = self.daemon.daemon.address;
        self.runtimes
            .clients
            .block_on(self.load.generate(address, WARM_UP));
        let measurement = self.measure_load()?;
        std::thread::sleep(SETTLE_TIME);
        let idle_share = self.daemon.core_share(IDLE_WINDOW)?;
        sample.idle_after_load_percent = 100.0 * idle_share;
        measurement.record(idle_share, &mut sample);
        sample.change_us = self.change_us(CHANGE_INTERVAL)?;
        sample.change_burst_us = self.change_us(Duration::ZERO)?;
        sample.resident_mib = mib(self.daemon.daemon.rss_kib()?);
        sample.all_tenants_mib = self.all_tenants_mib(case)?;
        sample.peak_mib = mib(self.daemon.daemon.peak_rss_kib()?);
        Ok(sample)
    }

    /// Runs the measured load.
    fn measure_load(&self) -> io::Result<LoadMeasurement> {
        let load = self.load.with_seed(self.load.seed + MEASURED_SEED_OFFSET);
        let began_at = Instant::now();
        let used_before = self.daemon.daemon.scheduler_cpu_time()?;
        let counter_before = self.platform.counter_totals();
        let connections_before = self.platform.servers.connections();
        let length = Duration::from_secs(self.options.run.seconds);
        let load_run = load.generate(self.daemon.daemon.address, length);
        let outcome = self.runtimes.clients.block_on(load_run);
        let counter = self.platform.counter_totals().since(counter_before);
        let used = self.daemon.daemon.scheduler_cpu_time()?;
        Ok(LoadMeasurement {
            outcome,
            cpu_time: used.saturating_sub(used_before),
            duration: began_at.elapsed(),
            counter,
            connections: self.platform.servers.connections() - connections_before,
        })
    }

    /// Returns the microseconds of CPU time per endpoint list change. The changes add and remove
    /// the same server in turn, with a pause of `interval` after each.
    fn change_us(&self, interval: Duration) -> io::Result<f64> {
        // Measured again because the health checks have stopped since the load.
        let idle_share = self.daemon.core_share(IDLE_WINDOW)?;
        let began_at = Instant::now();
        let used_before = self.daemon.daemon.scheduler_cpu_time()?;
        let address = self.topology.spare_address();
        for number in 0..ENDPOINT_CHANGES {
            let state = if number.is_multiple_of(2) {
                "SERVING"
            } else {
                "DELETED"
            };
            let server = target(address, self.platform.port, state, 0.0);
            self.platform.discovery.send_change(&[server]);
            std::thread::sleep(interval);
        }
        std::thread::sleep(SETTLE_TIME);
        let used = self.daemon.daemon.scheduler_cpu_time()?;
        let used = used.saturating_sub(used_before);
        let change_cpu_seconds = used.as_secs_f64() - idle_share * began_at.elapsed().as_secs_f64();
        Ok(change_cpu_seconds * 1e6 / f64::from(ENDPOINT_CHANGES))
    }

    /// Returns the resident memory in MiB after every tenant has sent a request; NaN unless the
    /// case is of the current version with all tenants.
    fn all_tenants_mib(&self, case: &Case) -> io::Result<f64> {
        if case.tenants != ALL_TENANTS || case.is_baseline {
            return Ok(f64::NAN);
        }
        let address = self.daemon.daemon.address;
        let load_run = self
            .load
            .generate_for_each_tenant(address, ALL_TENANTS_RATE);
        self.runtimes.clients.block_on(load_run);
        Ok(mib(self.daemon.daemon.rss_kib()?))
    }
}

fn mib(kib: u64) -> f64 {
    kib as f64 / 1024.0
}

/// The results of the measured load.
struct LoadMeasurement {
    outcome: LoadOutcome,
    /// CPU time that the daemon used.
    cpu_time: Duration,
    duration: Duration,
    /// Traffic between the daemon and the shared counter.
    counter: Totals,
    /// The number of connections opened to servers.
    connections: u64,
}

impl LoadMeasurement {
    /// Stores the results in a sample. `idle_share` is the share of a core that the daemon uses
    /// without load; it is subtracted from the CPU time of the requests.
    fn record(&self, idle_share: f64, sample: &mut Sample) {
        let outcome = &self.outcome;
        let seconds = self.duration.as_secs_f64();
        let requests = outcome.requests.max(1) as f64;
        let request_cpu_seconds = self.cpu_time.as_secs_f64() - idle_share * seconds;
        sample.request_us = request_cpu_seconds * 1e6 / requests;
        sample.p50_ms = latency_ms(outcome, 0.5);
        sample.p99_ms = latency_ms(outcome, 0.99);
        sample.counter_bytes_out = self.counter.received as f64 / requests;
        sample.counter_bytes_in = self.counter.sent as f64 / requests;
        sample.connections_per_second = self.connections as f64 / seconds;
        sample.rejected_percent = 100.0 * outcome.rejected as f64 / requests;
        sample.failed_percent = 100.0 * outcome.failed as f64 / requests;
    }
}

/// Returns a quantile of the latency in milliseconds, measured from when the client sends a
/// request.
pub(super) fn latency_ms(outcome: &LoadOutcome, quantile: f64) -> f64 {
    outcome.latency_from_send.value_at_quantile(quantile) as f64 / 1000.0
}

/// Measures the latency of requests that clients send directly to a server, and returns it as a
/// note for the reports. It is the part of the other latencies that the machine itself causes.
pub(super) fn direct_latency_note(options: &DaemonOptions) -> io::Result<String> {
    let topology = ServiceTopology::unnamed(1);
    let runtimes = Runtimes::start()?;
    let platform = options.start_platform(&topology, &runtimes)?;
    let Some(server) = topology.services[0].addresses().next() else {
        return Ok(String::new());
    };
    let address = SocketAddr::from((server, platform.port));
    let load = TenantLoad {
        tenants: DEFAULT_TENANTS,
        ingress_count: 1,
        ..options.load(&topology, options.run.seed)
    };
    let length = Duration::from_secs(options.run.seconds);
    let outcome = runtimes.clients.block_on(load.generate(address, length));
    Ok(format!(
        "latency from the client directly to a server, without the daemon: p50 {:.2} ms, p99 {:.2} ms",
        latency_ms(&outcome, 0.5),
        latency_ms(&outcome, 0.99)
    ))
}
