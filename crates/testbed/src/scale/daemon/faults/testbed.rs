//! A daemon on a loopback platform, with one load on the victim (the service with the fault) and
//! another load on all other services.

use super::finding::{Fault, Finding};
use crate::checker::{Event, Observation};
use crate::client_load::LoadOutcome;
use crate::scale::daemon::load::{Routes, TenantLoad};
use crate::scale::daemon::measured_daemon::MeasuredDaemon;
use crate::scale::daemon::options::{DaemonOptions, Runtimes, PLANNED_INGRESSES, SETTLE_TIME};
use crate::scale::daemon::platform::LoopbackPlatform;
use crate::scale::daemon::sample::latency_ms;
use crate::scale::daemon::servers::ServerOptions;
use crate::scale::topology::{target, Service, ServiceTopology};
use serde_json::Value;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;

/// The number of servers of the small platform that faults are injected into.
pub(super) const SERVERS: u32 = 340;
/// The number of services of the small platform.
const SERVICES: u32 = 20;
/// The number of servers of the largest service.
pub(super) const LARGEST_SERVICE_SERVERS: u32 = 60;
/// The number of routes of the small platform.
const ROUTES: u32 = 60;
/// The index of the service with the fault, which is the largest service.
const VICTIM_SERVICE: u32 = 0;
/// Requests per second to the victim.
const VICTIM_RATE: f64 = 100.0;
/// Requests per second to all other services together.
pub(super) const OTHER_SERVICES_RATE: f64 = 256.0;
/// The number of tenants that send requests.
const TENANTS: u64 = 400;
/// Time that a server takes to execute a request.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Duration of the load before a fault.
pub(super) const WARM_UP: Duration = Duration::from_secs(4);
/// The maximum ratio of the other services' p99 with the fault to that without it.
const MAX_P99_RATIO: f64 = 1.2;

/// A running daemon and platform with the loads of a fault test.
pub(super) struct FaultTestbed {
    /// The platform's services.
    pub topology: ServiceTopology,
    // Dropped before the daemon, so that clients end before it drains.
    runtimes: Runtimes,
    /// The fake platform.
    pub platform: LoopbackPlatform,
    /// The daemon under test.
    pub daemon: MeasuredDaemon,
    /// The load on the victim.
    pub victim: TenantLoad,
    /// The load on all other services.
    other_services: TenantLoad,
    /// Real duration of one load.
    length: Duration,
    /// The number of pairs of loads, without and with the fault, in a comparison.
    repeats: usize,
}

impl FaultTestbed {
    /// Starts a small platform and a daemon whose settings state the planned number of ingresses.
    pub(super) fn start(options: &DaemonOptions) -> io::Result<FaultTestbed> {
        FaultTestbed::start_with_ingresses(PLANNED_INGRESSES, options)
    }

    /// Starts a small platform and a daemon whose settings state this number of ingresses.
    pub(super) fn start_with_ingresses(
        ingresses: u32,
        options: &DaemonOptions,
    ) -> io::Result<FaultTestbed> {
        let topology =
            ServiceTopology::long_tail(SERVERS, SERVICES, LARGEST_SERVICE_SERVERS, ROUTES);
        FaultTestbed::start_with_topology(options, topology, ingresses)
    }

    /// Starts a testbed and sends requests to all services until they are warmed up.
    pub(super) fn start_warm(options: &DaemonOptions) -> io::Result<FaultTestbed> {
        let testbed = FaultTestbed::start(options)?;
        let victim = testbed.spawn_load(&testbed.victim, WARM_UP);
        let other_services = testbed.spawn_load(&testbed.other_services, WARM_UP);
        testbed.wait(victim);
        testbed.wait(other_services);
        Ok(testbed)
    }

    /// Starts a platform of this topology and a daemon whose settings state this number of
    /// ingresses.
    pub(super) fn start_with_topology(
        options: &DaemonOptions,
        topology: ServiceTopology,
        ingresses: u32,
    ) -> io::Result<FaultTestbed> {
        let runtimes = Runtimes::start()?;
        let server_options = ServerOptions {
            service_time: SERVICE_TIME,
            close_after_response: false,
        };
        let platform = runtimes.platform.block_on(LoopbackPlatform::start(
            &topology,
            server_options,
            options.has_counter,
        ))?;
        let settings = options.settings_for(ingresses);
        let daemon = MeasuredDaemon::start(&options.daemon, &topology, &platform, &settings)?;
        let services = topology.services.len() as u32;
        let victim_routes = Routes::of(&topology, VICTIM_SERVICE..VICTIM_SERVICE + 1);
        let other_routes = Routes::of(&topology, VICTIM_SERVICE + 1..services);
        Ok(FaultTestbed {
            topology,
            platform,
            daemon,
            victim: load(options, VICTIM_RATE, 1, victim_routes),
            other_services: load(options, OTHER_SERVICES_RATE, 2, other_routes),
            length: Duration::from_secs(options.run.seconds),
            repeats: options.run.repeats,
            runtimes,
        })
    }

    /// Returns a load on all services, at `rate` requests per second.
    pub(super) fn load_on_all_services(
        &self,
        options: &DaemonOptions,
        rate: f64,
        seed_offset: u64,
    ) -> TenantLoad {
        load(options, rate, seed_offset, Routes::of_all(&self.topology))
    }

    /// Returns the address of the daemon.
    fn address(&self) -> SocketAddr {
        self.daemon.daemon.address
    }

    /// Returns the real duration of one load.
    pub(super) fn length(&self) -> Duration {
        self.length
    }

    /// Generates a load in the background; its requests are recorded in the history.
    pub(super) fn spawn_load(
        &self,
        load: &TenantLoad,
        length: Duration,
    ) -> JoinHandle<LoadOutcome> {
        let load = load.clone();
        let address = self.address();
        let history = self.platform.servers.history.clone();
        self.runtimes.clients.spawn(async move {
            load.generate_recorded(address, length, Some(&history))
                .await
        })
    }

    /// Generates a load in the background for [`FaultTestbed::length`], and ignores its outcome.
    pub(super) fn spawn_detached_load(&self, load: &TenantLoad) {
        drop(self.spawn_load(load, self.length));
    }

    /// Waits for a load to end and returns its outcome.
    pub(super) fn wait(&self, load_task: JoinHandle<LoadOutcome>) -> LoadOutcome {
        // The outcome of a load that panicked has no requests.
        self.runtimes
            .clients
            .block_on(load_task)
            .unwrap_or_default()
    }

    /// Returns the service with the fault.
    pub(super) fn victim_service(&self) -> Service {
        self.topology.services[VICTIM_SERVICE as usize]
    }

    /// Publishes a state of all the victim's servers through discovery. `boot_ms` returns the boot
    /// time (Unix time in milliseconds) of the server with a given number.
    pub(super) fn send_victim_state(&self, state: &str, boot_ms: impl Fn(usize) -> f64) {
        let service = self.victim_service();
        let servers = service.addresses().enumerate();
        let targets: Vec<Value> = servers
            .map(|(number, address)| target(address, self.platform.port, state, boot_ms(number)))
            .collect();
        self.platform.discovery.send_change(&targets);
    }

    /// Returns what clients and servers have observed so far.
    pub(super) fn events(&self) -> Vec<Event> {
        self.platform.servers.history.events()
    }

    /// Returns the numbers of attempts at the victim's servers from `first_event` of the history
    /// on, by the slot of the server's address.
    pub(super) fn attempts_at_victim(&self, first_event: usize) -> HashMap<usize, u64> {
        let slots: Vec<usize> = self
            .victim_service()
            .addresses()
            .filter_map(ServiceTopology::slot)
            .collect();
        let mut attempts = HashMap::new();
        for event in &self.events()[first_event..] {
            if let Observation::AttemptStarted(slot) = event.observation {
                if slots.contains(&slot) {
                    *attempts.entry(slot).or_default() += 1;
                }
            }
        }
        attempts
    }

    /// Generates the load on the other services without and with the fault in turn. `set_fault` is
    /// called with `true` to inject the fault and with `false` to remove it.
    pub(super) fn compare(&self, mut set_fault: impl FnMut(bool)) -> PairedOutcomes {
        let mut outcomes = PairedOutcomes::default();
        for pair in 0..self.repeats as u64 {
            let run_load = |turn| {
                let seed = self.other_services.seed + 2 * pair + turn + 10;
                self.wait(self.spawn_load(&self.other_services.with_seed(seed), self.length))
            };
            outcomes.without_fault.push(run_load(0));
            set_fault(true);
            outcomes.with_fault.push(run_load(1));
            set_fault(false);
            std::thread::sleep(SETTLE_TIME);
        }
        outcomes
    }
}

fn load(options: &DaemonOptions, rate: f64, seed_offset: u64, routes: Routes) -> TenantLoad {
    TenantLoad {
        rate,
        tenants: TENANTS,
        ingress_count: options.ingress_count,
        idempotent: true,
        seed: options.run.seed + seed_offset,
        routes,
    }
}

/// The outcomes of the load on the other services without and with the fault, pair by pair.
#[derive(Default)]
pub(super) struct PairedOutcomes {
    without_fault: Vec<LoadOutcome>,
    with_fault: Vec<LoadOutcome>,
}

fn p99_ms(outcome: &LoadOutcome) -> f64 {
    latency_ms(outcome, 0.99)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn median_p99_ms(outcomes: &[LoadOutcome]) -> f64 {
    median(outcomes.iter().map(p99_ms).collect())
}

/// Returns the number of requests that were not served.
fn not_served(outcomes: &[LoadOutcome]) -> u64 {
    let not_served = outcomes
        .iter()
        .map(|outcome| outcome.requests - outcome.served);
    not_served.sum()
}

impl PairedOutcomes {
    /// Returns findings on whether the other services' requests are served, in about the same time.
    pub(super) fn findings(&self, fault: Fault) -> Vec<Finding> {
        vec![self.all_served(fault), self.p99_unchanged(fault)]
    }

    fn all_served(&self, fault: Fault) -> Finding {
        let requests: u64 = self.with_fault.iter().map(|outcome| outcome.requests).sum();
        let without = not_served(&self.without_fault);
        let with = not_served(&self.with_fault);
        fault.finding(
            "every request to the other services is served",
            format!("{with} of {requests} not served ({without} without the fault)"),
            with == 0,
        )
    }

    fn p99_unchanged(&self, fault: Fault) -> Finding {
        let pairs = self.without_fault.iter().zip(&self.with_fault);
        let ratios = pairs.map(|(without, with)| p99_ms(with) / p99_ms(without).max(0.001));
        let ratio = median(ratios.collect());
        let without = median_p99_ms(&self.without_fault);
        let with = median_p99_ms(&self.with_fault);
        Finding {
            timed: true,
            ..fault.finding(
                format!("p99 of the other services is at most {MAX_P99_RATIO} times that without the fault"),
                format!("{ratio:.2} times ({without:.2} ms without the fault, {with:.2} ms with it)"),
                ratio <= MAX_P99_RATIO,
            )
        }
    }
}
