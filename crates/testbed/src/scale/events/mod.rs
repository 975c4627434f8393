//! Failures and restarts at size, with simulated ingresses.

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

/// Runs each event with this many ingresses.
pub(super) fn run(run: &RunOptions) -> RoleReport {
    let mut figures = Figures::default();
    let first = run.sizes[0];
    run.progress("events: one ingress restarts");
    restart::ingress(run, first, &mut figures);
    run.progress("events: a rack goes");
    rack::run(run, first, &mut figures);
    for &size in &run.sizes {
        run.progress("events: two regions lose each other");
        regions::run(run, size, &mut figures);
        run.progress("events: a zone goes and returns cold");
        zone::run(run, size, &mut figures);
    }
    run.progress("events: a zone's servers in the whole list");
    zone::in_complete_list(run, first, &mut figures);
    restart::control(&run.sizes, &mut figures);
    run.report("events", "ingresses", figures.0, notes(run))
}

fn notes(run: &RunOptions) -> Vec<String> {
    vec![
        run.division(),
        format!(
            "a restart and a zone's changes: one ingress that holds all {} servers",
            targets::SERVERS
        ),
        format!(
            "a rack: {} ingresses, a service of {}, one server of which is in it; nobody is told for 10 s",
            targets::INGRESSES,
            rack::SERVICE_SERVERS
        ),
        format!(
            "regions: a service of {}, half of its servers out of reach, for 30 s",
            regions::SERVERS
        ),
        "a zone: as many servers an ingress as in the plan; 7.7% of both go and return cold".into(),
        "membership in the same events is measured with its role".into(),
    ]
}
