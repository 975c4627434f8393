//! Executes the plan of a soak on a fleet of real daemons.

use super::client::Clients;
use super::crowd;
use super::plan::{plan, PlannedSignal, SoakSignal};
use super::targets::Targets;
use crate::checker::{check, Event, Verdict};
use crate::fakes::SlowRequests;
use crate::fleet::{Fleet, FleetOptions};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How long clients still open new connections to a daemon after it has received SIGTERM.
const CONNECT_AFTER_TERM_MS: Range<u64> = 200..400;
/// The time from SIGTERM to SIGKILL: the longest deadline, which is at most 3 s, plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// The time from a crash until a new process is started.
const CRASH_DOWN_TIME: Duration = Duration::from_millis(300);
/// The time between two checks whether a process has exited.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Requests whose service time exceeds their deadline of 2 s.
const SLOW_REQUESTS: SlowRequests = SlowRequests {
    one_in: 40,
    service_time: Duration::from_millis(2500),
};
const FORM_SERVER_COUNT: usize = 6;

/// The options of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The daemon's program.
    pub program: PathBuf,
    /// The seed of the plan, the clients and the network.
    pub seed: u64,
    /// The number of daemons.
    pub members: usize,
    /// The number of clients, each of which has one connection at a time.
    pub clients: u64,
    /// Whether a crowd of idle clients exhausts the descriptors of the daemons.
    pub crowd: bool,
    /// How long the clients run.
    pub duration: Duration,
}

/// The result of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// The result of the checker.
    pub verdict: Verdict,
    /// The events of the requests that violated a rule.
    pub evidence: Vec<Event>,
    /// The number of processes that exited after SIGTERM before the time of SIGKILL.
    pub exited: u64,
    /// The number of processes that did not exit in time after SIGTERM and were killed.
    pub killed: u64,
}

/// Runs one soak and checks its history.
///
/// # Errors
/// Returns an error if a daemon cannot be started or signalled.
pub fn run(options: &SoakOptions) -> io::Result<SoakReport> {
    let mut fleet = Fleet::start(FleetOptions {
        servers: FORM_SERVER_COUNT,
        slow_requests: Some(SLOW_REQUESTS),
        ..FleetOptions::new(&options.program, options.members, options.seed)
    })?;
    let addresses = fleet.members.iter().map(|member| member.client_address);
    let targets = Targets::new(addresses);
    let history = fleet.history();
    let stop = AtomicBool::new(false);
    let clients = Clients {
        targets: &targets,
        history: history.clone(),
        seed: options.seed,
        has_crowd: options.crowd,
        stop: &stop,
        next_id: AtomicU64::new(1),
    };
    let mut runner = SoakRunner::new(options, &mut fleet, &targets);
    std::thread::scope(|scope| {
        for number in 0..options.clients {
            let clients = &clients;
            scope.spawn(move || clients.run(number));
        }
        if options.crowd {
            scope.spawn(|| crowd::run(&targets, &stop));
        }
        let outcome = runner.run_steps();
        stop.store(true, Ordering::Relaxed);
        outcome
    })?;
    let events = history.events();
    let verdict = check(&events);
    Ok(SoakReport {
        evidence: evidence(&verdict, &events),
        verdict,
        exited: runner.exited,
        killed: runner.killed,
    })
}

/// Returns the events of the requests that violated a rule.
fn evidence(verdict: &Verdict, events: &[Event]) -> Vec<Event> {
    let violating_ids: BTreeSet<u64> = verdict
        .violations
        .iter()
        .map(|violation| violation.id)
        .collect();
    let violating_events = events
        .iter()
        .filter(|event| violating_ids.contains(&event.id));
    violating_events.copied().collect()
}

/// An action that is scheduled for a time.
#[derive(Clone, Copy)]
enum Step {
    Signal(PlannedSignal),
    /// Clients stop opening connections to a process that is shutting down.
    StopConnecting(usize),
    /// Checks whether a process that was told to exit has done so, and kills it from `kill_at` on.
    CheckExit {
        member: usize,
        kill_at: Duration,
    },
    Start(usize),
}

struct SoakRunner<'a> {
    fleet: &'a mut Fleet,
    targets: &'a Targets,
    random: StdRng,
    duration: Duration,
    /// The scheduled steps by time. The number keeps steps of the same time in the order in which
    /// they were scheduled.
    steps: BTreeMap<(Duration, u64), Step>,
    next_step_number: u64,
    /// Whether the process of each member has been told to exit or was killed.
    is_exiting: Vec<bool>,
    is_running: Vec<bool>,
    exited: u64,
    killed: u64,
}

impl<'a> SoakRunner<'a> {
    fn new(options: &SoakOptions, fleet: &'a mut Fleet, targets: &'a Targets) -> SoakRunner<'a> {
        let mut runner = SoakRunner {
            fleet,
            targets,
            random: StdRng::seed_from_u64(!options.seed),
            duration: options.duration,
            steps: BTreeMap::new(),
            next_step_number: 0,
            is_exiting: vec![false; options.members],
            is_running: vec![true; options.members],
            exited: 0,
            killed: 0,
        };
        for planned in plan(options.seed, options.members, options.duration) {
            runner.schedule(planned.at, Step::Signal(planned));
        }
        runner
    }

    fn schedule(&mut self, at: Duration, step: Step) {
        self.steps.insert((at, self.next_step_number), step);
        self.next_step_number += 1;
    }

    fn run_steps(&mut self) -> io::Result<()> {
        let began_at = Instant::now();
        while let Some(((at, _), step)) = self.steps.pop_first() {
            std::thread::sleep(at.saturating_sub(began_at.elapsed()));
            self.run_step(step, began_at.elapsed())?;
        }
        std::thread::sleep(self.duration.saturating_sub(began_at.elapsed()));
        Ok(())
    }

    fn run_step(&mut self, step: Step, now: Duration) -> io::Result<()> {
        match step {
            Step::Signal(planned) => self.send(planned, now),
            Step::StopConnecting(member) => {
                self.targets.set_address(member, None);
                Ok(())
            }
            Step::CheckExit { member, kill_at } => self.check_exit(member, kill_at, now),
            Step::Start(member) => {
                self.fleet.spawn(member)?;
                self.is_running[member] = true;
                self.is_exiting[member] = false;
                let address = self.fleet.members[member].client_address;
                self.targets.set_address(member, address);
                Ok(())
            }
        }
    }

    fn send(&mut self, planned: PlannedSignal, now: Duration) -> io::Result<()> {
        let member = planned.member;
        if !self.is_running[member] {
            return Ok(()); // The process exited before the last signals of its series.
        }
        let is_for_exiting_process = matches!(
            planned.signal,
            SoakSignal::TerminateAgain | SoakSignal::Interrupt
        );
        if is_for_exiting_process && !self.is_exiting[member] {
            return Ok(()); // The process that was shutting down has been replaced by a new one.
        }
        let signal = match planned.signal {
            SoakSignal::Reload => Signal::HUP,
            SoakSignal::TerminateAgain => Signal::TERM,
            SoakSignal::Interrupt => Signal::INT,
            SoakSignal::Pause => Signal::STOP,
            SoakSignal::Resume => Signal::CONT,
            SoakSignal::Restart => return self.restart(member, now),
            SoakSignal::Crash => return self.crash(member, now),
        };
        self.fleet.signal(member, signal)
    }

    fn restart(&mut self, member: usize, now: Duration) -> io::Result<()> {
        if self.is_exiting[member] {
            return Ok(());
        }
        self.is_exiting[member] = true;
        self.fleet.signal(member, Signal::TERM)?;
        let connect_ms = self.random.random_range(CONNECT_AFTER_TERM_MS);
        let connect_until = now + Duration::from_millis(connect_ms);
        self.schedule(connect_until, Step::StopConnecting(member));
        let kill_at = now + KILL_AFTER;
        self.schedule(connect_until, Step::CheckExit { member, kill_at });
        Ok(())
    }

    fn check_exit(&mut self, member: usize, kill_at: Duration, now: Duration) -> io::Result<()> {
        if self.fleet.has_exited(member)? {
            self.exited += 1;
        } else if now < kill_at {
            let next = kill_at.min(now + EXIT_CHECK_INTERVAL);
            self.schedule(next, Step::CheckExit { member, kill_at });
            return Ok(());
        } else {
            self.targets.record_kill(member);
            self.fleet.kill(member)?;
            self.killed += 1;
        }
        self.is_running[member] = false;
        self.targets.set_address(member, None);
        self.schedule(now, Step::Start(member));
        Ok(())
    }

    fn crash(&mut self, member: usize, now: Duration) -> io::Result<()> {
        if self.is_exiting[member] {
            return Ok(());
        }
        self.is_exiting[member] = true;
        self.is_running[member] = false;
        self.targets.record_crash(member);
        self.fleet.kill(member)?;
        self.schedule(now + CRASH_DOWN_TIME, Step::Start(member));
        Ok(())
    }
}
