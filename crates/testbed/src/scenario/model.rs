//! The parts of a scenario.

use crate::faulty_network::{Direction, Rules};
use std::time::Duration;

/// When a step is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Trigger {
    /// At this time after the start.
    At(Duration),
    /// Once this member has logged a line that contains this text, since the step before.
    Logged(usize, String),
}

/// A fault, or its end. Reports show an action in its `Debug` form.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// SIGKILL to this member.
    Kill(usize),
    /// A new process, with nothing in memory.
    Start(usize),
    /// SIGSTOP.
    Stop(usize),
    /// SIGCONT.
    Wake(usize),
    /// SIGTERM, and the end awaited.
    Term(usize),
    /// SIGHUP.
    Hup(usize),
    /// Cuts the paths between these members and the others.
    Split(Vec<usize>),
    /// Sets the rules of this direction; without one, of all.
    Net(Option<Direction>, Rules),
}

/// One step.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When it is done.
    pub trigger: Trigger,
    /// Its actions, in this order.
    pub actions: Vec<FaultAction>,
}

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Daemons, 1 to 12.
    pub members: usize,
    /// Form servers.
    pub servers: usize,
    /// For faults and clients.
    pub seed: u64,
    /// The protocol period of membership.
    pub period: Duration,
    /// Requests a second of the clients, over all daemons; 0 for no clients.
    pub rate: f64,
    /// Share of the requests that are not idempotent.
    pub non_idempotent_ratio: f64,
    /// How long it lasts.
    pub duration: Duration,
    /// The steps, in this order.
    pub steps: Vec<Step>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            members: 3,
            servers: 3,
            seed: 1,
            period: Duration::from_millis(250),
            rate: 40.0,
            non_idempotent_ratio: 0.3,
            duration: Duration::from_secs(20),
            steps: Vec::new(),
        }
    }
}
