//! A hollow ingress: the real engine with its decision module and its list, and the real codecs,
//! without sockets and in virtual time. What would go over a socket is encoded and counted.

use super::endpoint_set::EndpointSet;
use crate::platform_settings;
use roseyard_decision::{CounterKey, CounterResult, CustomerId, EndpointId, Outcome, Settings};
use roseyard_ingress::protocol::{http, list};
use roseyard_platform_config::PlatformSettings;
use roseyard_request_engine::{
    AttemptResult, EngineLimits, Key, Output, RequestEngine, Response, Submission,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

const COUNTER: &str = "127.0.0.1:6400";
const COUNTER_TAKES: Duration = Duration::from_millis(1);
const REFUSED_AFTER: Duration = Duration::from_micros(200);
const CONNECT_GIVEN_UP: Duration = Duration::from_millis(250);
const MEAN_SERVICE_TIME: f64 = 0.020;
const TIME_LEFT: Duration = Duration::from_millis(2000);
const REQUEST_BYTES: usize = 200;

/// The platform's settings for one of so many ingresses.
pub fn options(ingresses: usize, number: usize) -> PlatformSettings {
    let mut settings = platform_settings::settings();
    settings["Balancers"] = ingresses.into();
    settings["Me"] = number.into();
    PlatformSettings::parse(settings.to_string().as_bytes()).expect("the lab's settings are whole")
}

/// What has gone in and out of an ingress, and what became of its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls to the counter.
    pub counter_calls: u64,
    /// Their bytes.
    pub counter_bytes_out: u64,
    /// Bytes of the answers.
    pub counter_bytes_in: u64,
    /// Bytes of lists.
    pub list_bytes_in: u64,
    /// Attempts begun at servers.
    pub attempts: u64,
    /// Of these, such that found nobody listening.
    pub failed_attempts: u64,
    /// Probes begun at servers.
    pub probes: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
}

impl std::ops::AddAssign for Traffic {
    fn add_assign(&mut self, other: Traffic) {
        self.counter_calls += other.counter_calls;
        self.counter_bytes_out += other.counter_bytes_out;
        self.counter_bytes_in += other.counter_bytes_in;
        self.list_bytes_in += other.list_bytes_in;
        self.attempts += other.attempts;
        self.failed_attempts += other.failed_attempts;
        self.probes += other.probes;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }
}

/// An attempt as its server has seen it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: Duration,
    /// From which ingress.
    pub ingress: usize,
    /// At which server.
    pub server: usize,
}

/// Two regions that cannot reach each other: the first has the ingresses and servers of lower
/// numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Ingresses of the first region.
    pub ingresses: usize,
    /// Servers of the first region.
    pub servers: usize,
}

impl Split {
    fn parts(self, arrival: Arrival) -> bool {
        (arrival.ingress < self.ingresses) != (arrival.server < self.servers)
    }
}

/// What is around the ingresses: the counter's totals, the servers, and what the servers have seen.
pub struct SimulatedEnvironment {
    rng: fastrand::Rng,
    totals: HashMap<CounterKey, f64>,
    /// Servers that listen no more.
    pub down: HashSet<usize>,
    /// Regions that cannot reach each other, if any.
    pub split: Option<Split>,
    /// What came to the servers, if it is to be kept.
    pub arrivals: Option<Vec<Arrival>>,
}

impl SimulatedEnvironment {
    /// One in which everything runs.
    pub fn new(seed: u64) -> SimulatedEnvironment {
        let rng = fastrand::Rng::with_seed(seed);
        SimulatedEnvironment {
            rng,
            totals: HashMap::new(),
            down: HashSet::new(),
            split: None,
            arrivals: None,
        }
    }

    /// Takes an attempt in: how long it will take, and how it will end.
    fn attempt(&mut self, arrival: Arrival) -> (Duration, Outcome) {
        if let Some(arrivals) = &mut self.arrivals {
            arrivals.push(arrival);
        }
        if self.down.contains(&arrival.server) {
            return (REFUSED_AFTER, Outcome::ConnectFailed);
        }
        if self.split.is_some_and(|split| split.parts(arrival)) {
            return (CONNECT_GIVEN_UP, Outcome::ConnectFailed);
        }
        (exponential(&mut self.rng, MEAN_SERVICE_TIME), Outcome::Ok)
    }

    fn add(&mut self, name: CounterKey, amount: f64) -> f64 {
        let total = self.totals.entry(name).or_default();
        *total += amount;
        *total
    }
}

fn exponential(rng: &mut fastrand::Rng, mean: f64) -> Duration {
    Duration::from_secs_f64(-mean * (1.0 - rng.f64()).ln())
}

/// Which service a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// A service is asked the more the more servers it has.
    ByServers,
    /// All services are asked alike.
    Even,
}

/// What clients ask of one ingress.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests a second.
    pub rate: f64,
    /// Tenants that they come from, evenly.
    pub tenants: usize,
    /// Which services they are for.
    pub demand: Demand,
}

enum Pending {
    Counted {
        name: CounterKey,
        total: f64,
        made: Duration,
    },
    Ended {
        request: Key,
        attempt: u16,
        outcome: Outcome,
    },
    Probed {
        server: EndpointId,
        outcome: Outcome,
    },
}

/// One ingress without sockets.
pub struct SimulatedIngress {
    /// The engine.
    pub engine: RequestEngine<(), (), ()>,
    /// What has gone in and out.
    pub traffic: Traffic,
    endpoint_set: Arc<EndpointSet>,
    number: usize,
    ingress_count: u32,
    now: Duration,
    pending: BTreeMap<(Duration, u64), Pending>,
    serial: u64,
    rng: fastrand::Rng,
    next_request: Option<Duration>,
    scratch: Vec<u8>,
}

impl SimulatedIngress {
    /// Number `number` of so many ingresses, which knows the services and has heard of no server
    /// yet.
    pub fn new(
        endpoint_set: &Arc<EndpointSet>,
        ingresses: usize,
        number: usize,
        seed: u64,
    ) -> SimulatedIngress {
        let settings: Settings = options(ingresses, number)
            .settings()
            .expect("the lab's settings are whole");
        let bounds = EngineLimits {
            requests: 200_000,
            bytes: 64 << 20,
        };
        let seed = seed
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .wrapping_add(number as u64);
        let ingress_count = settings.ingress_count;
        let mut engine =
            RequestEngine::new(settings, seed, bounds).expect("the lab's settings can be served");
        if let Some(directory) = endpoint_set.directory() {
            engine
                .set_directory(&directory)
                .expect("the lab's own directory is sound");
        }
        SimulatedIngress {
            engine,
            traffic: Traffic::default(),
            endpoint_set: Arc::clone(endpoint_set),
            number,
            ingress_count,
            now: Duration::ZERO,
            pending: BTreeMap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            next_request: None,
            scratch: Vec::new(),
        }
    }

    /// The virtual time that this ingress has reached.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Takes in a line of the watch, as its bytes come.
    pub fn receive_line(&mut self, line: &[u8], environment: &mut SimulatedEnvironment) {
        self.traffic.list_bytes_in += line.len() as u64 + 1;
        let (mut lists, mut found) = (list::Lists::default(), Vec::new());
        lists.take(line, &mut found);
        lists.take(b"\n", &mut found);
        for mut text in found {
            let decoded = list::decode(&mut text).expect("a line of the lab's own");
            self.apply_endpoint_list(&decoded, environment);
        }
    }

    /// Takes in a list that is decoded already.
    pub fn apply_endpoint_list(
        &mut self,
        decoded: &roseyard_request_engine::EndpointListMessage,
        environment: &mut SimulatedEnvironment,
    ) {
        // Unix times of the lab begin with its virtual time, one hour in.
        let started = |ms: f64| {
            (ms > 0.0)
                .then(|| Duration::from_millis((ms as u64).saturating_sub(VIRTUAL_START_UNIX_MS)))
        };
        self.engine.apply_endpoint_list(decoded, &[], started);
        self.carry_out(environment);
    }

    /// One request of a tenant comes.
    pub fn request(&mut self, tenant: u64, demand: Demand, environment: &mut SimulatedEnvironment) {
        let route = match demand {
            Demand::ByServers => self
                .endpoint_set
                .route_to(self.rng.usize(0..self.endpoint_set.servers())),
            Demand::Even => self
                .endpoint_set
                .route(self.rng.usize(0..self.endpoint_set.services())),
        };
        let Some(service) = self.engine.directory().service_of_route(route) else {
            self.traffic.rejected += 1;
            return;
        };
        let ask = Submission {
            service,
            owner: (),
            class: 0,
            plan: 0,
            customer: CustomerId(tenant),
            units: 1.0,
            ingress_count: self.ingress_count,
            time_left: TIME_LEFT,
            is_retry: false,
            command: (),
            bytes: REQUEST_BYTES,
        };
        if self.engine.submit(ask).is_err() {
            self.traffic.rejected += 1;
        }
        self.carry_out(environment);
    }

    /// Goes on to a time, under this load if any.
    pub fn run(
        &mut self,
        until: Duration,
        load: Option<Load>,
        environment: &mut SimulatedEnvironment,
    ) {
        loop {
            let request = load.map(|load| {
                let gap = exponential(&mut self.rng, 1.0 / load.rate);
                *self.next_request.get_or_insert(self.now + gap)
            });
            let pending = self.pending.keys().next().map(|(at, _)| *at);
            let next = [request, pending, self.engine.due()]
                .into_iter()
                .flatten()
                .min();
            let Some(next) = next.filter(|next| *next <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if self.engine.due().is_some_and(|due| due <= self.now) {
                self.engine.on_due();
                self.carry_out(environment);
            }
            if let Some(entry) = self.pending.first_entry().filter(|e| e.key().0 <= self.now) {
                let pending = entry.remove();
                self.finish(pending, environment);
            }
            if let Some(load) = load.filter(|_| request.is_some_and(|at| at <= self.now)) {
                self.next_request = None;
                let tenant = self.rng.usize(0..load.tenants) as u64;
                self.request(tenant, load.demand, environment);
            }
        }
        self.now = until;
    }

    fn finish(&mut self, pending: Pending, environment: &mut SimulatedEnvironment) {
        match pending {
            Pending::Counted { name, total, made } => {
                self.engine.on_counter_reply(
                    name,
                    CounterResult::Total(total),
                    self.now.saturating_sub(made),
                );
            }
            Pending::Ended {
                request,
                attempt,
                outcome,
            } => {
                let value = (outcome == Outcome::Ok).then_some(());
                self.engine.on_attempt_ended(
                    request,
                    attempt,
                    AttemptResult {
                        value,
                        ..AttemptResult::of(outcome)
                    },
                    self.now,
                );
            }
            Pending::Probed { server, outcome } => {
                self.engine.on_health_check_ended(server, outcome, None)
            }
        }
        self.carry_out(environment);
    }

    fn carry_out(&mut self, environment: &mut SimulatedEnvironment) {
        while let Some(output) = self.engine.poll(self.now) {
            match output {
                Output::Forward {
                    request,
                    attempt,
                    endpoint,
                    ..
                } => {
                    let (takes, outcome) = self.arrive(endpoint, environment);
                    self.traffic.attempts += 1;
                    self.traffic.failed_attempts += u64::from(outcome == Outcome::ConnectFailed);
                    self.later(
                        takes,
                        Pending::Ended {
                            request,
                            attempt,
                            outcome,
                        },
                    );
                }
                Output::IncrementCounter {
                    key: name,
                    amount: add,
                    time_to_live: lifetime,
                } => self.call_counter(name, add, lifetime, environment),
                Output::CheckHealth { endpoint } => {
                    let (takes, outcome) = self.arrive(endpoint, environment);
                    self.traffic.probes += 1;
                    self.later(
                        takes,
                        Pending::Probed {
                            server: endpoint,
                            outcome,
                        },
                    );
                }
                Output::Cancel { request, attempt } => {
                    self.engine.on_attempt_ended(
                        request,
                        attempt,
                        AttemptResult::of(Outcome::Cancelled),
                        self.now,
                    );
                }
                Output::Respond {
                    answer: Response::Served(()),
                    ..
                } => self.traffic.served += 1,
                Output::Respond {
                    answer: Response::Rejected(_),
                    ..
                } => self.traffic.rejected += 1,
                Output::Respond {
                    answer: Response::Failed,
                    ..
                } => self.traffic.failed += 1,
                Output::FetchEndpointList | Output::Log(_) => {}
            }
        }
    }

    fn arrive(
        &mut self,
        server: EndpointId,
        environment: &mut SimulatedEnvironment,
    ) -> (Duration, Outcome) {
        let Some(address) = self.engine.address(server) else {
            return (REFUSED_AFTER, Outcome::NotStarted);
        };
        let server = self.endpoint_set.server_at(address);
        environment.attempt(Arrival {
            at: self.now,
            ingress: self.number,
            server,
        })
    }

    fn call_counter(
        &mut self,
        name: CounterKey,
        add: f64,
        lifetime: Duration,
        environment: &mut SimulatedEnvironment,
    ) {
        self.scratch.clear();
        http::put_tally(
            &mut self.scratch,
            COUNTER,
            name.0,
            add,
            lifetime.as_millis().max(1) as u64,
        );
        let total = environment.add(name, add);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {0}\r\n\r\n{total}",
            total.to_string().len()
        );
        self.traffic.counter_calls += 1;
        self.traffic.counter_bytes_out += self.scratch.len() as u64;
        self.traffic.counter_bytes_in += answer.len() as u64;
        self.later(
            COUNTER_TAKES,
            Pending::Counted {
                name,
                total,
                made: self.now,
            },
        );
    }

    fn later(&mut self, after: Duration, what: Pending) {
        self.serial += 1;
        self.pending.insert((self.now + after, self.serial), what);
    }
}

/// Unix time in milliseconds at which virtual time begins.
pub const VIRTUAL_START_UNIX_MS: u64 = 3_600_000;
