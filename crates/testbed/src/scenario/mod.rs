//! Scenarios: a fleet of real daemons under client load, with faults of its processes and of the
//! network between them. A fault is triggered at a given time or by a line in the log of a member.
//! Scenarios are written in KDL, and the checker verifies what clients and form servers observed.

mod client;
mod model;
mod parser;
mod run;

pub use model::{FaultAction, Scenario, Step, Trigger};
pub use parser::{Expected, ScenarioError};
pub use run::{run, MembershipView, ScenarioReport};
