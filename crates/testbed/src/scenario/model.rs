//! The data model of a scenario.

use crate::faulty_network::{Direction, Rules};
use std::time::Duration;

/// The condition that starts a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Trigger {
    /// This time has passed since the clients started.
    At(Duration),
    /// This member has logged a line that contains this text since the previous step started.
    Logged(usize, String),
}

/// An action that causes or ends a fault. Reports print its `Debug` form.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Kills this member with SIGKILL.
    Kill(usize),
    /// Starts a new process for this member, without any state of the previous one.
    Start(usize),
    /// Pauses this member with SIGSTOP.
    Stop(usize),
    /// Resumes this member with SIGCONT.
    Wake(usize),
    /// Sends SIGTERM to this member and waits until its process exits.
    Term(usize),
    /// Sends SIGHUP to this member, which reloads its configuration.
    Hup(usize),
    /// Partitions the network between these members and all others.
    Split(Vec<usize>),
    /// Sets the fault rules of this direction, or of all directions with `None`.
    Net(Option<Direction>, Rules),
}

/// Actions that are run when a trigger fires.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The condition that starts the step. Steps run one after the other.
    pub trigger: Trigger,
    /// The actions in the order in which they run.
    pub actions: Vec<FaultAction>,
}

/// A fleet, its client load and the faults to which it is exposed.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The number of daemons, 1 to 12.
    pub members: usize,
    /// The number of form servers, 1 to 64.
    pub servers: usize,
    /// The seed of the network faults.
    pub seed: u64,
    /// The protocol period of membership, 50 ms to 60 s.
    pub period: Duration,
    /// The request rate of all clients together, per second; 0 sends no requests.
    pub rate: f64,
    /// The ratio of requests that are not idempotent, 0 to 1.
    pub non_idempotent_ratio: f64,
    /// How long the clients run.
    pub duration: Duration,
    /// The steps in the order in which they run.
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
