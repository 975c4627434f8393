//! What a role is run with.

use super::report::{RoleReport, SizeSeries};
use super::{measure, targets};

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
    pub(super) fn progress(&self, step: &str) {
        if self.progress {
            eprintln!("{step}");
        }
    }

    /// How the servers are divided into services, for the notes of a report.
    pub(super) fn division(&self) -> String {
        if self.services {
            let (services, servers) = (targets::SERVICES, targets::SERVERS);
            format!(
                "servers in services by a power law: {services} for {servers} servers, fewer in proportion"
            )
        } else {
            "all servers in one service".into()
        }
    }

    pub(super) fn report(
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
