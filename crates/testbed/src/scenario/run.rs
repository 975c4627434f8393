//! Runs a scenario on a fleet of real daemons.

use super::client::{ClientTargets, Clients};
use super::model::{FaultAction, Scenario, Step, Trigger};
use crate::checker::{check, Verdict};
use crate::fleet::{Fleet, FleetOptions, MAX_WAIT};
use rustix::process::Signal;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The result of running a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioReport {
    /// The actions that were run, each with its trigger. The trace is the same for each run of a
    /// scenario.
    pub trace: Vec<String>,
    /// The time at which each action of `trace` was run, since the clients started.
    pub action_times: Vec<Duration>,
    /// The result of the checker.
    pub verdict: Verdict,
    /// How the members saw each other at the end, as in their status files.
    pub membership_views: Vec<MembershipView>,
}

/// How one member sees another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipView {
    /// The name of the member that reports the state.
    pub observer: String,
    /// The name of the member whose state is reported.
    pub member: String,
    /// The state that the observer reports, such as `alive` or `gone`.
    pub state: String,
}

/// Runs a scenario on daemons started from `program`. Before each action, `on_action` is called
/// with a line that describes it.
pub fn run(
    scenario: &Scenario,
    program: PathBuf,
    on_action: impl FnMut(&str),
) -> io::Result<ScenarioReport> {
    let options = FleetOptions {
        servers: scenario.servers,
        period: scenario.period,
        ..FleetOptions::new(program, scenario.members, scenario.seed)
    };
    let mut fleet = Fleet::start(options)?;
    let all: Vec<usize> = (0..scenario.members).collect();
    fleet.wait_until_all_alive(&all, MAX_WAIT)?;
    let addresses = fleet.members.iter().map(|member| member.client_address);
    let targets = ClientTargets::new(addresses.collect());
    let history = fleet.history();
    let clients = Clients::new(scenario, &targets, history.clone());
    let mut run = ScenarioRun {
        scenario,
        fleet: &mut fleet,
        targets: &targets,
        began_at: Instant::now(),
        trace: Vec::new(),
        action_times: Vec::new(),
        on_action,
    };
    std::thread::scope(|scope| {
        for thread in 0..clients.threads() {
            let clients = &clients;
            scope.spawn(move || clients.run(thread));
        }
        let result = run.run_steps();
        clients.stop();
        result
    })?;
    let ScenarioRun {
        trace,
        action_times,
        ..
    } = run;
    Ok(ScenarioReport {
        trace,
        action_times,
        verdict: check(&history.events()),
        membership_views: membership_views(&fleet),
    })
}

/// Collects the views of all members whose status file can be read.
fn membership_views(fleet: &Fleet) -> Vec<MembershipView> {
    let mut views = Vec::new();
    for (number, observer) in fleet.members.iter().enumerate() {
        let Ok(status) = fleet.status(number) else {
            continue;
        };
        for member in status["members"].as_array().into_iter().flatten() {
            let text = |key: &str| member[key].as_str().unwrap_or_default().to_owned();
            views.push(MembershipView {
                observer: observer.name.clone(),
                member: text("name"),
                state: text("standing"),
            });
        }
    }
    views
}

struct ScenarioRun<'a, F> {
    scenario: &'a Scenario,
    fleet: &'a mut Fleet,
    targets: &'a ClientTargets,
    began_at: Instant,
    trace: Vec<String>,
    action_times: Vec<Duration>,
    on_action: F,
}

impl<F: FnMut(&str)> ScenarioRun<'_, F> {
    /// Runs all steps, then waits until the duration of the scenario has passed.
    fn run_steps(&mut self) -> io::Result<()> {
        let scenario = self.scenario;
        let mut line_counts = self.log_line_counts();
        for step in &scenario.steps {
            self.wait_for_trigger(&step.trigger, &line_counts)?;
            line_counts = self.log_line_counts();
            self.run_actions(step)?;
        }
        std::thread::sleep(scenario.duration.saturating_sub(self.began_at.elapsed()));
        Ok(())
    }

    fn log_line_counts(&self) -> Vec<usize> {
        let members = self.fleet.members.iter();
        members.map(|member| member.log.line_count()).collect()
    }

    /// Waits until the trigger of a step fires. `line_counts` are the lengths of the members' logs
    /// at the start of the previous step.
    fn wait_for_trigger(&self, trigger: &Trigger, line_counts: &[usize]) -> io::Result<()> {
        match trigger {
            Trigger::At(time) => std::thread::sleep(time.saturating_sub(self.began_at.elapsed())),
            Trigger::Logged(member, text) => {
                let remaining = self
                    .scenario
                    .duration
                    .saturating_sub(self.began_at.elapsed());
                self.fleet.members[*member].log.wait_for_line(
                    line_counts[*member],
                    text,
                    remaining,
                )?;
            }
        }
        Ok(())
    }

    fn run_actions(&mut self, step: &Step) -> io::Result<()> {
        for action in &step.actions {
            let at = self.began_at.elapsed();
            self.trace.push(format!("{:?}: {action:?}", step.trigger));
            self.action_times.push(at);
            (self.on_action)(&format!("{:7.3} s  {action:?}", at.as_secs_f64()));
            self.apply(action)?;
        }
        Ok(())
    }

    fn apply(&mut self, action: &FaultAction) -> io::Result<()> {
        match action {
            FaultAction::Kill(member) => {
                self.targets.set_after_fault(*member, None);
                self.fleet.kill(*member)
            }
            FaultAction::Start(member) => {
                self.fleet.spawn(*member)?;
                self.restore_target(*member);
                Ok(())
            }
            FaultAction::Stop(member) => {
                self.targets.set_after_fault(*member, None);
                self.fleet.signal(*member, Signal::STOP)
            }
            FaultAction::Wake(member) => {
                self.fleet.signal(*member, Signal::CONT)?;
                self.restore_target(*member);
                Ok(())
            }
            FaultAction::Term(member) => {
                self.targets.remove(*member);
                self.fleet.signal(*member, Signal::TERM)?;
                self.fleet.reap(*member)
            }
            FaultAction::Hup(member) => self.fleet.signal(*member, Signal::HUP),
            FaultAction::Split(one_side) => {
                let members = 0..self.fleet.members.len();
                let other_side: Vec<usize> = members.filter(|n| !one_side.contains(n)).collect();
                self.fleet.network.split(one_side, &other_side);
                Ok(())
            }
            FaultAction::Net(Some(direction), rules) => {
                self.fleet.network.set(*direction, *rules);
                Ok(())
            }
            FaultAction::Net(None, rules) => {
                self.fleet.network.set_all(*rules);
                Ok(())
            }
        }
    }

    /// Lets clients connect again to a member that has been started or resumed.
    fn restore_target(&self, member: usize) {
        let address = self.fleet.members[member].client_address;
        self.targets.set_after_fault(member, address);
    }
}
