//! What each role of the platform costs at size: the real state machines and codecs, many in one
//! process, without sockets and in virtual time from a seed. Messages are counted in encoded bytes,
//! cost in processor time.
//!
//! A role is an entry of [`Role`]: its name, its sizes, and a function that runs it.

mod admission;
mod configuration;
mod counter;
pub mod daemon;
mod decision;
mod discovery;
pub mod endpoint_set;
mod events;
mod list;
pub mod measure;
mod membership;
mod quotas;
pub mod report;
mod role;
mod run_options;
mod servers;
pub mod simulated_ingress;
pub mod targets;
mod topology;

pub use events::zone_returns;
pub use role::{Role, SizeError, SERVICE_ROLES};
pub use run_options::RunOptions;

use std::io::IsTerminal;

/// Is standard error a terminal, where progress can be read?
#[must_use]
pub fn stderr_is_terminal() -> bool {
    std::io::stderr().is_terminal()
}
