//! The options of a run, and the report that is built from them.

use super::report::{RoleReport, SizeSeries};
use super::{measure, targets};

/// The options with which a role is run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The sizes to run at, in ascending order.
    pub sizes: Vec<usize>,
    /// The duration of a sample in virtual seconds, for roles that sample over time.
    pub seconds: u64,
    /// The seed of all random number generators.
    pub seed: u64,
    /// The number of samples at each size.
    pub repeats: usize,
    /// Whether the servers are divided into services, in proportion to the planned size.
    pub services: bool,
    /// Whether progress is written to standard error.
    pub progress: bool,
}

impl RunOptions {
    pub(super) fn progress(&self, step: &str) {
        if self.progress {
            eprintln!("{step}");
        }
    }

    /// Describes how the servers are divided into services, for the notes of a report.
    pub(super) fn describe_services(&self) -> String {
        if self.services {
            let (services, servers) = (targets::SERVICES, targets::SERVERS);
            format!(
                "services have sizes by a power law: {services} services for {servers} servers, and proportionally fewer for fewer servers"
            )
        } else {
            "all servers are in one service".into()
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
