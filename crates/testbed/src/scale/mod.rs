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
mod servers;
pub mod simulated_ingress;
pub mod targets;
mod topology;

pub use events::zone_returns;
pub use role::{Role, SizeError, SERVICE_ROLES};

use report::{RoleReport, SizeSeries};
use std::io::IsTerminal;

/// What a role is run with.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Sizes, the smallest first.
    pub sizes: Vec<usize>,
    /// Virtual seconds of a sample, where it is one of time.
    pub seconds: u64,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Samples at each size.
    pub repeats: usize,
    /// Are the servers divided into services, in proportion to the planned size?
    pub services: bool,
    /// Is progress written to standard error?
    pub progress: bool,
}

impl RunOptions {
    fn progress(&self, step: &str) {
        if self.progress {
            eprintln!("{step}");
        }
    }

    /// How the servers are divided into services, for the notes of a report.
    fn division(&self) -> String {
        if self.services {
            let (services, servers) = (targets::SERVICES, targets::SERVERS);
            format!(
                "servers in services by a power law: {services} for {servers} servers, fewer in proportion"
            )
        } else {
            "all servers in one service".into()
        }
    }

    fn report(
        &self,
        role: &str,
        varied: &str,
        figures: Vec<SizeSeries>,
        notes: Vec<String>,
    ) -> RoleReport {
        let role = if self.services {
            format!("{role} by service")
        } else {
            role.into()
        };
        RoleReport {
            role,
            varied: varied.into(),
            figures,
            notes,
            resident_bytes: measure::resident_bytes(),
        }
    }
}

/// Is standard error a terminal, where progress can be read?
#[must_use]
pub fn stderr_is_terminal() -> bool {
    std::io::stderr().is_terminal()
}
