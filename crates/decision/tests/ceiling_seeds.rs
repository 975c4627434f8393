//! Checks with many seeds that a customer's ceiling holds while ingresses restart and the counter
//! fails in every possible way.

mod common;
use common::*;
use roseyard_decision::*;

const SEEDS: u64 = 600;

/// Every outcome of a counter call.
const CALL_OUTCOMES: [CallOutcome; 4] = [
    CallOutcome::Replied,
    CallOutcome::LostBeforeAdding,
    CallOutcome::LostAfterAdding,
    CallOutcome::NotAdded,
];

/// The result of a run.
struct CeilingUse {
    /// The lowest number of units that were left under the ceiling and its slack; negative if the
    /// ceiling was exceeded.
    units_left: f64,
    /// The number of requests forwarded.
    forwarded: usize,
}

impl CeilingUse {
    fn of(sim: &Simulation) -> CeilingUse {
        CeilingUse {
            units_left: sim.min_ceiling_level + sim.settings.plans[1].ceiling_slack,
            forwarded: sim.forwards.len(),
        }
    }
}

/// Floods the ceiling of one customer through three ingresses, one of which gets most of the
/// traffic. The counter replies late, rejects calls, loses them before or after adding their
/// amount, and loses its totals. Counter windows end, and one ingress or all of them restart.
fn flood_one_ceiling(seed: u64) -> CeilingUse {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings(3);
    // The ceiling is 1.7 to 2.6 times the quota. Requests cost 1 to 8 units, and the slack covers
    // at least one of the largest requests.
    let rate = 4.4 + 3.2 * rng.f64();
    let ceiling_factor = 1.7 + 0.9 * rng.f64();
    let burst = rate * (3.1 + 2.7 * rng.f64());
    let slack = f64::max(8.0, 0.1 * burst * ceiling_factor);
    let plan_with_ceiling = Plan {
        ceiling_rate: rate * ceiling_factor,
        ceiling_burst: burst * ceiling_factor,
        ceiling_slack: slack,
        ..plan(rate, burst)
    };
    settings.plans[1] = plan_with_ceiling;
    let mut sim = Simulation::seeded(settings, 3, 5, seed);
    sim.assert_ceilings = false;
    let fault_ratio = rng.f64();
    for _ in 0..800 {
        let ingress = if rng.f64() < 0.5 { 0 } else { rng.usize(0..3) };
        sim.request_with_units(ingress, 0, 1, 1, f64::from(rng.u32(1..=8)), ms(1500));
        sim.advance(ms(rng.u64(0..30)));
        while sim.pending_calls.len() > rng.usize(0..6) {
            let outcome = if rng.f64() < fault_ratio {
                CALL_OUTCOMES[rng.usize(0..4)]
            } else {
                CallOutcome::Replied
            };
            sim.end_nth_call(rng.usize(0..8), outcome);
        }
        sim.end_nth_attempt(rng.usize(0..8), Outcome::Ok);
        match rng.usize(0..300) {
            0 => sim.counter_totals.clear(),
            1 => sim.restart(rng.usize(0..3), 5),
            2 => (0..3).for_each(|ingress| sim.restart(ingress, 5)),
            3 => sim.advance(ms(rng.u64(200..6000))),
            _ => {}
        }
    }
    CeilingUse::of(&sim)
}

/// Sends requests of one unit to three ingresses in turn. Every seventh counter call is lost. Every
/// 400 ms, one ingress restarts and the counter loses its totals. Runs differ only in the seeds of
/// the ingresses.
fn alternate_ingresses(seed: u64) -> CeilingUse {
    let mut sim = Simulation::seeded(settings(3), 3, 5, 1000 * seed);
    sim.assert_ceilings = false;
    for round in 0..1500 {
        sim.request(round % 3, 0, 1, 1);
        sim.end_all_calls(if round % 7 == 0 {
            CallOutcome::LostBeforeAdding
        } else {
            CallOutcome::Replied
        });
        sim.advance(ms(4));
        sim.end_nth_attempt(0, Outcome::Ok);
        if round % 100 == 99 {
            sim.restart(round / 100 % 3, 5);
            sim.counter_totals.clear();
        }
    }
    CeilingUse::of(&sim)
}

#[test]
fn a_ceiling_holds_for_alternating_ingresses_over_many_seeds() {
    assert_ceiling_held(alternate_ingresses);
}

#[test]
fn a_ceiling_holds_in_a_flood_with_faults_over_many_seeds() {
    assert_ceiling_held(flood_one_ceiling);
}

/// Runs with all seeds, and asserts that no run exceeded the ceiling and that enough requests were
/// forwarded for the ceiling to matter.
fn assert_ceiling_held(run: impl Fn(u64) -> CeilingUse) {
    let runs: Vec<CeilingUse> = (0..SEEDS).map(run).collect();
    let runs_by_seed = || (0..SEEDS).zip(&runs);
    let (seed, closest_run) = runs_by_seed()
        .min_by(|(_, a), (_, b)| a.units_left.total_cmp(&b.units_left))
        .unwrap();
    let units_left = closest_run.units_left;
    println!("closest to the ceiling: {units_left:.2} units left with seed {seed}");
    let exceeded: Vec<u64> = runs_by_seed()
        .filter(|(_, run)| run.units_left < -1e-6)
        .map(|(seed, _)| seed)
        .collect();
    assert!(
        exceeded.is_empty(),
        "ceiling exceeded with seeds {exceeded:?}, by up to {:.2} units with seed {seed}",
        -units_left
    );
    let forwarded = runs.iter().map(|run| run.forwarded).sum::<usize>() as f64 / SEEDS as f64;
    println!("{forwarded:.1} requests forwarded per run on average");
    assert!(
        forwarded > 20.0,
        "too few requests to test the ceiling: {forwarded:.1} forwarded per run on average"
    );
}
