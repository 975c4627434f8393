//! Faults of one service on the real daemon, and what the others notice of them.

use super::load::Load;
use super::measured_daemon::MeasuredDaemon;
use super::platform::{Platform, ServerOptions, ServerState};
use super::{DaemonOptions, Runtimes, FULL, INGRESSES, SETTLE};
use crate::checker::{check, Event, Observation};
use crate::client_load::LoadOutcome;
use crate::scale::topology::{target, Service, ServiceTopology};
use comfy_table::{presets::ASCII_MARKDOWN, Table};
use serde::Serialize;
use serde_json::Value;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinHandle;

/// The services of a small platform, the one that the fault falls on being the largest.
const SERVERS: u32 = 340;
const SERVICES: u32 = 20;
const LARGEST: u32 = 60;
const ROUTES: u32 = 60;
/// Ingresses of such a platform, with as many servers for each as are planned.
const INGRESSES_IN_PROPORTION: u32 = SERVERS * INGRESSES / FULL.servers;
const VICTIM: u32 = 0;
/// Requests a second for the victim, and for all others together.
const VICTIM_RATE: f64 = 100.0;
const OTHERS_RATE: f64 = 256.0;
/// Requests a second of a flood.
const FLOOD_RATE: f64 = 2_000.0;
const TENANTS: u64 = 400;
/// Time that a server takes for a request.
const WORK: Duration = Duration::from_millis(2);
/// The p99 of others may be this multiple of what it is without the fault.
const P99_MULTIPLE: f64 = 1.2;
/// A server that drains gets nothing from so long after it was told.
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);
/// A cold server is watched for so long, and gets at most this share of what a warm one gets.
const COLD_SPAN: Duration = Duration::from_secs(3);
const COLD_SHARE: f64 = 0.5;
/// Load before a fault.
const WARM_UP: Duration = Duration::from_secs(4);
/// Reloads that move routes under load, and between two of them.
const MOVES: u32 = 8;
const MOVE_EVERY: Duration = Duration::from_millis(500);
/// Services that churn: so many in each generation, so many generations, and after how many of them
/// memory is first read.
const CHURN_SERVICES: u32 = 1_000;
const CHURN_GENERATIONS: u32 = 100;
const CHURN_FIRST: u32 = 10;
const CHURN_RATE: f64 = 2_000.0;
/// Memory after the churn may be this multiple of the first reading.
const CHURN_MULTIPLE: f64 = 1.1;

/// A rule, and what was seen of it.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    /// The fault.
    pub fault: &'static str,
    /// The rule.
    pub rule: String,
    /// What was seen.
    pub seen: String,
    /// Does it hold times against each other? Whatever else the machine does may break such a rule.
    pub timed: bool,
    /// Was it kept?
    pub kept: bool,
}

/// Findings as a table in Markdown.
pub fn table(findings: &[Finding]) -> String {
    let mut table = Table::new();
    table
        .load_preset(ASCII_MARKDOWN)
        .set_header(["fault", "rule", "seen", "kept"]);
    for finding in findings {
        let kept = if finding.kept { "yes" } else { "NO" };
        table.add_row([finding.fault, &finding.rule, &finding.seen, kept]);
    }
    table.to_string()
}

/// A daemon among its stand-ins, with a load for the victim and one for all others.
struct FaultTestbed {
    topology: ServiceTopology,
    runtimes: Runtimes,
    platform: Platform,
    process: MeasuredDaemon,
    victim: Load,
    others: Load,
}

/// A fault of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// None but that the daemon has just started.
    Start,
    /// All of its servers die.
    ServersDie,
    /// All of its servers drain.
    ServersDrain,
    /// Its servers die and are told gone; then they come back, half of them cold.
    ComesBackCold,
    /// Clients flood it.
    Flood,
    /// Routes move between services under load, by SIGHUP.
    RoutesMove,
    /// All services are replaced by others, many times, by SIGHUP.
    Churn,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 7] = [
        Fault::Start,
        Fault::ServersDie,
        Fault::ServersDrain,
        Fault::ComesBackCold,
        Fault::Flood,
        Fault::RoutesMove,
        Fault::Churn,
    ];

    fn name(self) -> &'static str {
        match self {
            Fault::Start => "the daemon has just started",
            Fault::ServersDie => "all servers of a service die",
            Fault::ServersDrain => "all servers of a service drain",
            Fault::ComesBackCold => "a service comes back, half of it cold",
            Fault::Flood => "a flood on one service",
            Fault::RoutesMove => "routes move between services",
            Fault::Churn => "services churn",
        }
    }

    /// Plays it on a daemon of its own.
    pub fn play(self, options: &DaemonOptions) -> io::Result<Vec<Finding>> {
        match self {
            Fault::Start => start(options),
            Fault::ServersDie => servers_die(options),
            Fault::ServersDrain => servers_drain(options),
            Fault::ComesBackCold => comes_back_cold(options),
            Fault::Flood => flood(options),
            Fault::RoutesMove => routes_move(options),
            Fault::Churn => churn(options),
        }
    }

    fn finding(self, rule: impl Into<String>, seen: impl Into<String>, kept: bool) -> Finding {
        Finding {
            fault: self.name(),
            rule: rule.into(),
            seen: seen.into(),
            timed: false,
            kept,
        }
    }
}

/// Plays all faults.
pub fn run(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let mut findings = Vec::new();
    for fault in Fault::ALL {
        options.run.progress(fault.name());
        findings.extend(fault.play(options)?);
    }
    Ok(findings)
}

impl FaultTestbed {
    fn start(options: &DaemonOptions) -> io::Result<FaultTestbed> {
        FaultTestbed::start_among(INGRESSES, options)
    }

    /// The same with settings that name so many ingresses.
    fn start_among(ingresses: u32, options: &DaemonOptions) -> io::Result<FaultTestbed> {
        let topology = ServiceTopology::long_tail(SERVERS, SERVICES, LARGEST, ROUTES);
        FaultTestbed::start_with(options, topology, ingresses)
    }

    /// The same once services have been in use for a while.
    fn start_warm(options: &DaemonOptions) -> io::Result<FaultTestbed> {
        let testbed = FaultTestbed::start(options)?;
        testbed.wait_both(
            testbed.play(&testbed.victim, WARM_UP),
            testbed.play(&testbed.others, WARM_UP),
        );
        Ok(testbed)
    }

    fn start_with(
        options: &DaemonOptions,
        topology: ServiceTopology,
        ingresses: u32,
    ) -> io::Result<FaultTestbed> {
        let runtimes = Runtimes::start()?;
        let server_options = ServerOptions {
            work: WORK,
            once: false,
        };
        let platform = runtimes.platform.block_on(Platform::start(
            &topology,
            server_options,
            options.counter,
        ))?;
        let process = MeasuredDaemon::start(
            &options.daemon,
            &topology,
            &platform,
            &options.settings_of(ingresses),
        )?;
        let load = |services: std::ops::Range<u32>, rate, seed| {
            Load::for_services(&topology, services, rate, TENANTS, options.spread, seed)
        };
        let services = topology.services.len() as u32;
        let victim = load(VICTIM..VICTIM + 1, VICTIM_RATE, options.run.seed + 1);
        let others = load(VICTIM + 1..services, OTHERS_RATE, options.run.seed + 2);
        Ok(FaultTestbed {
            topology,
            runtimes,
            platform,
            process,
            victim,
            others,
        })
    }

    fn address(&self) -> SocketAddr {
        self.process.daemon.address
    }

    /// Plays a load beside what follows.
    fn play(&self, load: &Load, length: Duration) -> JoinHandle<LoadOutcome> {
        let (load, at, history) = (
            load.clone(),
            self.address(),
            self.platform.servers.history.clone(),
        );
        self.runtimes
            .clients
            .spawn(async move { load.play_noted(at, length, Some(&history)).await })
    }

    /// Plays a load for a stretch beside what follows; what becomes of it is of no interest.
    fn play_beside(&self, options: &DaemonOptions, load: &Load) {
        drop(self.play(load, self.stretch(options)));
    }

    fn wait(&self, playing: JoinHandle<LoadOutcome>) -> LoadOutcome {
        // A load that panicked shows as one without requests.
        self.runtimes.clients.block_on(playing).unwrap_or_default()
    }

    fn wait_both(
        &self,
        first: JoinHandle<LoadOutcome>,
        second: JoinHandle<LoadOutcome>,
    ) -> (LoadOutcome, LoadOutcome) {
        (self.wait(first), self.wait(second))
    }

    fn victim_service(&self) -> Service {
        self.topology.services[VICTIM as usize]
    }

    /// Tells discovery this state of the victim's servers; `boot_ms` is given the number of each.
    fn tell_victim(&self, state: &str, boot_ms: impl Fn(usize) -> f64) {
        let service = self.victim_service();
        let servers = service.addresses().enumerate();
        let targets: Vec<Value> = servers
            .map(|(n, at)| target(at, self.platform.port, state, boot_ms(n)))
            .collect();
        self.platform.discovery.change(&targets);
    }

    fn events(&self) -> Vec<Event> {
        self.platform.servers.history.events()
    }

    /// Attempts that came to the victim's servers since so many events, by the number of their
    /// address.
    fn sent_to_victim(&self, mark: usize) -> HashMap<usize, u64> {
        let slots: Vec<usize> = self
            .victim_service()
            .addresses()
            .filter_map(ServiceTopology::slot)
            .collect();
        let mut sent = HashMap::new();
        for event in &self.events()[mark..] {
            if let Observation::AttemptStarted(slot) = event.observation {
                if slots.contains(&slot) {
                    *sent.entry(slot).or_default() += 1;
                }
            }
        }
        sent
    }

    fn stretch(&self, options: &DaemonOptions) -> Duration {
        Duration::from_secs(options.run.seconds)
    }

    /// What the others get without and with a fault, in turn, as often as a sample repeats; `fault`
    /// puts it on and off.
    fn compare(&self, options: &DaemonOptions, mut fault: impl FnMut(bool)) -> PairedOutcomes {
        let mut compared = PairedOutcomes::default();
        let length = self.stretch(options);
        for pair in 0..options.run.repeats as u64 {
            let load = |turn| {
                self.others
                    .with_seed(self.others.seed + 2 * pair + turn + 10)
            };
            compared.calm.push(self.wait(self.play(&load(0), length)));
            fault(true);
            compared.faulty.push(self.wait(self.play(&load(1), length)));
            fault(false);
            std::thread::sleep(SETTLE);
        }
        compared
    }
}

/// What the others got, pair by pair.
#[derive(Default)]
struct PairedOutcomes {
    calm: Vec<LoadOutcome>,
    faulty: Vec<LoadOutcome>,
}

fn p99_ms(outcome: &LoadOutcome) -> f64 {
    outcome.latency_from_send.value_at_quantile(0.99) as f64 / 1000.0
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

impl PairedOutcomes {
    fn findings(&self, fault: Fault) -> Vec<Finding> {
        let not_served = |of: &[LoadOutcome]| of.iter().map(|o| o.requests - o.served).sum::<u64>();
        let asked: u64 = self.faulty.iter().map(|o| o.requests).sum();
        let (calm, faulty) = (not_served(&self.calm), not_served(&self.faulty));
        let ratios = self
            .calm
            .iter()
            .zip(&self.faulty)
            .map(|(c, f)| p99_ms(f) / p99_ms(c).max(0.001));
        let ratio = median(ratios.collect());
        let p99 = |of: &[LoadOutcome]| median(of.iter().map(p99_ms).collect());
        let (calm_p99, faulty_p99) = (p99(&self.calm), p99(&self.faulty));
        vec![
            fault.finding(
                "every request of the others is served",
                format!("{faulty} of {asked} not served ({calm} without the fault)"),
                faulty == 0,
            ),
            Finding {
                timed: true,
                ..fault.finding(
                    format!("p99 of the others within {P99_MULTIPLE} times"),
                    format!("{ratio:.2} times ({calm_p99:.2} ms, {faulty_p99:.2} ms)"),
                    ratio <= P99_MULTIPLE,
                )
            },
        ]
    }
}

fn servers_die(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let testbed = FaultTestbed::start_warm(options)?;
    let compared = testbed.compare(options, |on| {
        let server_state = if on {
            ServerState::Dead
        } else {
            ServerState::Serving
        };
        testbed
            .platform
            .servers
            .set(testbed.victim_service().addresses(), server_state);
        if on {
            testbed.play_beside(options, &testbed.victim);
        }
    });
    Ok(compared.findings(Fault::ServersDie))
}

fn servers_drain(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let fault = Fault::ServersDrain;
    let testbed = FaultTestbed::start_warm(options)?;
    let (mut late, mut mark) = (0, 0);
    let compared = testbed.compare(options, |on| {
        if on {
            testbed.tell_victim("DRAINING", |_| 0.0);
            std::thread::sleep(DRAIN_GRACE);
            mark = testbed.events().len();
            testbed.play_beside(options, &testbed.victim);
        } else {
            late += testbed.sent_to_victim(mark).values().sum::<u64>();
            testbed.tell_victim("SERVING", |_| 0.0);
        }
    });
    let mut findings = compared.findings(fault);
    findings.push(fault.finding(
        format!("nothing is sent to them {DRAIN_GRACE:?} after they were told"),
        format!("{late} requests"),
        late == 0,
    ));
    Ok(findings)
}

/// All servers of the service die and are told gone. Then they come back: every second one has just
/// started.
fn comes_back_cold(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let fault = Fault::ComesBackCold;
    let testbed = FaultTestbed::start_warm(options)?;
    let is_cold = |number: usize| number.is_multiple_of(2);
    let addresses: Vec<Ipv4Addr> = testbed.victim_service().addresses().collect();
    let (mut cold, mut warm) = (0, 0);
    let compared = testbed.compare(options, |on| {
        if !on {
            return;
        }
        testbed
            .platform
            .servers
            .set(addresses.iter().copied(), ServerState::Dead);
        testbed.tell_victim("DELETED", |_| 0.0);
        std::thread::sleep(SETTLE);
        testbed
            .platform
            .servers
            .set(addresses.iter().copied(), ServerState::Serving);
        let started = unix_ms();
        testbed.tell_victim(
            "SERVING",
            |number| if is_cold(number) { started } else { 0.0 },
        );
        let mark = testbed.events().len();
        testbed.wait(testbed.play(&testbed.victim, COLD_SPAN));
        for (slot, sent) in testbed.sent_to_victim(mark) {
            let number = addresses
                .iter()
                .position(|at| ServiceTopology::slot(*at) == Some(slot));
            let total = if number.is_some_and(is_cold) {
                &mut cold
            } else {
                &mut warm
            };
            *total += sent;
        }
    });
    let mut findings = compared.findings(fault);
    let share = cold as f64 / (warm as f64).max(1.0);
    findings.push(fault.finding(
        format!("in {COLD_SPAN:?} a cold server gets at most {COLD_SHARE} of what a warm one gets"),
        format!("{cold} to cold, {warm} to as many warm ones: {share:.2}"),
        warm > 0 && share <= COLD_SHARE,
    ));
    Ok(findings)
}

fn flood(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let testbed = FaultTestbed::start_warm(options)?;
    let flood = testbed.victim.with_rate(FLOOD_RATE);
    let compared = testbed.compare(options, |on| {
        if on {
            testbed.play_beside(options, &flood);
        }
    });
    Ok(compared.findings(Fault::Flood))
}

/// What is asked from the first moment on: no service was ever used.
fn start(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    [INGRESSES, INGRESSES_IN_PROPORTION]
        .into_iter()
        .map(|ingresses| start_among(ingresses, options))
        .collect()
}

fn start_among(ingresses: u32, options: &DaemonOptions) -> io::Result<Finding> {
    let testbed = FaultTestbed::start_among(ingresses, options)?;
    let all = Load::of(
        &testbed.topology,
        OTHERS_RATE,
        TENANTS,
        options.spread,
        options.run.seed + 5,
    );
    let outcome = testbed.wait(testbed.play(&all, testbed.stretch(options)));
    let not_served = outcome.requests - outcome.served;
    Ok(Fault::Start.finding(
        format!("every request is served, {ingresses} ingresses before {SERVERS} servers"),
        format!(
            "{not_served} of {} not served: {} refused",
            outcome.requests, outcome.rejected
        ),
        not_served == 0,
    ))
}

fn routes_move(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let testbed = FaultTestbed::start_warm(options)?;
    // What may be sent on twice is moved away from a server that answers late, whatever becomes of
    // routes.
    let all = Load::of(
        &testbed.topology,
        OTHERS_RATE,
        TENANTS,
        options.spread,
        options.run.seed + 3,
    )
    .never_twice();
    // How long its class takes has to be known too.
    testbed.wait(testbed.play(&all.with_seed(all.seed + 1), WARM_UP));
    let mark = testbed.events().len();
    let playing = testbed.play(&all, MOVE_EVERY * (MOVES + 1));
    let mut taken = 0;
    for n in 0..MOVES {
        std::thread::sleep(MOVE_EVERY);
        let file = if n.is_multiple_of(2) {
            testbed.topology.operator_file_moved()
        } else {
            testbed.topology.operator_file()
        };
        let line = testbed.process.reload(&file)?;
        taken += u32::from(!line.contains("stays in force"));
    }
    let outcome = testbed.wait(playing);
    let verdict = check(&testbed.events()[mark..]);
    let violations: Vec<String> = verdict.violations.iter().map(ToString::to_string).collect();
    let finding = |rule: &str, seen: String, kept| Fault::RoutesMove.finding(rule, seen, kept);
    Ok(vec![
        finding(
            "every reload is taken",
            format!("{taken} of {MOVES}"),
            taken == MOVES,
        ),
        finding(
            "every request is served",
            format!(
                "{} of {} ({} refused, {} failed, rules broken: {:?})",
                outcome.served,
                outcome.requests,
                outcome.rejected,
                outcome.failed,
                violations
            ),
            outcome.requests > 0
                && outcome.served == outcome.requests
                && verdict.violations.is_empty(),
        ),
        finding(
            "none is repeated",
            format!(
                "{} attempts for {} that were served",
                verdict.attempts, verdict.served
            ),
            verdict.attempts == verdict.served,
        ),
    ])
}

fn churn(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let testbed = FaultTestbed::start_with(
        options,
        ServiceTopology::long_tail(CHURN_SERVICES * 2, CHURN_SERVICES, LARGEST, CHURN_SERVICES),
        INGRESSES,
    )?;
    let all = Load::of(
        &testbed.topology,
        CHURN_RATE,
        TENANTS,
        options.spread,
        options.run.seed + 4,
    );
    let mut first_kib = 0;
    let mut refused_reloads = 0;
    for generation in 1..=CHURN_GENERATIONS {
        let line = testbed.process.reload(
            &testbed
                .topology
                .operator_file_of(&format!("g{generation}-")),
        )?;
        refused_reloads += u32::from(line.contains("stays in force"));
        testbed.wait(testbed.play(&all.with_seed(all.seed + u64::from(generation)), SETTLE));
        if generation == CHURN_FIRST {
            first_kib = testbed.process.daemon.rss_kib()?;
        }
    }
    let last_kib = testbed.process.daemon.rss_kib()?;
    let ratio = last_kib as f64 / first_kib.max(1) as f64;
    let services = CHURN_SERVICES * CHURN_GENERATIONS;
    Ok(vec![Fault::Churn.finding(
        format!("memory after {services} services within {CHURN_MULTIPLE} times that after the first tenth"),
        format!("{ratio:.2} times ({first_kib} KiB, {last_kib} KiB), {refused_reloads} reloads refused"),
        refused_reloads == 0 && ratio <= CHURN_MULTIPLE,
    )])
}

fn unix_ms() -> f64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_secs_f64() * 1000.0
}
