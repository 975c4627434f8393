//! A ceiling over many seeds, with restarts and a counter that fails in each way.

mod common;
use common::*;
use roseyard_decision::*;

const SEEDS: u64 = 600;

/// All outcomes of a call to the counter.
const CALL_OUTCOMES: [CallOutcome; 4] = [
    CallOutcome::Replied,
    CallOutcome::LostBeforeAdding,
    CallOutcome::LostAfterAdding,
    CallOutcome::NotAdded,
];

/// One run of a flood on one customer's ceiling through three ingresses: uneven traffic, a counter
/// that answers late, loses calls before or after they count, rejects calls and loses its totals,
/// window ends, and restarts of one ingress or of all. How far the ceiling fell, and what
/// was forwarded.
fn flood_one_ceiling(seed: u64) -> (f64, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings(3);
    // A ceiling of 1.7 to 2.6 times the quota, requests of 1 to 8 units, a slack of one of the
    // largest.
    let (rate, times) = (4.4 + 3.2 * rng.f64(), 1.7 + 0.9 * rng.f64());
    let burst = rate * (3.1 + 2.7 * rng.f64());
    let slack = f64::max(8.0, 0.1 * burst * times);
    let ceilings = Plan {
        ceiling_rate: rate * times,
        ceiling_burst: burst * times,
        ceiling_slack: slack,
        ..plan(rate, burst)
    };
    settings.plans[1] = ceilings;
    let mut sim = Simulation::seeded(settings, 3, 5, seed);
    sim.strict = false;
    let pressed = rng.f64();
    for _ in 0..800 {
        let ingress = if rng.f64() < 0.5 { 0 } else { rng.usize(0..3) };
        sim.request_with_units(ingress, 0, 1, 1, f64::from(rng.u32(1..=8)), ms(1500));
        sim.advance(ms(rng.u64(0..30)));
        while sim.pending_calls.len() > rng.usize(0..6) {
            let mode = if rng.f64() < pressed {
                CALL_OUTCOMES[rng.usize(0..4)]
            } else {
                CallOutcome::Replied
            };
            sim.end_call(rng.usize(0..8), mode);
        }
        sim.end(rng.usize(0..8), Outcome::Ok);
        match rng.usize(0..300) {
            0 => sim.counter_totals.clear(),
            1 => sim.restart(rng.usize(0..3), 5),
            2 => (0..3).for_each(|ingress| sim.restart(ingress, 5)),
            3 => sim.advance(ms(rng.u64(200..6000))),
            _ => {}
        }
    }
    (sim.lowest_ceiling + slack, sim.forwards.len())
}

/// Requests of one unit in turn through three ingresses, each seventh call to the counter lost, an
/// ingress restarted and the counter emptied every 400 ms: only the ingresses' seeds differ.
fn alternate_ingresses(seed: u64) -> (f64, usize) {
    let mut sim = Simulation::seeded(settings(3), 3, 5, 1000 * seed);
    sim.strict = false;
    for round in 0..1500 {
        sim.request(round % 3, 0, 1, 1);
        sim.end_all_calls(if round % 7 == 0 {
            CallOutcome::LostBeforeAdding
        } else {
            CallOutcome::Replied
        });
        sim.advance(ms(4));
        sim.end(0, Outcome::Ok);
        if round % 100 == 99 {
            sim.restart(round / 100 % 3, 5);
            sim.counter_totals.clear();
        }
    }
    (
        sim.lowest_ceiling + sim.settings.plans[1].ceiling_slack,
        sim.forwards.len(),
    )
}

#[test]
fn a_ceiling_holds_for_alternating_ingresses_over_many_seeds() {
    assert_ceiling_held(
        (0..SEEDS)
            .map(|seed| (seed, alternate_ingresses(seed)))
            .collect(),
    );
}

#[test]
fn a_ceiling_holds_in_a_flood_with_faults_over_many_seeds() {
    assert_ceiling_held(
        (0..SEEDS)
            .map(|seed| (seed, flood_one_ceiling(seed)))
            .collect(),
    );
}

fn assert_ceiling_held(runs: Vec<(u64, (f64, usize))>) {
    let (seed, (capacity_left, _)) = runs
        .iter()
        .min_by(|a, b| a.1 .0.total_cmp(&b.1 .0))
        .unwrap();
    println!("nearest to the ceiling: {capacity_left:.2} units left, seed {seed}");
    let passed: Vec<u64> = runs
        .iter()
        .filter(|(_, p)| p.0 < -1e-6)
        .map(|(seed, _)| *seed)
        .collect();
    assert!(
        passed.is_empty(),
        "ceiling exceeded on seeds {passed:?}, by {:.2} units on seed {seed}",
        -capacity_left
    );
    let sent = runs.iter().map(|(_, p)| p.1).sum::<usize>() as f64 / SEEDS as f64;
    println!("{sent:.1} requests forwarded in the mean");
    assert!(
        sent > 20.0,
        "ingresses that admit nothing prove nothing: {sent:.1} requests in the mean"
    );
}
