//! A scenario: a fleet, clients, and the faults of its processes and of the paths between them, by
//! time or by what a member logs. Written in KDL, run on real daemons, and checked by what clients
//! and form servers observed.

mod client;
mod model;
mod parser;
mod run;

pub use model::{FaultAction, Scenario, Step, Trigger};
pub use parser::{Expected, ScenarioError};
pub use run::{run, MembershipView, ScenarioReport};
