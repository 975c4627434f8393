//! Clients flood one service with requests.

use super::finding::{Fault, Finding};
use super::testbed::FaultTestbed;
use crate::scale::daemon::options::DaemonOptions;
use std::io;

/// Requests per second of the flood.
const FLOOD_RATE: f64 = 2_000.0;

/// Floods the victim while the other services get their usual load.
pub(super) fn run(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    let testbed = FaultTestbed::start_warm(options)?;
    let flood = testbed.victim.with_rate(FLOOD_RATE);
    let outcomes = testbed.compare(|on| {
        if on {
            testbed.spawn_detached_load(&flood);
        }
    });
    Ok(outcomes.findings(Fault::Flood))
}
