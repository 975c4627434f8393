//! A daemon among the fakes, with a load of the service that has the fault, and one of all others.

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

/// Servers of a small platform.
pub(super) const SERVERS: u32 = 340;
const SERVICES: u32 = 20;
/// Servers of the largest service.
pub(super) const LARGEST_SERVICE_SERVERS: u32 = 60;
const ROUTES: u32 = 60;
/// The service that the fault is of, which is the largest.
const VICTIM: u32 = 0;
/// Requests a second of the victim.
const VICTIM_RATE: f64 = 100.0;
/// Requests a second of all others together.
pub(super) const OTHER_SERVICES_RATE: f64 = 256.0;
const TENANTS: u64 = 400;
/// Time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Load before a fault.
pub(super) const WARM_UP: Duration = Duration::from_secs(4);
/// Largest p99 of the others, as a multiple of that without the fault.
const MAX_P99_RATIO: f64 = 1.2;

pub(super) struct FaultTestbed {
    /// The platform's services.
    pub topology: ServiceTopology,
    // Dropped before the daemon: clients end before it drains.
    runtimes: Runtimes,
    /// The fakes.
    pub platform: LoopbackPlatform,
    /// The daemon.
    pub daemon: MeasuredDaemon,
    /// The load of the victim.
    pub victim: TenantLoad,
    other_services: TenantLoad,
    /// Real time of one load.
    length: Duration,
    /// Pairs of loads in a comparison.
    repeats: usize,
}

impl FaultTestbed {
    /// A daemon whose settings name the planned number of ingresses.
    pub(super) fn start(options: &DaemonOptions) -> io::Result<FaultTestbed> {
        FaultTestbed::start_with_ingresses(PLANNED_INGRESSES, options)
    }

    /// A daemon whose settings name this many ingresses.
    pub(super) fn start_with_ingresses(
        ingresses: u32,
        options: &DaemonOptions,
    ) -> io::Result<FaultTestbed> {
        let topology =
            ServiceTopology::long_tail(SERVERS, SERVICES, LARGEST_SERVICE_SERVERS, ROUTES);
        FaultTestbed::start_with_topology(options, topology, ingresses)
    }

    /// A daemon whose services have been in use for a while.
    pub(super) fn start_warm(options: &DaemonOptions) -> io::Result<FaultTestbed> {
        let testbed = FaultTestbed::start(options)?;
        let victim = testbed.spawn_load(&testbed.victim, WARM_UP);
        let other_services = testbed.spawn_load(&testbed.other_services, WARM_UP);
        testbed.wait(victim);
        testbed.wait(other_services);
        Ok(testbed)
    }

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
        let victim_routes = Routes::of(&topology, VICTIM..VICTIM + 1);
        let other_routes = Routes::of(&topology, VICTIM + 1..services);
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

    /// A load of all services.
    pub(super) fn load_on_all_services(
        &self,
        options: &DaemonOptions,
        rate: f64,
        seed_offset: u64,
    ) -> TenantLoad {
        load(options, rate, seed_offset, Routes::of_all(&self.topology))
    }

    fn address(&self) -> SocketAddr {
        self.daemon.daemon.address
    }

    /// Real time of one load.
    pub(super) fn length(&self) -> Duration {
        self.length
    }

    /// Plays a load beside what follows.
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

    /// Plays a load beside what follows, without waiting for its end.
    pub(super) fn spawn_detached_load(&self, load: &TenantLoad) {
        drop(self.spawn_load(load, self.length));
    }

    pub(super) fn wait(&self, load_task: JoinHandle<LoadOutcome>) -> LoadOutcome {
        // A load that panicked shows as one without requests.
        self.runtimes
            .clients
            .block_on(load_task)
            .unwrap_or_default()
    }

    pub(super) fn victim_service(&self) -> Service {
        self.topology.services[VICTIM as usize]
    }

    /// Has discovery send this state of the victim's servers; `boot_ms` gets the number of each.
    pub(super) fn send_victim_state(&self, state: &str, boot_ms: impl Fn(usize) -> f64) {
        let service = self.victim_service();
        let servers = service.addresses().enumerate();
        let targets: Vec<Value> = servers
            .map(|(number, address)| target(address, self.platform.port, state, boot_ms(number)))
            .collect();
        self.platform.discovery.send_change(&targets);
    }

    /// What clients and servers observed so far.
    pub(super) fn events(&self) -> Vec<Event> {
        self.platform.servers.history.events()
    }

    /// Attempts at the victim's servers since this many events, by the number of their address.
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

    /// Plays the load of the others without and with a fault in turn; `set_fault` puts it on and
    /// off.
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

/// The outcomes of the others without and with a fault, pair by pair.
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

fn not_served(outcomes: &[LoadOutcome]) -> u64 {
    let not_served = outcomes
        .iter()
        .map(|outcome| outcome.requests - outcome.served);
    not_served.sum()
}

impl PairedOutcomes {
    /// The others are served, in about the same time.
    pub(super) fn findings(&self, fault: Fault) -> Vec<Finding> {
        vec![self.all_served(fault), self.p99_unchanged(fault)]
    }

    fn all_served(&self, fault: Fault) -> Finding {
        let requests: u64 = self.with_fault.iter().map(|outcome| outcome.requests).sum();
        let without = not_served(&self.without_fault);
        let with = not_served(&self.with_fault);
        fault.finding(
            "every request of the others is served",
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
                format!("p99 of the others within {MAX_P99_RATIO} times"),
                format!("{ratio:.2} times ({without:.2} ms, {with:.2} ms)"),
                ratio <= MAX_P99_RATIO,
            )
        }
    }
}
