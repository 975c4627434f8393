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
pub(super) fn run(options: &RunOptions) -> RoleReport {
    let mut figures = Figures::default();
    let first_size = options.sizes[0];
    options.progress("events: one ingress restarts");
    restart::ingress(options, first_size, &mut figures);
    options.progress("events: a rack fails");
    rack::run(options, first_size, &mut figures);
    for &size in &options.sizes {
        options.progress("events: two regions are partitioned");
        regions::run(options, size, &mut figures);
        options.progress("events: a zone fails and returns cold");
        zone::run(options, size, &mut figures);
    }
    options.progress("events: a zone changes in the complete list");
    zone::in_complete_list(options, first_size, &mut figures);
    restart::control(&options.sizes, &mut figures);
    options.report("events", "ingresses", figures.0, notes(options))
}

fn notes(options: &RunOptions) -> Vec<String> {
    vec![
        options.describe_services(),
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
