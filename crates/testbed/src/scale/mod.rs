//! Scale measurements: the cost of each part of the platform in large deployments. The real state
//! machines and codecs of many ingresses run in one process, without sockets and in virtual time
//! that is reproducible from a seed. Traffic is counted in encoded bytes, and cost is measured in
//! processor time.
//!
//! Each [`Role`] has a name, the sizes that it accepts, and a function that runs it.

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

/// Returns whether standard error is a terminal; progress is written only there.
#[must_use]
pub fn stderr_is_terminal() -> bool {
    std::io::stderr().is_terminal()
}
