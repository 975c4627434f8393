//! The real daemon at size: one process on loopback among fakes, with up to 54,000 servers at
//! addresses of their own, one version beside another. Cost is processor time by the scheduler's
//! account.

mod case;
mod discovery;
pub mod faults;
mod load;
mod measured_daemon;
mod metered_listener;
mod platform;
mod quantities;
mod sample;
mod servers;

use super::measure;
use super::report::RoleReport;
use super::topology::ServiceTopology;
use super::{targets, RunOptions};
use crate::platform_settings;
use crate::runtime::single_thread_runtime;
use case::{cases, CaseSeries, Division, SOME_TENANTS};
use load::{Routes, TenantLoad};
use platform::LoopbackPlatform;
use quantities::{empty_figures, push_samples, Sample};
use sample::{direct_latency_note, sample};
use serde_json::Value;
use servers::ServerOptions;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Ingresses that the settings name.
const INGRESSES: u32 = targets::INGRESSES as u32;
/// Quota of each tenant, so high that no request is rejected for it.
const QUOTA_UNITS_PER_SECOND: f64 = 1000.0;
/// Time after a load or a start until the work that they leave behind is done.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// What is measured.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// An earlier version of it, measured alternately with the other.
    pub before: Option<PathBuf>,
    /// Are 1 and all tenants measured at the largest size too?
    pub all_tenants: bool,
    /// Does the daemon have a shared counter?
    pub counter: bool,
    /// May the daemon check the health of servers?
    pub health_checks: bool,
    /// Do servers close a connection once they have responded to a request on it? Each request then
    /// needs a new one.
    pub servers_close: bool,
    /// Requests a second.
    pub rate: f64,
    /// Ingresses through which each tenant's requests come; 1 needs no shared counter.
    pub ingress_count: u32,
    /// Sizes in servers, real seconds of load, samples, whether servers are divided into services
    /// too, and the seed for times, tenants and services.
    pub run: RunOptions,
}

impl DaemonOptions {
    fn server_options(&self) -> ServerOptions {
        ServerOptions {
            service_time: Duration::ZERO,
            close_after_response: self.servers_close,
        }
    }

    /// Starts a platform of these servers.
    fn start_platform(
        &self,
        topology: &ServiceTopology,
        runtimes: &Runtimes,
    ) -> io::Result<LoopbackPlatform> {
        runtimes.platform.block_on(LoopbackPlatform::start(
            topology,
            self.server_options(),
            self.counter,
        ))
    }

    /// The platform's settings for one of the planned ingresses.
    fn settings(&self) -> Value {
        self.settings_for(INGRESSES)
    }

    /// The platform's settings for one of so many ingresses.
    fn settings_for(&self, ingresses: u32) -> Value {
        let mut settings = platform_settings::settings_for(ingresses, QUOTA_UNITS_PER_SECOND);
        settings["Ceilings"]["Probes"] = self.health_checks.into();
        settings
    }

    /// A load of all services.
    fn load(&self, topology: &ServiceTopology, seed: u64) -> TenantLoad {
        TenantLoad {
            rate: self.rate,
            tenants: SOME_TENANTS,
            ingress_count: self.ingress_count,
            idempotent: true,
            seed,
            routes: Routes::of_all(topology),
        }
    }
}

/// The runtimes of the platform and of the clients, each with a thread of its own.
struct Runtimes {
    platform: Runtime,
    clients: Runtime,
}

impl Runtimes {
    fn start() -> io::Result<Runtimes> {
        Ok(Runtimes {
            platform: single_thread_runtime("platform")?,
            clients: single_thread_runtime("clients")?,
        })
    }
}

/// The report of the cases of one series.
struct SeriesReport {
    series: CaseSeries,
    report: RoleReport,
}

/// Measures each case; the versions alternate at each size.
pub fn run(options: &DaemonOptions) -> io::Result<Vec<RoleReport>> {
    let mut reports: Vec<SeriesReport> = Vec::new();
    for case in cases(options) {
        options.run.progress(&format!("{case:?}"));
        let samples: Vec<Sample> = (0..options.run.repeats)
            .map(|repeat| sample(options, &case, options.run.seed + repeat as u64))
            .collect::<io::Result<_>>()?;
        let report = report_of(&mut reports, case.series());
        push_samples(&mut report.figures, case.size(), &samples);
    }
    let note = direct_latency_note(options)?;
    let mut reports: Vec<RoleReport> = reports.into_iter().map(|held| held.report).collect();
    for report in &mut reports {
        report.figures.retain(|figure| !figure.points.is_empty());
        report.notes.push(note.clone());
        report.resident_bytes = measure::resident_bytes();
    }
    Ok(reports)
}

/// The report of a series, which is added if there is none yet.
fn report_of(reports: &mut Vec<SeriesReport>, series: CaseSeries) -> &mut RoleReport {
    let existing = reports.iter().position(|held| held.series == series);
    let index = existing.unwrap_or_else(|| {
        let report = empty_report(series);
        reports.push(SeriesReport { series, report });
        reports.len() - 1
    });
    &mut reports[index].report
}

fn empty_report(series: CaseSeries) -> RoleReport {
    let version = if series.before { "before" } else { "now" };
    let division = match series.division {
        Division::Unnamed => "all servers in one service",
        Division::LongTail => "17 servers a service in the mean",
    };
    let varied = if series.tenants_varied {
        "tenants"
    } else {
        "servers"
    };
    RoleReport {
        role: format!("daemon, {version}, {division}"),
        varied: varied.into(),
        figures: empty_figures(),
        notes: Vec::new(),
        resident_bytes: 0,
    }
}
