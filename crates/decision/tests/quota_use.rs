//! How much of its quota a customer gets over all ingresses.

mod common;
use common::*;
use roseyard_decision::*;

/// Units that a run forwarded, and those that the quota allowed in that time.
struct Use {
    forwarded: f64,
    allowed: f64,
}

/// One customer sends three ingresses many times its quota, each request estimated at 2 units.
fn use_with_estimates(actual_units: f64) -> Use {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let start = sim.now;
    for round in 0..2000 {
        let ingress = round % 3;
        let id = sim.request_with_units(ingress, 0, 0, 1, 2.0, ms(1500));
        sim.end_all_calls(CallOutcome::Replied);
        sim.advance(ms(15));
        if sim.attempt_count(ingress, id) > 0 {
            sim.end_attempt_with_units(ingress, id, 0, Outcome::Ok, Some(actual_units));
        }
    }
    let plan = &sim.settings.plans[0];
    Use {
        forwarded: sim.forwards.len() as f64 * actual_units,
        allowed: plan.burst + plan.rate * (sim.now - start).as_secs_f64(),
    }
}

#[test]
fn actual_units_above_and_below_the_estimate_stay_within_the_quota_over_all_ingresses() {
    for actual_units in [1.0, 2.0, 3.0, 5.0] {
        let Use { forwarded, allowed } = use_with_estimates(actual_units);
        println!(
            "actual {actual_units}, estimate 2: {forwarded} actual units forwarded of {allowed}"
        );
        assert!(
            forwarded <= 1.15 * allowed,
            "actual {actual_units}: {forwarded} forwarded of {allowed}"
        );
        assert!(
            forwarded >= 0.8 * allowed,
            "actual {actual_units}: {forwarded} forwarded of {allowed}, capacity is left unused"
        );
    }
}

/// How one plan's customer fared in a run.
#[derive(Clone, Copy, Default)]
struct PlanUse {
    /// The quota's bucket, in units.
    available: f64,
    requests: f64,
    forwarded_units: f64,
    /// Rejected while the bucket held half of its units or more.
    rejected_within_quota: f64,
}

/// What a run shows of one plan.
struct PlanRatios {
    /// Units forwarded, relative to those that were allowed.
    used: f64,
    /// Share of requests that were rejected while the quota held half of its units or more.
    rejected_within_quota: f64,
}

/// One customer of each of three plans sends three ingresses so many times its quota, for a minute;
/// the counter replies to this part of the calls and rejects the others. The ratios of each plan.
fn use_by_plan(times: f64, replied_ratio: f64, seed: u64) -> Vec<PlanRatios> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings(3);
    let with_ceiling = Plan {
        ceiling_rate: 12.6,
        ceiling_burst: 54.0,
        ceiling_slack: 8.0,
        ..plan(6.0, 26.0)
    };
    settings.plans = vec![plan(1.7, 8.0), with_ceiling, plan(24.0, 50.0)];
    let plans = settings.plans.clone();
    let mut sim = Simulation::seeded(settings, 3, 5, seed);
    let start = sim.now;
    let step = ms(10);
    let full = |plan: &Plan| PlanUse {
        available: plan.burst,
        ..PlanUse::default()
    };
    let mut uses: Vec<PlanUse> = plans.iter().map(full).collect();
    for _ in 0..6000 {
        for (index, plan) in plans.iter().enumerate() {
            let plan_use = &mut uses[index];
            let refill = plan.rate * step.as_secs_f64();
            plan_use.available = (plan_use.available + refill).min(plan.burst);
            // Two units a request, in the mean.
            if rng.f64() >= times * plan.rate / 2.0 * step.as_secs_f64() {
                continue;
            }
            let ingress = rng.usize(0..3);
            let units = f64::from(rng.u32(1..=3));
            let customer = index as u64 + 1;
            let id = sim.request_with_units(ingress, 0, index, customer, units, ms(1500));
            sim.end_all_calls(if rng.f64() < replied_ratio {
                CallOutcome::Replied
            } else {
                CallOutcome::NotAdded
            });
            plan_use.requests += 1.0;
            if sim.attempt_count(ingress, id) > 0 {
                plan_use.forwarded_units += units;
                plan_use.available -= units.min(plan_use.available.max(0.0));
                sim.end_attempt(ingress, id, 0, Outcome::Ok);
            } else if plan_use.available >= plan.burst / 2.0 {
                plan_use.rejected_within_quota += 1.0;
            }
        }
        sim.advance(step);
    }
    let seconds = (sim.now - start).as_secs_f64();
    let ratios = |(plan, plan_use): (&Plan, &PlanUse)| {
        let requested = times * plan.rate * seconds;
        let allowed = (plan.burst + plan.rate * seconds).min(requested);
        PlanRatios {
            used: plan_use.forwarded_units / allowed,
            rejected_within_quota: plan_use.rejected_within_quota / plan_use.requests,
        }
    };
    plans.iter().zip(&uses).map(ratios).collect()
}

#[test]
fn each_plan_stays_within_its_quota_as_far_as_the_counter_replies() {
    // Without totals an ingress sees its own part of a customer alone, and what all admit together
    // exceeds the quota.
    for (part, beyond) in [(1.0, 1.1), (0.3, 1.55), (0.15, 1.7)] {
        for times in [0.5, 3.0] {
            let runs: Vec<_> = (0..2).map(|seed| use_by_plan(times, part, seed)).collect();
            for n in 0..3 {
                let mean = |of: fn(&PlanRatios) -> f64| {
                    runs.iter().map(|run| of(&run[n])).sum::<f64>() / 2.0
                };
                let used = mean(|ratios| ratios.used);
                let rejected = mean(|ratios| ratios.rejected_within_quota);
                println!(
                    "part {part}, {times} times the quota, plan {n}: \
                     {used:.2} used, {rejected:.2} rejected within the quota"
                );
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
