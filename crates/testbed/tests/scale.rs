//! Scale tests in small: assertions on slopes, or on ratios of two sizes in one run, never on
//! absolute times. Cost is processor time of the test's own thread, so that tests may run side by
//! side.

use roseyard_testbed::scale::endpoint_set::{EndpointSet, Entry, State};
use roseyard_testbed::scale::measure::{exponent, timed};
use roseyard_testbed::scale::report::RoleReport;
use roseyard_testbed::scale::simulated_ingress::{
    Demand, Load, SimulatedEnvironment, SimulatedIngress,
};
use roseyard_testbed::scale::{targets, Role, Run};
use std::process::{Command, Output};
use std::sync::Arc;
use std::time::Duration;

const SEED: u64 = 11;
/// One service of the mean size, and 320 of them.
const FEW: usize = 17;
const MANY: usize = 5_400;

fn run(role: Role, sizes: &[usize], repeats: usize) -> RoleReport {
    let sizes = role.sizes(sizes).expect("sizes that the role takes");
    let run = Run {
        sizes,
        seconds: 1,
        seed: SEED,
        repeats,
        services: false,
        progress: false,
    };
    role.run(&run).expect("a role that is measured")
}

/// How often as much a figure is at one size as at another.
fn ratio(report: &RoleReport, quantity: &str, of: usize, to: usize) -> f64 {
    let figure = report.figure(quantity).expect("a figure of the report");
    figure.at(of).expect("a size") / figure.at(to).expect("a size")
}

/// An ingress that holds all of so many servers, divided into services as the plan has them.
fn ingress(servers: usize) -> (Arc<EndpointSet>, SimulatedIngress, SimulatedEnvironment) {
    ingress_of(EndpointSet::new(servers, true))
}

/// An ingress that holds these servers.
fn ingress_of(
    endpoint_set: EndpointSet,
) -> (Arc<EndpointSet>, SimulatedIngress, SimulatedEnvironment) {
    let endpoint_set = Arc::new(endpoint_set);
    let mut environment = SimulatedEnvironment::new(SEED);
    let mut simulated_ingress = SimulatedIngress::new(&endpoint_set, targets::INGRESSES, 0, SEED);
    simulated_ingress.receive_line(&endpoint_set.whole(), &mut environment);
    (endpoint_set, simulated_ingress, environment)
}

/// The least of several runs: what disturbs a run only makes it longer.
fn least(mut work: impl FnMut() -> Duration) -> f64 {
    (0..5)
        .map(|_| work().as_secs_f64())
        .fold(f64::MAX, f64::min)
}

/// What is measured costs as much among many servers as among few.
fn assert_alike(cost: impl Fn(usize) -> f64) {
    let growth = cost(MANY) / cost(FEW);
    assert!(
        growth < 4.0,
        "{growth:.1} times as much with {MANY} servers as with {FEW}: a walk is 318"
    );
}

/// Processor time of a second under the planned load before these servers.
fn cost_of_load(endpoint_set: EndpointSet) -> f64 {
    let (_, mut simulated_ingress, mut environment) = ingress_of(endpoint_set);
    let load = Load {
        rate: 256.0,
        tenants: 100,
        demand: Demand::Even,
    };
    simulated_ingress.run(Duration::from_secs(1), Some(load), &mut environment);
    least(|| {
        timed(|| {
            simulated_ingress.run(
                simulated_ingress.now() + Duration::from_secs(1),
                Some(load),
                &mut environment,
            )
        })
        .1
    })
}

#[test]
fn a_request_costs_what_its_service_does_not_what_all_servers_do() {
    assert_alike(|servers| cost_of_load(EndpointSet::new(servers, true)));
}

#[test]
fn a_request_for_one_large_service_costs_what_the_servers_within_reach_do() {
    const REACH: usize = 256;
    let growth = cost_of_load(EndpointSet::single(MANY)) / cost_of_load(EndpointSet::single(REACH));
    assert!(
        growth < 3.0,
        "{growth:.1} times as much with {MANY} servers as with {REACH}: a walk is 21"
    );
}

#[test]
fn a_change_of_one_server_costs_the_same_among_many() {
    let cost = |servers| {
        let (endpoint_set, mut simulated_ingress, mut environment) = ingress(servers);
        let (mut revision, mut generation) = (1, 0);
        least(|| {
            let mut spent = Duration::ZERO;
            for server in 0..FEW {
                generation += 1;
                for state in [State::Draining, State::Deleted, State::Serving] {
                    revision += 1;
                    let entry = Entry {
                        generation,
                        state,
                        ..Entry::serving(server)
                    };
                    let line = endpoint_set.encode(revision, false, &[entry]);
                    spent += timed(|| simulated_ingress.receive_line(&line, &mut environment)).1;
                }
            }
            spent
        })
    };
    assert_alike(cost);
}

#[test]
fn rest_costs_the_same_with_many_servers() {
    let cost = |servers| {
        let (_, mut simulated_ingress, mut environment) = ingress(servers);
        // Each ingress has been asked for one service, and keeps the time by it.
        let load = Load {
            rate: 20.0,
            tenants: 100,
            demand: Demand::ByServers,
        };
        simulated_ingress.run(Duration::from_secs(1), Some(load), &mut environment);
        simulated_ingress.run(Duration::from_secs(5), None, &mut environment);
        least(|| {
            timed(|| {
                simulated_ingress.run(
                    simulated_ingress.now() + Duration::from_secs(20),
                    None,
                    &mut environment,
                )
            })
            .1
        })
    };
    assert_alike(cost);
}

#[test]
fn a_whole_list_costs_its_length() {
    let cost = |servers| {
        let endpoint_set = Arc::new(EndpointSet::new(servers, true));
        let line = endpoint_set.whole();
        least(|| {
            let mut simulated_ingress =
                SimulatedIngress::new(&endpoint_set, targets::INGRESSES, 0, SEED);
            timed(|| simulated_ingress.receive_line(&line, &mut SimulatedEnvironment::new(SEED))).1
        })
    };
    let points: Vec<(f64, f64)> = [170, 900, MANY].map(|n| (n as f64, cost(n))).to_vec();
    let slope = exponent(&points).expect("three sizes");
    assert!(
        slope < 1.35,
        "grows with the power {slope:.2} of the servers: a walk for each is 2"
    );
}

#[test]
fn a_quota_costs_the_same_among_many() {
    let report = run(Role::Quotas, &[10, 4_000], 3);
    let request = ratio(&report, "processor time a request", 4_000, 10);
    assert!(
        request < 12.0,
        "{request:.1} times as much with 4,000 tenants as with 10: a walk is 400"
    );
    let calls = ratio(&report, "bytes of a call", 4_000, 10);
    assert!(
        (0.9..1.1).contains(&calls),
        "a call's bytes do not grow with the tenants: {calls:.2}"
    );
}

#[test]
fn a_member_tells_as_much_in_a_large_fleet_as_in_a_small_one() {
    let report = run(Role::Membership, &[10, 60], 1);
    let bytes = ratio(
        &report,
        "fleet at rest: bytes of a member, in and out",
        60,
        10,
    );
    assert!(bytes < 1.5, "{bytes:.2} times the bytes among 60 members");
    let join = report
        .figure("one member: bytes of all records")
        .and_then(|f| f.exponent)
        .expect("two sizes");
    assert!(
        join < 1.2,
        "all records grow with the power {join:.2} of the members"
    );
}

#[test]
fn admission_costs_the_same_however_many_addresses_are_remembered() {
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
fn the_operators_file_costs_its_length() {
    let report = run(Role::Configuration, &[30, 900], 3);
    let slope = report
        .figure("processor time to parse the file")
        .and_then(|f| f.exponent);
    let slope = slope.expect("two sizes");
    assert!(
        slope < 1.35,
        "grows with the power {slope:.2} of the routes: a walk for each is 2"
    );
}

#[test]
fn each_ingress_costs_the_counter_and_discovery_the_same() {
    let report = run(Role::Counter, &[3, 90], 1);
    let bytes = ratio(&report, "bytes of an ingress, to and from", 90, 3);
    assert!(
        (0.8..1.25).contains(&bytes),
        "{bytes:.2} times the bytes of an ingress among 90"
    );
    let report = run(Role::Discovery, &[3, 90], 1);
    let slope = report
        .figure("bytes from discovery for one restart")
        .and_then(|f| f.exponent);
    let slope = slope.expect("two sizes");
    assert!(
        (0.99..1.01).contains(&slope),
        "bytes grow with the power {slope:.2} of the ingresses"
    );
}

#[test]
fn a_zone_that_returns_cold_is_sent_less_than_a_warm_one_bears() {
    let run = Run {
        sizes: vec![10],
        seconds: 1,
        seed: SEED,
        repeats: 1,
        services: true,
        progress: false,
    };
    let report = roseyard_testbed::scale::zone_returns(&run);
    let most = report
        .figure("zone: sends at a cold server in its first 3 s, mean")
        .and_then(|f| f.at(10));
    // A cold server bears 0.15 of its capacity, three times over for 3 s; a warm one here has a
    // part of its own.
    assert!(
        most.expect("a figure") < 0.45,
        "{most:?} of what a warm one is sent"
    );
}

#[test]
fn services_have_a_long_tail_and_come_to_all_servers() {
    let sizes = EndpointSet::new(targets::SERVERS, true).service_sizes();
    assert_eq!(sizes.len(), targets::SERVICES);
    assert_eq!(sizes.iter().sum::<usize>(), targets::SERVERS);
    assert_eq!(sizes.iter().max(), Some(&targets::LARGEST_SERVICE));
    assert!(sizes.iter().min() >= Some(&1));
    assert_eq!(EndpointSet::new(FEW, true).service_sizes(), [FEW]);
}

#[test]
fn the_slope_of_a_power_is_its_exponent() {
    let points: Vec<(f64, f64)> = [1.0f64, 10.0, 1000.0]
        .map(|x| (x, 3.0 * x.powf(1.5)))
        .to_vec();
    let slope = exponent(&points).expect("three points");
    assert!((slope - 1.5).abs() < 1e-9, "{slope}");
    assert_eq!(exponent(&points[..1]), None);
}

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_roseyard-testbed"))
        .arg("scale")
        .args(args)
        .output()
        .expect("the lab runs")
}

#[test]
fn a_bad_role_or_size_is_refused_with_what_is_allowed() {
    for (args, told) in [
        (&["--role", "everything"][..], "membership"),
        (&["--role", "decision", "--sizes", "17,54001"], "1 to 54000"),
        (&["--role", "decision", "--sizes", "0"], "1 to 54000"),
        (&["--role", "membership", "--sizes", "2"], "3 to 4300"),
        (&["--role", "all", "--sizes", "17"], "one role"),
        (&["--role", "decision", "--sizes", "many"], "many"),
    ] {
        let output = lab(args);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && text.contains(told),
            "{args:?}: {text}"
        );
    }
}

#[test]
fn figures_are_written_as_json_and_nothing_else_is() {
    let output = lab(&[
        "--role",
        "admission",
        "--sizes",
        "100,200",
        "--repeats",
        "1",
        "--json",
        "-",
    ]);
    assert!(
        output.status.success() && output.stderr.is_empty(),
        "progress is for terminals"
    );
    let told: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(told["roles"][0]["role"], "admission");
    assert_eq!(told["roles"][0]["figures"][0]["points"][1]["size"], 200);
}

#[test]
fn help_has_an_example() {
    let output = lab(&["--help"]);
    assert!(String::from_utf8_lossy(&output.stdout)
        .contains("roseyard-testbed scale --role decision --sizes"));
}
