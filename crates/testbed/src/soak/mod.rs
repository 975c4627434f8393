//! Soak tests: real daemons are restarted, reloaded, paused and killed according to a seeded plan,
//! while clients send requests on connections that they keep open.
//!
//! - `plan`: which signal each daemon receives, and when
//! - `targets`: which daemons accept new connections
//! - `client`: clients that reuse their connections
//! - `crowd`: idle connections that exhaust the descriptors of the daemons
//! - `run`: executes a plan and checks the history

mod client;
mod crowd;
mod plan;
mod run;
mod targets;

pub use plan::{plan, PlannedSignal, SoakSignal};
pub use run::{run, SoakOptions, SoakReport};
