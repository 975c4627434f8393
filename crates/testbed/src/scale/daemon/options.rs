//! The options of measurements of the daemon, and the runtimes that they use.

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

/// The planned number of ingresses, which the platform's settings state by default.
pub(super) const PLANNED_INGRESSES: u32 = targets::INGRESSES as u32;
/// Quota of each tenant: high enough that no request is rejected because of it.
const QUOTA_UNITS_PER_SECOND: f64 = 1000.0;
/// The number of tenants at the planned size.
pub(super) const ALL_TENANTS: u64 = targets::TENANTS as u64;
/// The number of tenants in cases that do not vary it.
pub(super) const DEFAULT_TENANTS: u64 = 1_000;
/// Time for the daemon to finish its remaining work after its start, a load or a change.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(500);

/// The options of measurements of the daemon.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Path of an earlier version of the daemon, measured alternately with the current one.
    pub baseline_daemon: Option<PathBuf>,
    /// Whether 1 tenant and all tenants are measured too, at the largest size.
    pub all_tenants: bool,
    /// Whether the daemon has a shared counter.
    pub has_counter: bool,
    /// Whether the platform's settings allow health checks of servers.
    pub health_checks: bool,
    /// Whether servers close a connection after they have responded to a request on it, so that
    /// each request needs a new connection.
    pub servers_close: bool,
    /// Requests per second.
    pub rate: f64,
    /// The number of ingresses that each tenant's requests are spread over; with 1, the ingress
    /// needs no shared counter.
    pub ingress_count: u32,
    /// The options that all roles share: sizes are numbers of servers, `seconds` is the real
    /// duration of a load, and `services` adds cases with the servers divided into services.
    pub run: RunOptions,
}

impl DaemonOptions {
    /// Returns the options of the servers, which respond without delay.
    pub(super) fn server_options(&self) -> ServerOptions {
        ServerOptions {
            service_time: Duration::ZERO,
            close_after_response: self.servers_close,
        }
    }

    /// Starts a platform with the servers of this topology.
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

    /// Returns the platform's settings for an ingress among the planned number of ingresses.
    pub(super) fn settings(&self) -> Value {
        self.settings_for(PLANNED_INGRESSES)
    }

    /// Returns the platform's settings for an ingress among `ingresses` ingresses.
    pub(super) fn settings_for(&self, ingresses: u32) -> Value {
        let mut settings = platform_settings::settings_for(ingresses, QUOTA_UNITS_PER_SECOND);
        settings["Ceilings"]["Probes"] = self.health_checks.into();
        settings
    }

    /// Returns a load on all services.
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

/// The runtimes of the platform and of the clients, each with its own thread.
pub(super) struct Runtimes {
    /// Runs the servers, discovery and the counter.
    pub platform: Runtime,
    /// Runs the clients.
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
