//! Scale tests in small: assertions on growth exponents, or on ratios of two sizes in one run, never
//! on absolute times. Cost is processor time of the test's own thread, so that tests may run side by
//! side.

use roseyard_testbed::scale::endpoint_set::{EndpointEntry, EndpointSet, RESTART_STATES};
use roseyard_testbed::scale::measure::{exponent, timed};
use roseyard_testbed::scale::report::RoleReport;
use roseyard_testbed::scale::simulated_ingress::{
    Demand, RequestLoad, SimulatedEnvironment, SimulatedIngress,
};
use roseyard_testbed::scale::{targets, Role, RunOptions};
use std::sync::Arc;
use std::time::Duration;

const SEED: u64 = 11;
/// One service of the mean size, and 320 of them.
const FEW: usize = 17;
const MANY: usize = 5_400;

fn run(role: Role, sizes: &[usize], repeats: usize) -> RoleReport {
    let sizes = role.sizes(sizes).expect("sizes that the role takes");
    let run = RunOptions {
        sizes,
        seconds: 1,
        seed: SEED,
        repeats,
        services: false,
        progress: false,
    };
    role.run(&run).expect("a role that is measured")
}

/// The ratio of a figure at one size to that at another.
fn ratio(report: &RoleReport, quantity: &str, of: usize, to: usize) -> f64 {
    let figure = report.figure(quantity).expect("a figure of the report");
    figure.at(of).expect("a size") / figure.at(to).expect("a size")
}

/// An ingress with so many servers, divided into services as at the planned size.
fn ingress(servers: usize) -> (Arc<EndpointSet>, SimulatedIngress, SimulatedEnvironment) {
    ingress_of(EndpointSet::new(servers, true))
}

/// An ingress with these servers.
fn ingress_of(
    endpoints: EndpointSet,
) -> (Arc<EndpointSet>, SimulatedIngress, SimulatedEnvironment) {
    let endpoints = Arc::new(endpoints);
    let mut environment = SimulatedEnvironment::new(SEED);
    let mut ingress = SimulatedIngress::new(&endpoints, targets::INGRESSES, 0, SEED);
    ingress.receive_line(&endpoints.complete_list(), &mut environment);
    (endpoints, ingress, environment)
}

/// Processor time of so many virtual seconds.
fn run_time(
    ingress: &mut SimulatedIngress,
    seconds: u64,
    load: Option<RequestLoad>,
    environment: &mut SimulatedEnvironment,
) -> Duration {
    let until = ingress.now() + Duration::from_secs(seconds);
    let (_, took) = timed(|| ingress.run(until, load, environment));
    took
}

/// The minimum of several runs: disturbances only make a run longer.
fn min_seconds(mut work: impl FnMut() -> Duration) -> f64 {
    (0..5)
        .map(|_| work().as_secs_f64())
        .fold(f64::MAX, f64::min)
}

/// The cost is independent of the number of servers.
fn assert_constant(cost: impl Fn(usize) -> f64) {
    let growth = cost(MANY) / cost(FEW);
    assert!(
        growth < 4.0,
        "{growth:.1} times as much with {MANY} servers as with {FEW}: a walk is 318"
    );
}

/// Processor time of a second under the planned load before these servers.
fn cost_of_load(endpoints: EndpointSet) -> f64 {
    let (_, mut ingress, mut environment) = ingress_of(endpoints);
    let load = RequestLoad {
        rate: 256.0,
        tenants: 100,
        demand: Demand::Even,
    };
    ingress.run(Duration::from_secs(1), Some(load), &mut environment);
    min_seconds(|| run_time(&mut ingress, 1, Some(load), &mut environment))
}

#[test]
fn request_cost_depends_on_the_service_not_on_all_servers() {
    assert_constant(|servers| cost_of_load(EndpointSet::new(servers, true)));
}

#[test]
fn request_cost_of_a_large_service_depends_on_its_subset() {
    const SUBSET: usize = 256;
    let growth =
        cost_of_load(EndpointSet::single(MANY)) / cost_of_load(EndpointSet::single(SUBSET));
    assert!(
        growth < 3.0,
        "{growth:.1} times as much with {MANY} servers as with {SUBSET}: a walk is 21"
    );
}

#[test]
fn change_cost_is_independent_of_the_number_of_servers() {
    let cost = |servers| {
        let (endpoints, mut ingress, mut environment) = ingress(servers);
        let (mut revision, mut generation) = (1, 0);
        min_seconds(|| {
            let mut spent = Duration::ZERO;
            for server in 0..FEW {
                generation += 1;
                for state in RESTART_STATES {
                    revision += 1;
                    let entry = EndpointEntry {
                        generation,
                        state,
                        ..EndpointEntry::serving(server)
                    };
                    let line = endpoints.watch_line(revision, false, &[entry]);
                    spent += timed(|| ingress.receive_line(&line, &mut environment)).1;
                }
            }
            spent
        })
    };
    assert_constant(cost);
}

#[test]
fn idle_cost_is_independent_of_the_number_of_servers() {
    let cost = |servers| {
        let (_, mut ingress, mut environment) = ingress(servers);
        // The ingress has got requests of a service, and keeps its timers.
        let load = RequestLoad {
            rate: 20.0,
            tenants: 100,
            demand: Demand::ByServers,
        };
        ingress.run(Duration::from_secs(1), Some(load), &mut environment);
        ingress.run(Duration::from_secs(5), None, &mut environment);
        min_seconds(|| run_time(&mut ingress, 20, None, &mut environment))
    };
    assert_constant(cost);
}

#[test]
fn complete_list_cost_is_linear() {
    let cost = |servers| {
        let endpoints = Arc::new(EndpointSet::new(servers, true));
        let line = endpoints.complete_list();
        min_seconds(|| {
            let mut ingress = SimulatedIngress::new(&endpoints, targets::INGRESSES, 0, SEED);
            timed(|| ingress.receive_line(&line, &mut SimulatedEnvironment::new(SEED))).1
        })
    };
    let points: Vec<(f64, f64)> = [170, 900, MANY]
        .map(|servers| (servers as f64, cost(servers)))
        .to_vec();
    let slope = exponent(&points).expect("three sizes");
    assert!(
        slope < 1.35,
        "grows with the power {slope:.2} of the servers: a walk for each is 2"
    );
}

#[test]
fn quota_cost_is_independent_of_the_number_of_tenants() {
    let report = run(Role::Quotas, &[10, 4_000], 3);
    let request = ratio(&report, "processor time per request", 4_000, 10);
    assert!(
        request < 12.0,
        "{request:.1} times as much with 4,000 tenants as with 10: a walk is 400"
    );
    let calls = ratio(&report, "bytes per call", 4_000, 10);
    assert!(
        (0.9..1.1).contains(&calls),
        "a call's bytes do not grow with the tenants: {calls:.2}"
    );
}

#[test]
fn gossip_of_a_member_is_independent_of_the_fleet_size() {
    let report = run(Role::Membership, &[10, 60], 1);
    let bytes = ratio(
        &report,
        "idle fleet: bytes per member, received and sent",
        60,
        10,
    );
    assert!(bytes < 1.5, "{bytes:.2} times the bytes among 60 members");
    let join = report
        .figure("one member: bytes of all records")
        .and_then(|figure| figure.exponent)
        .expect("two sizes");
    assert!(
        join < 1.2,
        "all records grow with the power {join:.2} of the members"
    );
}

#[test]
fn admission_cost_is_independent_of_remembered_addresses() {
    let report = run(Role::Admission, &[1_000, 40_000], 5);
    let cost = ratio(
        &report,
        "processor time of connect, displace and close",
        40_000,
        1_000,
    );
    assert!(
        cost < 6.0,
        "{cost:.1} times as much with 40,000 addresses as with 1,000: a walk is 40"
    );
}

#[test]
fn operator_file_cost_is_linear() {
    let report = run(Role::Configuration, &[30, 900], 3);
    let slope = report
        .figure("processor time to parse the file")
        .and_then(|figure| figure.exponent);
    let slope = slope.expect("two sizes");
    assert!(
        slope < 1.35,
        "grows with the power {slope:.2} of the routes: a walk for each is 2"
    );
}

#[test]
fn counter_and_discovery_bytes_of_an_ingress_are_constant() {
    let report = run(Role::Counter, &[3, 90], 1);
    let bytes = ratio(&report, "bytes per ingress, sent and received", 90, 3);
    assert!(
        (0.8..1.25).contains(&bytes),
        "{bytes:.2} times the bytes of an ingress among 90"
    );
    let report = run(Role::Discovery, &[3, 90], 1);
    let slope = report
        .figure("bytes from discovery for one restart")
        .and_then(|figure| figure.exponent);
    let slope = slope.expect("two sizes");
    assert!(
        (0.99..1.01).contains(&slope),
        "bytes grow with the power {slope:.2} of the ingresses"
    );
}

#[test]
fn cold_zone_gets_less_than_a_warm_one() {
    let run = RunOptions {
        sizes: vec![10],
        seconds: 1,
        seed: SEED,
        repeats: 1,
        services: true,
        progress: false,
    };
    let report = roseyard_testbed::scale::zone_returns(&run);
    let mean = report
        .figure("zone: attempts at a cold server in its first 3 s, mean")
        .and_then(|figure| figure.at(10));
    // A cold server may get 0.15 of its capacity, times an overload multiple of 3, for 3 s.
    assert!(
        mean.expect("a figure") < 0.45,
        "{mean:?} of what a warm one is sent"
    );
}

#[test]
fn service_sizes_have_a_long_tail_and_sum_to_all_servers() {
    let sizes = EndpointSet::new(targets::SERVERS, true).service_sizes();
    assert_eq!(sizes.len(), targets::SERVICES);
    assert_eq!(sizes.iter().sum::<usize>(), targets::SERVERS);
    assert_eq!(sizes.iter().max(), Some(&targets::LARGEST_SERVICE));
    assert!(sizes.iter().min() >= Some(&1));
    assert_eq!(EndpointSet::new(FEW, true).service_sizes(), [FEW]);
}

#[test]
fn exponent_of_a_power_law_is_its_power() {
    let points: Vec<(f64, f64)> = [1.0f64, 10.0, 1000.0]
        .map(|x| (x, 3.0 * x.powf(1.5)))
        .to_vec();
    let slope = exponent(&points).expect("three points");
    assert!((slope - 1.5).abs() < 1e-9, "{slope}");
    assert_eq!(exponent(&points[..1]), None);
}
