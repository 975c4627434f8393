//! Failures and restarts in a large deployment, with simulated ingresses.

mod measurement;
mod rack;
mod regions;
mod restart;
mod zone;

pub use zone::zone_returns;

use super::report::RoleReport;
use super::run_options::RunOptions;
use super::targets;
use measurement::Figures;

/// Runs the events that depend on the fleet size at each size, and the others once.
pub(super) fn run(run: &RunOptions) -> RoleReport {
    let mut figures = Figures::default();
    let first = run.sizes[0];
    run.progress("events: one ingress restarts");
    restart::ingress(run, first, &mut figures);
    run.progress("events: a rack fails");
    rack::run(run, first, &mut figures);
    for &size in &run.sizes {
        run.progress("events: two regions are partitioned");
        regions::run(run, size, &mut figures);
        run.progress("events: a zone fails and returns cold");
        zone::run(run, size, &mut figures);
    }
    run.progress("events: a zone changes in the complete list");
    zone::in_complete_list(run, first, &mut figures);
    restart::control(&run.sizes, &mut figures);
    run.report("events", "ingresses", figures.0, notes(run))
}

fn notes(run: &RunOptions) -> Vec<String> {
    vec![
        run.division(),
        format!(
            "restart, and bytes and processor time of a zone's changes: one ingress with all {} servers",
            targets::SERVERS
        ),
        format!(
            "rack: {} ingresses and a service of {} servers, one of which is in the rack; discovery reports the failure after 10 s",
            targets::INGRESSES,
            rack::SERVICE_SERVERS
        ),
        format!(
            "regions: a service of {} servers, half of which are unreachable from each ingress for 30 s",
            regions::SERVERS
        ),
        "zone: as many servers per ingress as planned; 7.7% of the servers fail and return cold".into(),
        "the role \"membership\" measures the cost of membership in such events".into(),
    ]
}
