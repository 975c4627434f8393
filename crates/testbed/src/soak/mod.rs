//! A soak: real daemons that are restarted, reloaded, paused and killed by a seeded plan, under
//! clients that use their open connections for as long as these stay open.
//!
//! - [`plan`]: which signals go to which daemon, and when
//! - [`targets`]: which daemons accept new connections
//! - [`client`]: requests on connections that are kept
//! - [`crowd`]: idle connections that take the daemons' descriptors
//! - [`run`]: plays a plan and has the history checked

mod client;
mod crowd;
mod plan;
mod run;
mod targets;

pub use plan::{plan, PlannedSignal, SoakSignal};
pub use run::{run, SoakOptions, SoakReport};
