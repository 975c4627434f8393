//! How many units several ingresses forward beyond quotas under moderate demand. The test has three
//! ingresses, a counter whose keys expire, endpoints that reply at once, and a clock that it moves.

mod common;

use common::*;
use roseyard_ingress::clock::Clock;
use roseyard_ingress::program::{config::Config, Program};
use std::collections::BTreeMap;
use std::time::Duration;

const INGRESSES: usize = 3;
const CUSTOMERS: u64 = 24;
/// Units per second of a customer's quota, as in `settings.json`.
const UNITS_PER_SECOND: f64 = 2.0;
/// Units that a customer may use at once, as in `settings.json`.
const BURST_UNITS: f64 = 8.0;
const STEP: Duration = Duration::from_millis(20);
const SIMULATED_TIME: Duration = Duration::from_secs(40);
/// How often discovery sends an empty line, which keeps the watch open.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
const FIELDS: &str = "c=form-load,t=seedling,d=3000,units=1,spread=3,first=0";

/// The quota of a customer as a single ingress would enforce it: a token bucket.
#[derive(Clone)]
struct ExactQuota {
    available_units: f64,
    at: Duration,
}

impl ExactQuota {
    fn new() -> ExactQuota {
        ExactQuota {
            available_units: BURST_UNITS,
            at: Duration::ZERO,
        }
    }

    fn available_units(&self, now: Duration) -> f64 {
        let refilled = UNITS_PER_SECOND * now.saturating_sub(self.at).as_secs_f64();
        (self.available_units + refilled).min(BURST_UNITS)
    }

    /// Takes a unit if one is available, and returns whether it was.
    fn take(&mut self, now: Duration) -> bool {
        self.available_units = self.available_units(now);
        self.at = now;
        let is_within = self.available_units >= 1.0;
        self.available_units -= f64::from(u8::from(is_within));
        is_within
    }
}

/// The exact quotas of all customers, by customer.
struct ExactQuotas(BTreeMap<u64, ExactQuota>);

impl ExactQuotas {
    fn new() -> ExactQuotas {
        let quotas = (0..CUSTOMERS).map(|customer| (customer, ExactQuota::new()));
        ExactQuotas(quotas.collect())
    }

    /// Takes a unit of a customer. Returns 1 if it was within the quota, and otherwise 0.
    fn take(&mut self, customer: u64, now: Duration) -> f64 {
        let is_within = self.0.get_mut(&customer).unwrap().take(now);
        f64::from(u8::from(is_within))
    }
}

/// Units that clients offered within quotas, that were forwarded, and that were forwarded beyond
/// quotas.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    offered: f64,
    forwarded: f64,
    beyond: f64,
}

impl Totals {
    /// The ratio of units forwarded beyond quotas to units offered within them.
    fn beyond_ratio(self) -> f64 {
        self.beyond / self.offered
    }
}

/// Several ingresses under one clock, and the fakes that they share.
struct Fleet {
    programs: Vec<Program>,
    clients: Vec<Connection>,
    counter: FakeCounter,
    /// The time at which each key of the counter was created.
    created_at: BTreeMap<String, Duration>,
    discovery: Peer,
    endpoints: Vec<Peer>,
    clock: Clock,
    now: Duration,
}

impl Fleet {
    fn new() -> Fleet {
        let clock = Clock::start();
        let mut fleet = Fleet {
            programs: Vec::new(),
            clients: Vec::new(),
            counter: FakeCounter::new(),
            created_at: BTreeMap::new(),
            discovery: Peer::new(),
            endpoints: (0..3).map(|_| Peer::new()).collect(),
            clock,
            now: clock.now(),
        };
        for n in 0..INGRESSES {
            let program = fleet.start(n, 0);
            fleet
                .clients
                .push(Connection::connect(program.address().unwrap()));
            fleet.programs.push(program);
        }
        fleet
    }

    /// Starts the ingress `n`. Each incarnation has a seed of its own.
    fn start(&self, n: usize, incarnation: usize) -> Program {
        let text = config(&self.counter.peer, &self.discovery, &self.endpoints, 1024)
            .replace(
                "\"Balancers\":1,\"Me\":0",
                &format!("\"Balancers\":{INGRESSES},\"Me\":{n}"),
            )
            .replace(
                "0123456789abcdef",
                &format!("{:016x}", 77 + 10 * n + incarnation),
            );
        let config = Config::parse(text.into(), |_| None).unwrap();
        Program::start(&config, &operator_file(""), self.clock).unwrap()
    }

    /// Restarts an ingress, which keeps nothing but its endpoint list.
    fn restart(&mut self, n: usize) {
        self.programs[n] = self.start(n, 1);
        self.clients[n] = Connection::connect(self.programs[n].address().unwrap());
    }

    /// Runs one iteration of all ingresses and their peers, and adds the customers whose requests
    /// reached an endpoint to `reached`.
    fn run_all_once(&mut self, reached: &mut Vec<u64>) {
        let now = self.now;
        for program in &mut self.programs {
            program.run_iteration(Some(Duration::ZERO), || now).unwrap();
        }
        self.counter.serve();
        self.expire_counter_keys();
        self.discovery.read();
        for watch in &mut self.discovery.connections {
            if let Some(at) = watch.input.windows(4).position(|w| w == b"\r\n\r\n") {
                watch.input.drain(..at + 4);
                watch.send(format!("{WATCH_HEAD}{}", chunk("\n")));
            }
        }
        for endpoint in &mut self.endpoints {
            endpoint.read();
            while let Some((connection, words)) = endpoint.next_command() {
                reached.push(u64::from_str_radix(&words[1], 16).unwrap());
                endpoint.connections[connection].send(served_reply("v"));
            }
        }
        self.clients.iter_mut().for_each(Connection::read);
    }

    /// Removes the counter's keys whose time to live has expired.
    fn expire_counter_keys(&mut self) {
        let now = self.now;
        self.created_at.retain(|key, created_at| {
            let is_alive =
                now < *created_at + Duration::from_secs_f64(BURST_UNITS / UNITS_PER_SECOND);
            if !is_alive {
                self.counter.totals.remove(key);
            }
            is_alive
        });
        for key in self.counter.totals.keys() {
            self.created_at.entry(key.clone()).or_insert(now);
        }
    }

    /// Sends an empty line on each watch: nothing has changed.
    fn send_empty_lines(&mut self) {
        let open = self.discovery.connections.iter_mut();
        open.filter(|watch| watch.is_open)
            .for_each(|watch| watch.send(chunk("\n")));
    }
}

/// What goes wrong during a simulation.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Restart,
    SilentCounter,
}

impl Fault {
    /// Begins or ends the fault if `elapsed` is the time for it.
    fn apply(self, fleet: &mut Fleet, elapsed: Duration) {
        let is_at = |second: u64| {
            let at = Duration::from_secs(second);
            elapsed >= at && elapsed < at + STEP
        };
        match self {
            Fault::Restart if is_at(12) || is_at(26) => fleet.restart(usize::from(is_at(26))),
            Fault::SilentCounter if is_at(15) => fleet.counter.mode = CounterMode::Silent,
            Fault::SilentCounter if is_at(18) => fleet.counter.mode = CounterMode::Replies,
            _ => {}
        }
    }
}

/// The demand of a customer as a ratio of its quota. Most customers use about a third of their
/// quota, some nearly all of it, and some demand three times as much.
fn demand_ratio(customer: u64) -> f64 {
    match customer % 8 {
        0 => 3.0,
        1 | 2 => 0.95,
        _ => 0.35,
    }
}

/// Chooses the ingress of a request at random; the first one gets most requests.
fn choose_ingress(rng: &mut fastrand::Rng) -> usize {
    if rng.f64() < 0.6 {
        0
    } else {
        rng.usize(0..INGRESSES)
    }
}

/// Simulates a period of `SIMULATED_TIME` with this fault and returns the units counted.
fn simulate(fault: Fault) -> Totals {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut fleet = Fleet::new();
    let mut warm_up = Vec::new();
    (0..20).for_each(|_| fleet.run_all_once(&mut warm_up));
    let begin = fleet.now;
    let mut offered = ExactQuotas::new();
    let mut forwarded = ExactQuotas::new();
    let mut totals = Totals::default();
    let mut id = 1;
    let mut last_line_at = begin;
    while fleet.now < begin + SIMULATED_TIME {
        fleet.now += STEP;
        let elapsed = fleet.now - begin;
        fault.apply(&mut fleet, elapsed);
        if fleet.now >= last_line_at + EMPTY_LINE_INTERVAL {
            last_line_at = fleet.now;
            fleet.send_empty_lines();
        }
        for customer in 0..CUSTOMERS {
            if rng.f64() >= UNITS_PER_SECOND * demand_ratio(customer) * STEP.as_secs_f64() {
                continue;
            }
            let ingress = choose_ingress(&mut rng);
            let request = request_of_customer(customer, "API.READ", id, FIELDS);
            fleet.clients[ingress].send(request);
            id += 1;
            totals.offered += offered.take(customer, elapsed);
        }
        let mut reached = Vec::new();
        (0..5).for_each(|_| fleet.run_all_once(&mut reached));
        for customer in reached {
            totals.forwarded += 1.0;
            totals.beyond += 1.0 - forwarded.take(customer, elapsed);
        }
    }
    totals
}

#[test]
fn units_forwarded_beyond_quotas_are_at_most_a_twentieth_of_those_offered_within() {
    for fault in [Fault::None, Fault::Restart, Fault::SilentCounter] {
        let totals = simulate(fault);
        println!("{fault:?}: {totals:?}, ratio {:.3}", totals.beyond_ratio());
        assert!(
            totals.offered > 500.0 && totals.forwarded > 0.8 * totals.offered,
            "{fault:?}: {totals:?}"
        );
        assert!(totals.beyond_ratio() <= 0.05, "{fault:?}: {totals:?}");
    }
}
