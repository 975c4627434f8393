//! A simulated ingress: the engine, its pending results, and its virtual time.

use super::environment::{exponential, SimulatedEnvironment};
use super::pending::Pending;
use super::traffic::{Demand, RequestLoad, Traffic};
use crate::platform_settings;
use crate::scale::endpoint_set::EndpointSet;
use roseyard_decision::{CustomerId, Settings};
use roseyard_ingress::protocol::list;
use roseyard_platform_config::PlatformSettings;
use roseyard_request_engine::{EndpointListMessage, EngineLimits, RequestEngine, Submission};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The Unix time at which virtual time begins, in milliseconds.
pub const VIRTUAL_START_UNIX_MS: u64 = 3_600_000;
/// The time from the arrival of a request to its deadline.
const REQUEST_TIME_LEFT: Duration = Duration::from_millis(2000);
const REQUEST_BYTES: usize = 200;
const ENGINE_LIMITS: EngineLimits = EngineLimits {
    requests: 200_000,
    bytes: 64 << 20,
};

/// Returns the platform's settings for the ingress with this index in a fleet of `ingresses`.
#[must_use]
pub fn settings_of_ingress(ingresses: usize, number: usize) -> PlatformSettings {
    let mut settings = platform_settings::settings();
    settings["Balancers"] = ingresses.into();
    settings["Me"] = number.into();
    PlatformSettings::parse(settings.to_string().as_bytes()).expect("the testbed's settings parse")
}

/// An ingress without sockets, which runs in virtual time.
pub struct SimulatedIngress {
    /// The request engine of the ingress.
    pub engine: RequestEngine<(), (), ()>,
    /// The traffic since the statistics were last reset.
    pub traffic: Traffic,
    pub(super) endpoints: Arc<EndpointSet>,
    pub(super) number: usize,
    ingress_count: u32,
    pub(super) now: Duration,
    pub(super) pending: BTreeMap<(Duration, u64), Pending>,
    pub(super) pending_serial: u64,
    random: fastrand::Rng,
    next_request_at: Option<Duration>,
    pub(super) counter_call: Vec<u8>,
}

impl SimulatedIngress {
    /// Creates the ingress with index `number` in a fleet of `ingresses`. It has the services, but
    /// no servers until it receives an endpoint list.
    #[must_use]
    pub fn new(
        endpoints: &Arc<EndpointSet>,
        ingresses: usize,
        number: usize,
        seed: u64,
    ) -> SimulatedIngress {
        let settings: Settings = settings_of_ingress(ingresses, number)
            .decision_settings()
            .expect("the testbed's settings are complete");
        let seed = seed
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .wrapping_add(number as u64);
        let ingress_count = settings.ingress_count;
        let mut engine = RequestEngine::new(settings, seed, ENGINE_LIMITS)
            .expect("the testbed's settings can be served");
        if let Some(directory) = endpoints.directory() {
            engine
                .set_directory(&directory)
                .expect("the testbed's directory is valid");
        }
        SimulatedIngress {
            engine,
            traffic: Traffic::default(),
            endpoints: Arc::clone(endpoints),
            number,
            ingress_count,
            now: Duration::ZERO,
            pending: BTreeMap::new(),
            pending_serial: 0,
            random: fastrand::Rng::with_seed(seed ^ 0x5eed),
            next_request_at: None,
            counter_call: Vec::new(),
        }
    }

    /// Returns the virtual time that this ingress has reached.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Decodes and applies a line of the watch, which is given without the line feed.
    pub fn receive_line(&mut self, line: &[u8], environment: &mut SimulatedEnvironment) {
        self.traffic.list_bytes_in += line.len() as u64 + 1;
        let mut lists = list::ListSplitter::default();
        let mut found = Vec::new();
        lists.feed(line, &mut found);
        lists.feed(b"\n", &mut found);
        for mut text in found {
            let message = list::decode(&mut text).expect("a line of the testbed decodes");
            self.apply_endpoint_list(&message, environment);
        }
    }

    /// Applies a decoded endpoint list.
    pub fn apply_endpoint_list(
        &mut self,
        message: &EndpointListMessage,
        environment: &mut SimulatedEnvironment,
    ) {
        let virtual_time = |unix_ms: f64| {
            (unix_ms > 0.0).then(|| {
                Duration::from_millis((unix_ms as u64).saturating_sub(VIRTUAL_START_UNIX_MS))
            })
        };
        self.engine.apply_endpoint_list(message, &[], virtual_time);
        self.process_outputs(environment);
    }

    /// Receives a request of a tenant for a random service.
    pub fn request(&mut self, tenant: u64, demand: Demand, environment: &mut SimulatedEnvironment) {
        let route = match demand {
            Demand::ByServers => {
                let server = self.random.usize(0..self.endpoints.servers());
                self.endpoints.route_to(server)
            }
            Demand::Even => {
                let service = self.random.usize(0..self.endpoints.services());
                self.endpoints.route(service)
            }
        };
        let Some(service) = self.engine.directory().service_of_route(route) else {
            self.traffic.rejected += 1;
            return;
        };
        let submission = Submission {
            service,
            owner: (),
            class: 0,
            plan: 0,
            customer: CustomerId(tenant),
            units: 1.0,
            ingress_count: self.ingress_count,
            time_left: REQUEST_TIME_LEFT,
            is_retry: false,
            command: (),
            bytes: REQUEST_BYTES,
        };
        if self.engine.submit(submission).is_err() {
            self.traffic.rejected += 1;
        }
        self.process_outputs(environment);
    }

    /// Runs until a virtual time; without new requests if `load` is `None`.
    pub fn run(
        &mut self,
        until: Duration,
        load: Option<RequestLoad>,
        environment: &mut SimulatedEnvironment,
    ) {
        loop {
            let request_at = load.map(|load| self.next_request_at(load));
            let pending_at = self.pending.keys().next().map(|(at, _)| *at);
            let next = [request_at, pending_at, self.engine.due()]
                .into_iter()
                .flatten()
                .min();
            let Some(next) = next.filter(|next| *next <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if self.engine.due().is_some_and(|due| due <= self.now) {
                self.engine.on_due();
                self.process_outputs(environment);
            }
            let first = self.pending.first_entry();
            if let Some(entry) = first.filter(|entry| entry.key().0 <= self.now) {
                let pending = entry.remove();
                self.finish(pending, environment);
            }
            if let Some(load) = load.filter(|_| request_at.is_some_and(|at| at <= self.now)) {
                self.next_request_at = None;
                let tenant = self.random.usize(0..load.tenants) as u64;
                self.request(tenant, load.demand, environment);
            }
        }
        self.now = until;
    }

    fn next_request_at(&mut self, load: RequestLoad) -> Duration {
        let gap = exponential(&mut self.random, 1.0 / load.rate);
        *self.next_request_at.get_or_insert(self.now + gap)
    }
}
