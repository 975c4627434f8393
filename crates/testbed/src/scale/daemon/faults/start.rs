//! Requests arrive directly after the start of the daemon, before any service has been used.

use super::finding::{Fault, Finding};
use super::testbed::{FaultTestbed, OTHER_SERVICES_RATE, SERVERS};
use crate::scale::daemon::options::{DaemonOptions, PLANNED_INGRESSES};
use crate::scale::targets;
use std::io;

/// The number of ingresses that the small platform has in proportion to the planned size.
const SCALED_INGRESSES: u32 = SERVERS * PLANNED_INGRESSES / targets::SERVERS as u32;
/// Added to the seed of the run for the load.
const SEED_OFFSET: u64 = 5;

/// Checks that a daemon serves every request from its start on, with the planned number of
/// ingresses and with one in proportion to the small platform.
pub(super) fn run(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    [PLANNED_INGRESSES, SCALED_INGRESSES]
        .into_iter()
        .map(|ingresses| run_with_ingresses(ingresses, options))
        .collect()
}

fn run_with_ingresses(ingresses: u32, options: &DaemonOptions) -> io::Result<Finding> {
    let testbed = FaultTestbed::start_with_ingresses(ingresses, options)?;
    let all = testbed.load_on_all_services(options, OTHER_SERVICES_RATE, SEED_OFFSET);
    let outcome = testbed.wait(testbed.spawn_load(&all, testbed.length()));
    let not_served = outcome.requests - outcome.served;
    Ok(Fault::Start.finding(
        format!("every request is served with {ingresses} ingresses in front of {SERVERS} servers"),
        format!(
            "{not_served} of {} not served, of which {} rejected",
            outcome.requests, outcome.rejected
        ),
        not_served == 0,
    ))
}
