//! Plays the plan of a soak on real daemons.

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

/// New connections arrive for this long after SIGTERM, in milliseconds.
const ACCEPT_MS: Range<u64> = 200..400;
/// SIGKILL comes this long after SIGTERM: the longest deadline, at most 3 s, plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// A process that was killed without a warning is started again after this.
const CRASH_DOWN_TIME: Duration = Duration::from_millis(300);
/// Whether a process has ended is looked up this often.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Some requests take longer than their clients wait.
const SLOW_REQUESTS: SlowRequests = SlowRequests {
    one_in: 40,
    service_time: Duration::from_millis(2500),
};
const FORM_SERVERS: usize = 6;

/// How a soak is played.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The daemon's program.
    pub program: PathBuf,
    /// For signals and clients.
    pub seed: u64,
    /// Daemons.
    pub members: usize,
    /// Clients, each with one connection.
    pub clients: u64,
    /// Whether idle clients take the descriptors.
    pub crowd: bool,
    /// How long it lasts.
    pub duration: Duration,
}

/// What a soak has shown.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// What the checker found.
    pub verdict: Verdict,
    /// What was observed of the requests that violated a rule.
    pub evidence: Vec<Event>,
    /// Processes that were told to end and ended by themselves.
    pub exited: u64,
    /// Processes that were told to end and had to be killed.
    pub killed: u64,
}

/// Plays one soak.
///
/// # Errors
/// A daemon that cannot be started or signalled.
pub fn run(options: &SoakOptions) -> io::Result<SoakReport> {
    let mut fleet = Fleet::start(FleetOptions {
        servers: FORM_SERVERS,
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
    let mut player = Player::new(options, &mut fleet, &targets);
    std::thread::scope(|scope| {
        for number in 0..options.clients {
            let clients = &clients;
            scope.spawn(move || clients.run(number));
        }
        if options.crowd {
            scope.spawn(|| crowd::run(&targets, &stop));
        }
        let played = player.play();
        stop.store(true, Ordering::Relaxed);
        played
    })?;
    let events = history.events();
    let verdict = check(&events);
    Ok(SoakReport {
        evidence: evidence(&verdict, &events),
        verdict,
        exited: player.exited,
        killed: player.killed,
    })
}

/// The events of the requests that violated a rule.
fn evidence(verdict: &Verdict, events: &[Event]) -> Vec<Event> {
    let violating: BTreeSet<u64> = verdict.violations.iter().map(|found| found.id).collect();
    let of_violating = events.iter().filter(|event| violating.contains(&event.id));
    of_violating.copied().collect()
}

/// What is due at a time.
#[derive(Clone, Copy)]
enum Step {
    Signal(PlannedSignal),
    /// New connections to a process that ends arrive no more.
    StopConnecting(usize),
    /// A process that was told to end is looked at, and killed if it is this late.
    CheckEnd {
        member: usize,
        kill_at: Duration,
    },
    Start(usize),
}

struct Player<'a> {
    fleet: &'a mut Fleet,
    targets: &'a Targets,
    random: StdRng,
    duration: Duration,
    /// Steps by their time, and by a number that keeps those of one time in order.
    steps: BTreeMap<(Duration, u64), Step>,
    next_step: u64,
    /// Whether each member's process has been told to end or was killed.
    is_ending: Vec<bool>,
    is_running: Vec<bool>,
    exited: u64,
    killed: u64,
}

impl<'a> Player<'a> {
    fn new(options: &SoakOptions, fleet: &'a mut Fleet, targets: &'a Targets) -> Player<'a> {
        let mut player = Player {
            fleet,
            targets,
            random: StdRng::seed_from_u64(!options.seed),
            duration: options.duration,
            steps: BTreeMap::new(),
            next_step: 0,
            is_ending: vec![false; options.members],
            is_running: vec![true; options.members],
            exited: 0,
            killed: 0,
        };
        for planned in plan(options.seed, options.members, options.duration) {
            player.schedule(planned.at, Step::Signal(planned));
        }
        player
    }

    fn schedule(&mut self, at: Duration, step: Step) {
        self.steps.insert((at, self.next_step), step);
        self.next_step += 1;
    }

    fn play(&mut self) -> io::Result<()> {
        let began_at = Instant::now();
        while let Some(((at, _), step)) = self.steps.pop_first() {
            std::thread::sleep(at.saturating_sub(began_at.elapsed()));
            self.take(step, began_at.elapsed())?;
        }
        std::thread::sleep(self.duration.saturating_sub(began_at.elapsed()));
        Ok(())
    }

    fn take(&mut self, step: Step, now: Duration) -> io::Result<()> {
        match step {
            Step::Signal(planned) => self.send(planned, now),
            Step::StopConnecting(member) => {
                self.targets.set_address(member, None);
                Ok(())
            }
            Step::CheckEnd { member, kill_at } => self.check_end(member, kill_at, now),
            Step::Start(member) => {
                self.fleet.spawn(member)?;
                self.is_running[member] = true;
                self.is_ending[member] = false;
                let address = self.fleet.members[member].client_address;
                self.targets.set_address(member, address);
                Ok(())
            }
        }
    }

    fn send(&mut self, planned: PlannedSignal, now: Duration) -> io::Result<()> {
        let member = planned.member;
        if !self.is_running[member] {
            return Ok(()); // It has ended before the last signals of its series.
        }
        let is_to_ending_process = matches!(
            planned.signal,
            SoakSignal::TerminateAgain | SoakSignal::Interrupt
        );
        if is_to_ending_process && !self.is_ending[member] {
            return Ok(()); // So has the process that the signal was for.
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
        if self.is_ending[member] {
            return Ok(());
        }
        self.is_ending[member] = true;
        self.fleet.signal(member, Signal::TERM)?;
        let accept_ms = self.random.random_range(ACCEPT_MS);
        let connect_until = now + Duration::from_millis(accept_ms);
        self.schedule(connect_until, Step::StopConnecting(member));
        let kill_at = now + KILL_AFTER;
        self.schedule(connect_until, Step::CheckEnd { member, kill_at });
        Ok(())
    }

    fn check_end(&mut self, member: usize, kill_at: Duration, now: Duration) -> io::Result<()> {
        if self.fleet.has_exited(member)? {
            self.exited += 1;
        } else if now < kill_at {
            let next = kill_at.min(now + END_CHECK_INTERVAL);
            self.schedule(next, Step::CheckEnd { member, kill_at });
            return Ok(());
        } else {
            self.targets.kill(member);
            self.fleet.kill(member)?;
            self.killed += 1;
        }
        self.is_running[member] = false;
        self.targets.set_address(member, None);
        self.schedule(now, Step::Start(member));
        Ok(())
    }

    fn crash(&mut self, member: usize, now: Duration) -> io::Result<()> {
        if self.is_ending[member] {
            return Ok(());
        }
        self.is_ending[member] = true;
        self.is_running[member] = false;
        self.targets.crash(member);
        self.fleet.kill(member)?;
        self.schedule(now + CRASH_DOWN_TIME, Step::Start(member));
        Ok(())
    }
}
