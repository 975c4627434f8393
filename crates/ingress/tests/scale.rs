//! The real daemon at two sizes, and under faults of one service: a small form of `roseyard-testbed
//! scale`.

use roseyard_testbed::scale::daemon::faults::Fault;
use roseyard_testbed::scale::daemon::{self, DaemonOptions};
use roseyard_testbed::scale::RunOptions;

/// A request may cost so many times as much with 200 times the servers in 200 times the services.
const GROWTH: f64 = 2.0;
const SMALL: usize = 17;
const LARGE: usize = 200 * SMALL;

fn options(sizes: &[usize], seconds: u64, repeats: usize) -> DaemonOptions {
    DaemonOptions {
        daemon: env!("CARGO_BIN_EXE_roseyard-ingress").into(),
        before: None,
        all_tenants: false,
        counter: true,
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
    let reports = daemon::run(&options(&[SMALL, LARGE], 2, 1)).unwrap();
    let divided = reports
        .iter()
        .find(|report| report.role.contains("in the mean"))
        .unwrap();
    let figure = divided.figure("processor time of a request").unwrap();
    let (small, large) = (figure.at(SMALL).unwrap(), figure.at(LARGE).unwrap());
    assert!(
        large <= GROWTH * small,
        "{small:.0} us with {SMALL} servers, {large:.0} us with {LARGE}"
    );
    let refused = divided.figure("refused").unwrap();
    assert!(
        refused.points.iter().all(|point| point.high == 0.0),
        "{refused:?}"
    );
}

#[test]
fn a_service_without_endpoints_costs_the_others_no_request() {
    for fault in [Fault::ServersDie, Fault::ServersDrain, Fault::ComesBackCold] {
        let findings = fault.play(&options(&[], 1, 2)).unwrap();
        let broken: Vec<_> = findings.iter().filter(|f| !f.kept && !f.timed).collect();
        assert!(broken.is_empty(), "{broken:#?}");
    }
}

#[test]
fn moving_routes_loses_and_repeats_no_request() {
    let findings = Fault::RoutesMove.play(&options(&[], 1, 1)).unwrap();
    assert!(findings.iter().all(|finding| finding.kept), "{findings:#?}");
}
