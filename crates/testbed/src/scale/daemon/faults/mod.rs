//! Faults of one service on the real daemon, and what clients of the other services observe of
//! them.

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
    /// Runs it on a daemon of its own.
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

/// Runs all faults.
pub fn run(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let mut findings = Vec::new();
    for fault in Fault::ALL {
        options.run.progress(fault.name());
        findings.extend(fault.inject(options)?);
    }
    Ok(findings)
}
