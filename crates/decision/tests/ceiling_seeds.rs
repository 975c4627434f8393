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

/// How near a run came to its ceiling, and how many requests it forwarded.
struct CeilingUse {
    units_left: f64,
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

/// One run of a flood on one customer's ceiling through three ingresses: uneven traffic, a counter
/// that answers late, loses calls before or after they count, rejects calls and loses its totals,
/// window ends, and restarts of one ingress or of all.
fn flood_one_ceiling(seed: u64) -> CeilingUse {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings(3);
    // A ceiling of 1.7 to 2.6 times the quota, requests of 1 to 8 units, a slack of one of the
    // largest.
    let rate = 4.4 + 3.2 * rng.f64();
    let times = 1.7 + 0.9 * rng.f64();
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

/// Requests of one unit in turn through three ingresses, each seventh call to the counter lost, an
/// ingress restarted and the counter emptied every 400 ms: only the ingresses' seeds differ.
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

fn assert_ceiling_held(run: impl Fn(u64) -> CeilingUse) {
    let runs: Vec<CeilingUse> = (0..SEEDS).map(run).collect();
    let numbered = || (0..SEEDS).zip(&runs);
    let (seed, nearest) = numbered()
        .min_by(|(_, a), (_, b)| a.units_left.total_cmp(&b.units_left))
        .unwrap();
    let units_left = nearest.units_left;
    println!("nearest to the ceiling: {units_left:.2} units left, seed {seed}");
    let exceeded: Vec<u64> = numbered()
        .filter(|(_, run)| run.units_left < -1e-6)
        .map(|(seed, _)| seed)
        .collect();
    assert!(
        exceeded.is_empty(),
        "ceiling exceeded on seeds {exceeded:?}, by {:.2} units on seed {seed}",
        -units_left
    );
    let forwarded = runs.iter().map(|run| run.forwarded).sum::<usize>() as f64 / SEEDS as f64;
    println!("{forwarded:.1} requests forwarded in the mean");
    assert!(
        forwarded > 20.0,
        "ingresses that admit nothing prove nothing: {forwarded:.1} requests in the mean"
    );
}
