//! Short runs of `roseyard-testbed scale`: the real ingress process at two sizes, and under faults
//! of one service.

use roseyard_testbed::scale::daemon::faults::Fault;
use roseyard_testbed::scale::daemon::{self, DaemonOptions};
use roseyard_testbed::scale::RunOptions;

/// The maximum ratio of the cost of a request with `LARGE_SERVERS` to that with `SMALL_SERVERS`.
const MAX_COST_RATIO: f64 = 2.0;
/// The smaller number of servers.
const SMALL_SERVERS: usize = 17;
/// The larger number of servers, in 200 times as many services.
const LARGE_SERVERS: usize = 200 * SMALL_SERVERS;

fn options(sizes: &[usize], seconds: u64, repeats: usize) -> DaemonOptions {
    DaemonOptions {
        daemon: env!("CARGO_BIN_EXE_roseyard-ingress").into(),
        baseline_daemon: None,
        all_tenants: false,
        has_counter: true,
        health_checks: true,
        servers_close: false,
        rate: 256.0,
        ingress_count: 1,
        run: RunOptions {
            sizes: sizes.to_vec(),
            seconds,
            seed: 11,
            repeats,
            services: true,
            progress: false,
        },
    }
}

#[test]
fn request_cost_is_independent_of_the_number_of_services() {
    let reports = daemon::run(&options(&[SMALL_SERVERS, LARGE_SERVERS], 2, 1)).unwrap();
    let divided_report = reports
        .iter()
        .find(|report| report.role.contains("in the mean"))
        .unwrap();
    let figure = divided_report
        .figure("processor time of a request")
        .unwrap();
    let (small, large) = (
        figure.at(SMALL_SERVERS).unwrap(),
        figure.at(LARGE_SERVERS).unwrap(),
    );
    assert!(
        large <= MAX_COST_RATIO * small,
        "{small:.0} us with {SMALL_SERVERS} servers, {large:.0} us with {LARGE_SERVERS}"
    );
    let refused = divided_report.figure("refused").unwrap();
    assert!(
        refused.points.iter().all(|point| point.high == 0.0),
        "{refused:?}"
    );
}

#[test]
fn a_service_without_endpoints_costs_the_others_no_request() {
    for fault in [Fault::ServersDie, Fault::ServersDrain, Fault::ComesBackCold] {
        let findings = fault.inject(&options(&[], 1, 2)).unwrap();
        let broken: Vec<_> = findings.iter().filter(|f| !f.kept && !f.timed).collect();
        assert!(broken.is_empty(), "{broken:#?}");
    }
}

#[test]
fn moving_routes_loses_and_repeats_no_request() {
    let findings = Fault::RoutesMove.inject(&options(&[], 1, 1)).unwrap();
    assert!(findings.iter().all(|finding| finding.kept), "{findings:#?}");
}
