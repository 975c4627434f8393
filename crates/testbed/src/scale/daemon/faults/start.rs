//! The daemon has just started: requests come before any service was used.

use super::finding::{Fault, Finding};
use super::testbed::{FaultTestbed, OTHERS_RATE, SERVERS};
use crate::scale::daemon::options::{DaemonOptions, INGRESSES};
use crate::scale::targets;
use std::io;

/// Ingresses of a small platform, in proportion to the planned size.
const INGRESSES_IN_PROPORTION: u32 = SERVERS * INGRESSES / targets::SERVERS as u32;
const SEED_OFFSET: u64 = 5;

pub(super) fn run(options: &DaemonOptions) -> io::Result<Vec<Finding>> {
    [INGRESSES, INGRESSES_IN_PROPORTION]
        .into_iter()
        .map(|ingresses| run_among(ingresses, options))
        .collect()
}

fn run_among(ingresses: u32, options: &DaemonOptions) -> io::Result<Finding> {
    let testbed = FaultTestbed::start_among(ingresses, options)?;
    let all = testbed.load_of_all(options, OTHERS_RATE, SEED_OFFSET);
    let outcome = testbed.wait(testbed.play(&all, testbed.length()));
    let not_served = outcome.requests - outcome.served;
    Ok(Fault::Start.finding(
        format!("every request is served, {ingresses} ingresses before {SERVERS} servers"),
        format!(
            "{not_served} of {} not served: {} refused",
            outcome.requests, outcome.rejected
        ),
        not_served == 0,
    ))
}
