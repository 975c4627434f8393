//! Endpoints that are warming up and get requests from many ingresses.

mod common;
use common::*;
use roseyard_decision::*;

const INGRESSES: usize = 300;

#[test]
fn an_endpoint_warming_up_is_not_overloaded_by_one_request_from_each_ingress() {
    let simulation_settings = settings(INGRESSES as u32);
    let mut sim = Simulation::new(simulation_settings, INGRESSES, 20);
    let started = Some(sim.now);
    sim.update_all_endpoint_lists(&EndpointListUpdate::Changes(vec![entry(
        77,
        EndpointState::Ready,
        started,
    )]));
    let listed_at = sim.now;
    // Each ingress receives eight requests within the window. All stay in flight, so the warm
    // endpoints are busy.
    for round in 0..8 {
        for ingress in 0..INGRESSES {
            sim.request(ingress, 0, 0, 10_000 + (round * INGRESSES + ingress) as u64);
        }
        sim.end_all_calls(CallOutcome::Replied);
        sim.advance(ms(50));
    }
    let all = sim
        .forwards
        .iter()
        .filter(|forward| forward.at >= listed_at)
        .count() as f64;
    let to_new_endpoint = sim
        .forwards
        .iter()
        .filter(|forward| forward.at >= listed_at && forward.endpoint == 77)
        .count() as f64;
    // A warm endpoint gets about a twentieth of the forwards. The new one has about a quarter of
    // that capacity, here at most 0.35, and is allowed twice what this capacity corresponds to.
    assert!(
        to_new_endpoint <= all / 20.0 * 0.35 * 2.0,
        "{to_new_endpoint} of {all} forwards went to the endpoint warming up"
    );
}

/// The load of endpoints that are warming up, over three windows.
struct WarmUpLoad {
    /// The highest number of forwards to one of them within a window.
    peak: f64,
    /// The mean number of forwards per window and endpoint, over all endpoints.
    mean: f64,
    /// The share of all forwards that went to them.
    share: f64,
    /// The highest number of forwards to one of them within a window, relative to its budget: the
    /// overload multiple times its warm-up ratio times the mean.
    budget_ratio: f64,
}

/// Sends one request to each ingress, but `busy_factor` requests to every tenth.
fn send_requests(sim: &mut Simulation, busy_factor: usize, first_customer: u64) {
    for ingress in 0..sim.dispatchers.len() {
        let is_busy = ingress.is_multiple_of(10);
        let requests = if is_busy { busy_factor } else { 1 };
        for _ in 0..requests {
            sim.request(ingress, 0, 2, first_customer + ingress as u64);
        }
    }
}

/// Runs three windows in which the last `warming_up` of the endpoints have just started. Attempts
/// take 200 ms. Every tenth ingress has `busy_factor` times the traffic of the others.
fn run_with_warming_up(
    ingress_count: usize,
    endpoints: u32,
    warming_up: u32,
    busy_factor: usize,
) -> WarmUpLoad {
    let window_ms = 2000;
    let mut sim = Simulation::new(settings(ingress_count as u32), ingress_count, endpoints);
    let started = Some(sim.now);
    let list_entry = |n: u32| {
        entry(
            n,
            EndpointState::Ready,
            started.filter(|_| n >= endpoints - warming_up),
        )
    };
    sim.update_all_endpoint_lists(&EndpointListUpdate::Full(
        (0..endpoints).map(list_entry).collect(),
    ));
    let (mut peak, mut total, mut budget_ratio): (f64, f64, f64) = (0.0, 0.0, 0.0);
    for window in 0..3u32 {
        let from = sim.forwards.len();
        for step in 0..window_ms / 200 {
            let first_customer = (window as usize * 10_000 + step * 100) as u64;
            send_requests(&mut sim, busy_factor, first_customer);
            sim.end_all_calls(CallOutcome::Replied);
            end_all_and_advance(&mut sim, 200);
            sim.requests.retain(|_, r| r.answer.is_none());
        }
        let forwards = &sim.forwards[from..];
        let forwards_to = |n: u32| {
            forwards
                .iter()
                .filter(|forward| forward.endpoint == n)
                .count() as f64
        };
        let window_peak = (endpoints - warming_up..endpoints)
            .map(forwards_to)
            .fold(0.0, f64::max);
        peak = peak.max(window_peak);
        let mean = forwards.len() as f64 / f64::from(endpoints);
        let warm_up_ratio = 0.25 + 0.15 * f64::from(window + 1);
        budget_ratio = budget_ratio.max(window_peak / (2.0 * warm_up_ratio * mean));
        total += forwards.len() as f64;
    }
    let to_warming_up = sim
        .forwards
        .iter()
        .filter(|forward| forward.endpoint >= endpoints - warming_up)
        .count() as f64;
    WarmUpLoad {
        peak,
        mean: total / (3.0 * f64::from(endpoints)),
        share: to_warming_up / total,
        budget_ratio,
    }
}

#[test]
fn sixty_percent_of_endpoints_warming_up_carry_load_and_are_not_overloaded() {
    let WarmUpLoad {
        peak,
        mean,
        share,
        budget_ratio,
    } = run_with_warming_up(100, 60, 36, 1);
    // While they warm up, each gets a quarter to seven tenths of the requests of a warm endpoint,
    // which makes a fifth to half of all requests.
    assert!(
        share > 0.2,
        "a share of {share} of the forwards went to 36 of 60 endpoints"
    );
    // Within a window, an endpoint may get twice its capacity, which is at most 0.7 of the mean.
    // The factor 1.5 allows for random fluctuation.
    assert!(
        peak <= 2.0 * 0.7 * mean * 1.5,
        "{peak} forwards in a window to an endpoint warming up, {mean} to each endpoint on average"
    );
    assert!(
        budget_ratio <= 1.5,
        "an endpoint warming up got {budget_ratio} times its budget in a window"
    );
}

#[test]
fn uneven_traffic_of_300_ingresses_overloads_no_endpoint_warming_up() {
    let WarmUpLoad {
        mean,
        share,
        budget_ratio,
        ..
    } = run_with_warming_up(300, 200, 120, 5);
    assert!(
        mean > 10.0 && share > 0.2,
        "{mean} forwards to each endpoint on average, a share of {share} to 120 of 200 endpoints"
    );
    // This is the maximum of 360 samples of about ten forwards each, to which random fluctuation
    // adds up to half. Without the budget and the weighting by warm-up ratio, the ratio is 2.1.
    assert!(
        budget_ratio <= 1.5,
        "an endpoint warming up got {budget_ratio} times its budget in a window"
    );
}

#[test]
fn when_all_endpoints_are_warming_up_the_budget_holds_and_requests_are_served() {
    let WarmUpLoad {
        peak, mean, share, ..
    } = run_with_warming_up(100, 60, 60, 1);
    assert_eq!(share, 1.0);
    assert!(
        mean > 3.0,
        "{mean} forwards per window to each endpoint on average"
    );
    assert!(
        peak <= 40.0,
        "{peak} forwards in a window to an endpoint that would get 17 if all requests were admitted"
    );
}
