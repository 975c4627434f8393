//! The real daemon at size: one process on loopback among stand-ins, with up to 54,000 servers at
//! addresses of their own, one version beside another. Cost is processor time by the scheduler's
//! account.

pub mod faults;
mod load;
mod measured_daemon;
mod metered_listener;
mod platform;

use super::measure;
use super::report::{RoleReport, SizeSeries};
use super::topology::{target, ServiceTopology};
use super::{targets, Run};
use crate::client_load::LoadOutcome;
use crate::platform_settings;
use load::Load;
use measured_daemon::MeasuredDaemon;
use metered_listener::Totals;
use platform::{Platform, ServerOptions};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

/// The size that the platform is planned for.
const FULL: Size = Size {
    servers: targets::SERVERS as u32,
    services: targets::SERVICES as u32,
    largest: targets::LARGEST_SERVICE as u32,
    routes: targets::ROUTES as u32,
};
/// Tenants at that size.
const ALL_TENANTS: u64 = targets::TENANTS as u64;
/// Tenants where their number is not what is varied.
const SOME_TENANTS: u64 = 1_000;
/// Ingresses that the settings name.
const INGRESSES: u32 = targets::INGRESSES as u32;
/// Allowance of each tenant, units a second: no request of a measurement is to be refused for it.
const TENANT_RATE: f64 = 1000.0;
/// Requests a second while each tenant asks once: all are held at once, as idle ones are dropped
/// after 30 s.
const TENANTS_RATE: f64 = 4_000.0;
/// Load before what is measured.
const WARM_UP: Duration = Duration::from_secs(1);
/// So long the daemon is watched at rest.
const IDLE_WINDOW: Duration = Duration::from_secs(2);
/// After a load or a start, until what they have left behind is done.
const SETTLE: Duration = Duration::from_millis(500);
/// Changes of one server that discovery tells, and between two of them.
const CHANGES: u32 = 300;
const CHANGE_EVERY: Duration = Duration::from_millis(5);

/// The measured load draws other times and tenants than the one before it.
const LATER_SEED: u64 = 1_000;

struct Size {
    servers: u32,
    services: u32,
    largest: u32,
    routes: u32,
}

/// What is run.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// An earlier version of it, measured in turn with the other.
    pub before: Option<PathBuf>,
    /// Are all tenants played at the greatest size too?
    pub all_tenants: bool,
    /// Does the daemon have a shared counter?
    pub counter: bool,
    /// May the daemon probe servers?
    pub probes: bool,
    /// Do servers close a connection once they have answered a request on it? Each request then
    /// needs a new one.
    pub servers_close: bool,
    /// Requests a second.
    pub rate: f64,
    /// Ingresses through which each tenant's requests come: 1 needs no shared counter.
    pub spread: u32,
    /// Sizes in servers, real seconds of load, repeats, whether servers are divided into services
    /// too, and the seed for times, tenants and services.
    pub run: Run,
}

impl DaemonOptions {
    fn server_options(&self) -> ServerOptions {
        ServerOptions {
            work: Duration::ZERO,
            once: self.servers_close,
        }
    }

    /// The platform's settings, of as many ingresses as are planned.
    fn settings(&self) -> Value {
        self.settings_of(INGRESSES)
    }

    /// The platform's settings of so many ingresses.
    fn settings_of(&self, ingresses: u32) -> Value {
        let mut settings = platform_settings::settings_for(ingresses, TENANT_RATE);
        settings["Ceilings"]["Probes"] = self.probes.into();
        settings
    }
}

/// How servers are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Division {
    /// One service without a name, as without a section on services.
    Unnamed,
    /// Services with a long tail, 17 servers in the mean.
    LongTail,
}

/// One version at one size.
#[derive(Clone, Debug)]
struct Case {
    /// Is it the earlier version?
    before: bool,
    division: Division,
    servers: u32,
    tenants: u64,
}

/// Cases that differ in their size alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Series {
    before: bool,
    division: Division,
    all_tenants: bool,
}

impl Case {
    fn series(&self) -> Series {
        Series {
            before: self.before,
            division: self.division,
            all_tenants: self.tenants != SOME_TENANTS,
        }
    }

    /// What is varied: servers, or tenants.
    fn size(&self) -> usize {
        if self.tenants == SOME_TENANTS {
            self.servers as usize
        } else {
            self.tenants as usize
        }
    }

    /// Services and their largest in proportion to the full size.
    fn topology(&self) -> ServiceTopology {
        if self.division == Division::Unnamed {
            return ServiceTopology::unnamed(self.servers);
        }
        let part = |of: u32| {
            (u64::from(of) * u64::from(self.servers) / u64::from(FULL.servers)).max(1) as u32
        };
        let services = part(FULL.services);
        let largest = part(FULL.largest).max(self.servers.div_ceil(services));
        ServiceTopology::long_tail(
            self.servers,
            services,
            largest,
            part(FULL.routes).max(services),
        )
    }
}

/// The figures of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    ready_s: f64,
    resident_mib: f64,
    peak_mib: f64,
    all_tenants_mib: f64,
    rest_percent: f64,
    rest_after_percent: f64,
    request_us: f64,
    p50_ms: f64,
    p99_ms: f64,
    change_us: f64,
    change_burst_us: f64,
    counter_out: f64,
    counter_in: f64,
    discovery_in: f64,
    connections: f64,
    rejected: f64,
    failed: f64,
}

/// A figure: its name, its unit, and where a sample holds it.
type Quantity = (&'static str, &'static str, fn(&Sample) -> f64);

const QUANTITIES: [Quantity; 17] = [
    ("ready", "s", |s| s.ready_s),
    ("resident", "MiB", |s| s.resident_mib),
    ("resident at most", "MiB", |s| s.peak_mib),
    ("resident once each tenant has asked", "MiB", |s| {
        s.all_tenants_mib
    }),
    ("at rest after the start", "% of a core", |s| s.rest_percent),
    ("at rest after load", "% of a core", |s| {
        s.rest_after_percent
    }),
    ("processor time of a request", "us", |s| s.request_us),
    ("p50 at the client", "ms", |s| s.p50_ms),
    ("p99 at the client", "ms", |s| s.p99_ms),
    (
        "processor time of a change of one server, alone",
        "us",
        |s| s.change_us,
    ),
    (
        "processor time of a change of one server, of many at once",
        "us",
        |s| s.change_burst_us,
    ),
    ("to the counter a request", "bytes", |s| s.counter_out),
    ("from the counter a request", "bytes", |s| s.counter_in),
    ("from discovery at rest", "bytes/s", |s| s.discovery_in),
    ("connections opened to servers", "1/s", |s| s.connections),
    ("refused", "% of requests", |s| s.rejected),
    ("failed", "% of requests", |s| s.failed),
];

/// The runtimes of what is around the daemon and of the clients, each with a thread of its own.
struct Runtimes {
    platform: Runtime,
    clients: Runtime,
}

impl Runtimes {
    fn start() -> io::Result<Runtimes> {
        let one = |name| {
            Builder::new_multi_thread()
                .worker_threads(1)
                .thread_name(name)
                .enable_all()
                .build()
        };
        Ok(Runtimes {
            platform: one("platform")?,
            clients: one("clients")?,
        })
    }
}

/// Measures each case; the versions take turns at each size.
pub fn run(options: &DaemonOptions) -> io::Result<Vec<RoleReport>> {
    let mut reports: Vec<(Series, RoleReport)> = Vec::new();
    for case in cases(options) {
        options.run.progress(&format!("{case:?}"));
        let samples: Vec<Sample> = (0..options.run.repeats)
            .map(|run| sample(options, &case, options.run.seed + run as u64))
            .collect::<io::Result<_>>()?;
        let series = case.series();
        let held = reports.iter().position(|(s, _)| *s == series);
        let at = held.unwrap_or_else(|| {
            reports.push((series, empty_report(series)));
            reports.len() - 1
        });
        let report = &mut reports[at].1;
        for (figure, (_, _, value)) in report.figures.iter_mut().zip(&QUANTITIES) {
            let values: Vec<f64> = samples.iter().map(value).filter(|v| !v.is_nan()).collect();
            figure.push(case.size(), &values);
        }
    }
    let direct = direct(options)?;
    let mut reports: Vec<RoleReport> = reports.into_iter().map(|(_, report)| report).collect();
    for report in &mut reports {
        report.figures.retain(|figure| !figure.points.is_empty());
        report.notes.push(direct.clone());
        report.resident_bytes = measure::resident_bytes();
    }
    Ok(reports)
}

fn empty_report(series: Series) -> RoleReport {
    let version = if series.before { "before" } else { "now" };
    let divided = match series.division {
        Division::Unnamed => "all servers in one service",
        Division::LongTail => "17 servers a service in the mean",
    };
    let varied = if series.all_tenants {
        "tenants"
    } else {
        "servers"
    };
    RoleReport {
        role: format!("daemon, {version}, {divided}"),
        varied: varied.into(),
        figures: QUANTITIES
            .iter()
            .map(|(name, unit, _)| SizeSeries::measured(name, unit))
            .collect(),
        notes: Vec::new(),
        resident_bytes: 0,
    }
}

/// Each size for each version and division, and all tenants at the greatest size.
fn cases(options: &DaemonOptions) -> Vec<Case> {
    let versions = options.before.iter().map(|_| true).chain([false]);
    let versions: Vec<bool> = versions.collect();
    let mut cases = Vec::new();
    let mut add = |servers: u32, tenants: u64| {
        for &before in &versions {
            cases.push(Case {
                before,
                division: Division::Unnamed,
                servers,
                tenants,
            });
        }
        if options.run.services {
            cases.push(Case {
                before: false,
                division: Division::LongTail,
                servers,
                tenants,
            });
        }
    };
    options
        .run
        .sizes
        .iter()
        .for_each(|servers| add(*servers as u32, SOME_TENANTS));
    if let Some(greatest) = options
        .run
        .sizes
        .iter()
        .max()
        .filter(|_| options.all_tenants)
    {
        add(*greatest as u32, 1);
        add(*greatest as u32, ALL_TENANTS);
    }
    cases
}

/// One run of a case, with a daemon and a platform of its own.
fn sample(options: &DaemonOptions, case: &Case, seed: u64) -> io::Result<Sample> {
    let topology = case.topology();
    let runtimes = Runtimes::start()?;
    let platform = runtimes.platform.block_on(Platform::start(
        &topology,
        options.server_options(),
        options.counter,
    ))?;
    let program = if case.before {
        options.before.as_ref().unwrap_or(&options.daemon)
    } else {
        &options.daemon
    };
    let measured_daemon =
        MeasuredDaemon::start(program, &topology, &platform, &options.settings())?;
    let mut sample = Sample {
        ready_s: measured_daemon.ready_after.as_secs_f64(),
        ..Sample::default()
    };
    std::thread::sleep(SETTLE);
    let told = platform.discovery_totals().sent;
    sample.rest_percent = 100.0 * measured_daemon.busy(IDLE_WINDOW)?;
    sample.discovery_in =
        (platform.discovery_totals().sent - told) as f64 / IDLE_WINDOW.as_secs_f64();
    let load = Load::of(&topology, options.rate, case.tenants, options.spread, seed);
    let address = measured_daemon.daemon.address;
    runtimes.clients.block_on(load.play(address, WARM_UP));
    let loaded = under_load(options, &runtimes, &platform, &measured_daemon, &load)?;
    std::thread::sleep(SETTLE);
    let rest = measured_daemon.busy(IDLE_WINDOW)?;
    sample.rest_after_percent = 100.0 * rest;
    loaded.tell(rest, &mut sample);
    sample.change_us = changes(&topology, &platform, &measured_daemon, CHANGE_EVERY)?;
    sample.change_burst_us = changes(&topology, &platform, &measured_daemon, Duration::ZERO)?;
    sample.resident_mib = mib(measured_daemon.daemon.rss_kib()?);
    sample.all_tenants_mib = f64::NAN;
    if case.tenants == ALL_TENANTS && !case.before {
        runtimes
            .clients
            .block_on(load.play_each_tenant(address, TENANTS_RATE));
        sample.all_tenants_mib = mib(measured_daemon.daemon.rss_kib()?);
    }
    sample.peak_mib = mib(measured_daemon.daemon.peak_kib()?);
    Ok(sample)
}

fn mib(kib: u64) -> f64 {
    kib as f64 / 1024.0
}

/// What a stretch of load has shown.
struct LoadMeasurement {
    outcome: LoadOutcome,
    used: Duration,
    took: Duration,
    counter: Totals,
    connections: u64,
}

fn under_load(
    options: &DaemonOptions,
    runtimes: &Runtimes,
    platform: &Platform,
    measured_daemon: &MeasuredDaemon,
    load: &Load,
) -> io::Result<LoadMeasurement> {
    let load = load.with_seed(load.seed + LATER_SEED);
    let (began, used) = (Instant::now(), measured_daemon.daemon.scheduled_time()?);
    let (counter, connections) = (platform.counter_totals(), platform.servers.connections());
    let length = Duration::from_secs(options.run.seconds);
    let outcome = runtimes
        .clients
        .block_on(load.play(measured_daemon.daemon.address, length));
    let totals = platform.counter_totals();
    let counter = Totals {
        received: totals.received - counter.received,
        sent: totals.sent - counter.sent,
        connections: totals.connections - counter.connections,
    };
    Ok(LoadMeasurement {
        outcome,
        used: measured_daemon
            .daemon
            .scheduled_time()?
            .saturating_sub(used),
        took: began.elapsed(),
        counter,
        connections: platform.servers.connections() - connections,
    })
}

impl LoadMeasurement {
    /// Puts its figures into a sample; `rest` is the share of a core that the daemon uses without
    /// load.
    fn tell(&self, rest: f64, sample: &mut Sample) {
        let LoadMeasurement { outcome, took, .. } = self;
        let asked = outcome.requests.max(1) as f64;
        let requests = self.used.as_secs_f64() - rest * took.as_secs_f64();
        sample.request_us = requests * 1e6 / asked;
        let quantile = |q| outcome.latency_from_send.value_at_quantile(q) as f64 / 1000.0;
        (sample.p50_ms, sample.p99_ms) = (quantile(0.5), quantile(0.99));
        sample.counter_out = self.counter.received as f64 / asked;
        sample.counter_in = self.counter.sent as f64 / asked;
        sample.connections = self.connections as f64 / took.as_secs_f64();
        sample.rejected = 100.0 * outcome.rejected as f64 / asked;
        sample.failed = 100.0 * outcome.failed as f64 / asked;
    }
}

/// Processor time, in microseconds, of a change that discovery tells: one server comes, or goes
/// again.
fn changes(
    topology: &ServiceTopology,
    platform: &Platform,
    measured_daemon: &MeasuredDaemon,
    every: Duration,
) -> io::Result<f64> {
    // Probes have ceased since the load.
    let rest = measured_daemon.busy(IDLE_WINDOW)?;
    let (began, used) = (Instant::now(), measured_daemon.daemon.scheduled_time()?);
    for n in 0..CHANGES {
        let state = if n.is_multiple_of(2) {
            "SERVING"
        } else {
            "DELETED"
        };
        platform
            .discovery
            .change(&[target(topology.spare_address(), platform.port, state, 0.0)]);
        std::thread::sleep(every);
    }
    std::thread::sleep(SETTLE);
    let used = measured_daemon
        .daemon
        .scheduled_time()?
        .saturating_sub(used);
    let changes = used.as_secs_f64() - rest * began.elapsed().as_secs_f64();
    Ok(changes * 1e6 / f64::from(CHANGES))
}

/// What a request takes straight from the client to a server: what the machine itself adds.
fn direct(options: &DaemonOptions) -> io::Result<String> {
    let topology = ServiceTopology::unnamed(1);
    let runtimes = Runtimes::start()?;
    let platform = runtimes.platform.block_on(Platform::start(
        &topology,
        options.server_options(),
        options.counter,
    ))?;
    let Some(server) = topology.services[0].addresses().next() else {
        return Ok(String::new());
    };
    let address = SocketAddr::from((server, platform.port));
    let load = Load::of(&topology, options.rate, SOME_TENANTS, 1, options.run.seed);
    let outcome = runtimes
        .clients
        .block_on(load.play(address, Duration::from_secs(options.run.seconds)));
    let quantile = |q| outcome.latency_from_send.value_at_quantile(q) as f64 / 1000.0;
    Ok(format!(
        "straight from the client to a server, without the daemon: p50 {:.2} ms, p99 {:.2} ms",
        quantile(0.5),
        quantile(0.99)
    ))
}
