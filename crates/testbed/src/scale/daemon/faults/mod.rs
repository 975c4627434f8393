//! Injects faults of one service into a platform with the real daemon, and checks whether clients
//! of the other services notice them.

mod finding;
mod flood;
mod reload;
mod servers;
mod start;
mod testbed;

pub use finding::{table, Fault, Finding};

use super::options::DaemonOptions;
use std::io;

impl Fault {
    /// Starts a daemon, injects the fault and returns the findings.
    pub fn inject(self, options: &DaemonOptions) -> io::Result<Vec<Finding>> {
        match self {
            Fault::Start => start::run(options),
            Fault::ServersDie => servers::die(options),
            Fault::ServersDrain => servers::drain(options),
            Fault::ComesBackCold => servers::restart_cold_servers(options),
            Fault::Flood => flood::run(options),
            Fault::RoutesMove => reload::routes_move(options),
            Fault::Churn => reload::churn(options),
        }
    }
}

/// Injects all faults, one after the other, each with a new daemon.
pub fn run(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let mut findings = Vec::new();
    for fault in Fault::ALL {
        options.run.progress(fault.name());
        findings.extend(fault.inject(options)?);
    }
    Ok(findings)
}
