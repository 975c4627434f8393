//! How much of its quota a customer gets over all ingresses.

mod common;
use common::*;
use roseyard_decision::*;

/// One customer asks three ingresses for many times its quota, each request estimated at 2 units.
/// The actual units forwarded, and what the quota gives in that time.
fn forwarded_and_allowed(actual_units: f64) -> (f64, f64) {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let began = sim.now;
    for round in 0..2000 {
        let id = sim.request_with_units(round % 3, 0, 0, 1, 2.0, ms(1500));
        sim.end_all_calls(CallOutcome::Replied);
        sim.advance(ms(15));
        if sim.attempt_count(round % 3, id) > 0 {
            sim.end_attempt_with_units(round % 3, id, 0, Outcome::Ok, Some(actual_units));
        }
    }
    let plan = &sim.settings.plans[0];
    (
        sim.forwards.len() as f64 * actual_units,
        plan.burst + plan.rate * (sim.now - began).as_secs_f64(),
    )
}

#[test]
fn actual_units_above_and_below_the_estimate_stay_within_the_quota_over_all_ingresses() {
    for actual_units in [1.0, 2.0, 3.0, 5.0] {
        let (sent, allowance) = forwarded_and_allowed(actual_units);
        println!(
            "actual {actual_units} of an estimate of 2: {sent} actual units sent of {allowance}"
        );
        assert!(
            sent <= 1.15 * allowance,
            "actual {actual_units}: {sent} forwarded of {allowance}"
        );
        assert!(
            sent >= 0.8 * allowance,
            "actual {actual_units}: {sent} forwarded of {allowance}, capacity is left unused"
        );
    }
}

/// One customer of each of three plans asks three ingresses for so many times its quota, for a
/// minute; the counter answers this part of the calls and rejects the others. By plan: units
/// forwarded against the quota, and the share of requests that were rejected while the quota held
/// half of its units or more.
fn use_by_plan(times: f64, part: f64, seed: u64) -> Vec<(f64, f64)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings(3);
    let ceiling = Plan {
        ceiling_rate: 12.6,
        ceiling_burst: 54.0,
        ceiling_slack: 8.0,
        ..plan(6.0, 26.0)
    };
    settings.plans = vec![plan(1.7, 8.0), ceiling, plan(24.0, 50.0)];
    let mut sim = Simulation::seeded(settings, 3, 5, seed);
    let (began, step) = (sim.now, ms(10));
    let plans = sim.settings.plans.clone();
    let mut stores: Vec<f64> = plans.iter().map(|p| p.burst).collect();
    let (mut sent, mut attempts, mut rejected_within_quota) =
        (vec![0.0; 3], vec![0.0; 3], vec![0.0; 3]);
    for _ in 0..6000 {
        for (n, plan) in plans.iter().enumerate() {
            stores[n] = (stores[n] + plan.rate * step.as_secs_f64()).min(plan.burst);
            // Two units a request, in the mean.
            if rng.f64() >= times * plan.rate / 2.0 * step.as_secs_f64() {
                continue;
            }
            let (ingress, units) = (rng.usize(0..3), f64::from(rng.u32(1..=3)));
            let id = sim.request_with_units(ingress, 0, n, n as u64 + 1, units, ms(1500));
            sim.end_all_calls(if rng.f64() < part {
                CallOutcome::Replied
            } else {
                CallOutcome::NotAdded
            });
            attempts[n] += 1.0;
            if sim.attempt_count(ingress, id) > 0 {
                sent[n] += units;
                stores[n] -= units.min(stores[n].max(0.0));
                sim.end_attempt(ingress, id, 0, Outcome::Ok);
            } else if stores[n] >= plan.burst / 2.0 {
                rejected_within_quota[n] += 1.0;
            }
        }
        sim.advance(step);
    }
    let seconds = (sim.now - began).as_secs_f64();
    let asked = |n: usize| times * plans[n].rate * seconds;
    let allowance = |n: usize| (plans[n].burst + plans[n].rate * seconds).min(asked(n));
    (0..3)
        .map(|n| {
            (
                sent[n] / allowance(n),
                rejected_within_quota[n] / attempts[n],
            )
        })
        .collect()
}

#[test]
fn each_plan_stays_within_its_quota_as_far_as_the_counter_replies() {
    // Without totals an ingress sees its own part of a customer alone, and what all admit together
    // exceeds the quota.
    for (part, beyond) in [(1.0, 1.1), (0.3, 1.55), (0.15, 1.7)] {
        for times in [0.5, 3.0] {
            let runs: Vec<_> = (0..2).map(|seed| use_by_plan(times, part, seed)).collect();
            for n in 0..3 {
                let mean =
                    |of: fn(&(f64, f64)) -> f64| runs.iter().map(|p| of(&p[n])).sum::<f64>() / 2.0;
                let (used, capacity_left) = (mean(|p| p.0), mean(|p| p.1));
                println!("part {part}, {times} times the quota, plan {n}: {used:.2} used, {capacity_left:.2} rejected within the quota");
                assert!(
                    used <= beyond,
                    "part {part}, plan {n}: {used:.2} of the quota"
                );
                assert!(
                    used >= 0.7,
                    "part {part}, plan {n}: only {used:.2} of the quota"
                );
            }
        }
    }
}
