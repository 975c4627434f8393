//! What is measured on the daemon, and the runtimes of a measurement.

use super::load::{Routes, TenantLoad};
use super::platform::LoopbackPlatform;
use super::servers::ServerOptions;
use crate::platform_settings;
use crate::runtime::single_thread_runtime;
use crate::scale::run_options::RunOptions;
use crate::scale::targets;
use crate::scale::topology::ServiceTopology;
use serde_json::Value;
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Ingresses that the settings name.
pub(super) const PLANNED_INGRESSES: u32 = targets::INGRESSES as u32;
/// Quota of each tenant, so high that no request is rejected for it.
const QUOTA_UNITS_PER_SECOND: f64 = 1000.0;
/// Tenants at the planned size.
pub(super) const ALL_TENANTS: u64 = targets::TENANTS as u64;
/// Tenants where their number is not varied.
pub(super) const DEFAULT_TENANTS: u64 = 1_000;
/// Time after a load or a start until the work that they leave behind is done.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(500);

/// What is measured.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// An earlier version of it, measured alternately with the other.
    pub baseline_daemon: Option<PathBuf>,
    /// Are 1 and all tenants measured at the largest size too?
    pub all_tenants: bool,
    /// Does the daemon have a shared counter?
    pub has_counter: bool,
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
    pub(super) fn server_options(&self) -> ServerOptions {
        ServerOptions {
            service_time: Duration::ZERO,
            close_after_response: self.servers_close,
        }
    }

    /// Starts a platform of these servers.
    pub(super) fn start_platform(
        &self,
        topology: &ServiceTopology,
        runtimes: &Runtimes,
    ) -> io::Result<LoopbackPlatform> {
        runtimes.platform.block_on(LoopbackPlatform::start(
            topology,
            self.server_options(),
            self.has_counter,
        ))
    }

    /// The platform's settings for one of the planned ingresses.
    pub(super) fn settings(&self) -> Value {
        self.settings_for(PLANNED_INGRESSES)
    }

    /// The platform's settings for one of this many ingresses.
    pub(super) fn settings_for(&self, ingresses: u32) -> Value {
        let mut settings = platform_settings::settings_for(ingresses, QUOTA_UNITS_PER_SECOND);
        settings["Ceilings"]["Probes"] = self.health_checks.into();
        settings
    }

    /// A load of all services.
    pub(super) fn load(&self, topology: &ServiceTopology, seed: u64) -> TenantLoad {
        TenantLoad {
            rate: self.rate,
            tenants: DEFAULT_TENANTS,
            ingress_count: self.ingress_count,
            idempotent: true,
            seed,
            routes: Routes::of_all(topology),
        }
    }
}

/// The runtimes of the platform and of the clients, each with a thread of its own.
pub(super) struct Runtimes {
    /// Of the fakes.
    pub platform: Runtime,
    /// Of the clients.
    pub clients: Runtime,
}

impl Runtimes {
    pub(super) fn start() -> io::Result<Runtimes> {
        Ok(Runtimes {
            platform: single_thread_runtime("platform")?,
            clients: single_thread_runtime("clients")?,
        })
    }
}
