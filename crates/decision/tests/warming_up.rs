//! Endpoints that are warming up, before many ingresses.

mod common;
use common::*;
use roseyard_decision::*;

const MANY: usize = 300;

#[test]
fn an_endpoint_warming_up_is_not_overloaded_by_one_request_from_each_ingress() {
    let s = settings(MANY as u32);
    let mut sim = Simulation::new(s, MANY, 20);
    let started = Some(sim.now);
    sim.update_all_endpoint_lists(&EndpointListUpdate::Changes(vec![entry(
        77,
        EndpointState::Ready,
        started,
    )]));
    let from = sim.now;
    // Every ingress's warm endpoints are busy: eight requests each stay in flight within the
    // window.
    for round in 0..8 {
        for ingress in 0..MANY {
            sim.request(ingress, 0, 0, 10_000 + (round * MANY + ingress) as u64);
        }
        sim.end_all_calls(CallOutcome::Replied);
        sim.advance(ms(50));
    }
    let all = sim
        .forwards
        .iter()
        .filter(|forward| forward.at >= from)
        .count() as f64;
    let warming_up = sim
        .forwards
        .iter()
        .filter(|forward| forward.at >= from && forward.endpoint == 77)
        .count() as f64;
    // Its part is a quarter of a warm endpoint's, which carries a twentieth; twice that is allowed.
    assert!(
        warming_up <= all / 20.0 * 0.35 * 2.0,
        "{warming_up} of {all} forwards to the endpoint warming up"
    );
}

/// What endpoints that are warming up got in three windows.
struct WarmingUp {
    /// Most that any got within a window, and the mean of all endpoints within one.
    peak: f64,
    mean: f64,
    /// Their share of all forwards.
    share: f64,
    /// Most that one got, relative to what is allowed to an endpoint that carries the mean once
    /// warmed up.
    budget_ratio: f64,
}

/// A request arrives at each ingress, at every tenth `busy_factor` of them.
fn request_at_all(sim: &mut Simulation, busy_factor: usize, first_customer: u64) {
    for ingress in 0..sim.dispatchers.len() {
        let is_busy = ingress.is_multiple_of(10);
        let requests = if is_busy { busy_factor } else { 1 };
        for _ in 0..requests {
            sim.request(ingress, 0, 2, first_customer + ingress as u64);
        }
    }
}

/// Ingresses and endpoints, of which the last `warming_up` have just started; work that stays in
/// flight for 200 ms, every tenth ingress with `busy_factor` times the others' traffic.
fn run_with_warming_up(
    ingress_count: usize,
    endpoints: u32,
    warming_up: u32,
    busy_factor: usize,
) -> WarmingUp {
    let window_ms = 2000;
    let mut sim = Simulation::new(settings(ingress_count as u32), ingress_count, endpoints);
    let started = Some(sim.now);
    let list = |n: u32| {
        entry(
            n,
            EndpointState::Ready,
            started.filter(|_| n >= endpoints - warming_up),
        )
    };
    sim.update_all_endpoint_lists(&EndpointListUpdate::Full(
        (0..endpoints).map(list).collect(),
    ));
    let (mut peak, mut total, mut budget_ratio): (f64, f64, f64) = (0.0, 0.0, 0.0);
    for window in 0..3u32 {
        let from = sim.forwards.len();
        for step in 0..window_ms / 200 {
            let first_customer = (window as usize * 10_000 + step * 100) as u64;
            request_at_all(&mut sim, busy_factor, first_customer);
            sim.end_all_calls(CallOutcome::Replied);
            end_all_and_advance(&mut sim, 200);
            sim.requests.retain(|_, r| r.answer.is_none());
        }
        let forwards = &sim.forwards[from..];
        let got = |n: u32| {
            forwards
                .iter()
                .filter(|forward| forward.endpoint == n)
                .count() as f64
        };
        let peak_now = (endpoints - warming_up..endpoints)
            .map(got)
            .fold(0.0, f64::max);
        peak = peak.max(peak_now);
        let mean = forwards.len() as f64 / f64::from(endpoints);
        let warm_up_ratio = 0.25 + 0.15 * f64::from(window + 1);
        budget_ratio = budget_ratio.max(peak_now / (2.0 * warm_up_ratio * mean));
        total += forwards.len() as f64;
    }
    let to_warming_up = sim
        .forwards
        .iter()
        .filter(|forward| forward.endpoint >= endpoints - warming_up)
        .count() as f64;
    WarmingUp {
        peak,
        mean: total / (3.0 * f64::from(endpoints)),
        share: to_warming_up / total,
        budget_ratio,
    }
}

#[test]
fn six_in_ten_endpoints_warming_up_carry_their_part_and_are_not_overloaded() {
    let WarmingUp {
        peak,
        mean,
        share,
        budget_ratio,
    } = run_with_warming_up(100, 60, 36, 1);
    // A quarter to seven tenths of a warm one's part, as they warm up: a fifth to half of all falls
    // to them.
    assert!(
        share > 0.2,
        "{share} of the forwards go to 36 of 60 endpoints"
    );
    // Within the window at most its multiple of what an endpoint carries on the mean, at a warm-up
    // ratio of 0.7.
    assert!(
        peak <= 2.0 * 0.7 * mean * 1.5,
        "{peak} in a window to an endpoint warming up, {mean} on the mean to each"
    );
    assert!(
        budget_ratio <= 1.5,
        "an endpoint warming up got {budget_ratio} of what is allowed in a window"
    );
}

#[test]
fn at_full_size_the_busiest_ingresses_overload_no_endpoint_warming_up() {
    let WarmingUp {
        mean,
        share,
        budget_ratio,
        ..
    } = run_with_warming_up(300, 200, 120, 5);
    assert!(
        mean > 10.0 && share > 0.2,
        "{mean} to each on the mean, {share} of all to 120 of 200 endpoints"
    );
    // The most of 360, some ten each: chance adds up to half. Without the bound and the weight by
    // warm-up ratio it is 2.1.
    assert!(
        budget_ratio <= 1.5,
        "an endpoint warming up got {budget_ratio} of what is allowed in a window"
    );
}

#[test]
fn where_all_endpoints_are_warming_up_the_budget_holds_and_requests_are_served() {
    let WarmingUp {
        peak, mean, share, ..
    } = run_with_warming_up(100, 60, 60, 1);
    assert_eq!(share, 1.0);
    assert!(mean > 3.0, "{mean} forwards in a window to each endpoint");
    assert!(
        peak <= 40.0,
        "{peak} in a window to an endpoint that carries 17 when all work is admitted"
    );
}
