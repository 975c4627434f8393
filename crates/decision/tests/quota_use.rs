//! How much of its quota a customer can use over all ingresses.

mod common;
use common::*;
use roseyard_decision::*;

/// The units that a run forwarded, and the units that the quota allowed in the same time.
struct QuotaUse {
    forwarded: f64,
    allowed: f64,
}

/// Sends three ingresses many times the quota of one customer. Each request is estimated at 2
/// units, and its response reports the actual units.
fn use_with_estimates(actual_units: f64) -> QuotaUse {
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
    QuotaUse {
        forwarded: sim.forwards.len() as f64 * actual_units,
        allowed: plan.burst + plan.rate * (sim.now - start).as_secs_f64(),
    }
}

#[test]
fn actual_units_above_and_below_the_estimate_stay_within_the_quota_over_all_ingresses() {
    for actual_units in [1.0, 2.0, 3.0, 5.0] {
        let QuotaUse { forwarded, allowed } = use_with_estimates(actual_units);
        println!(
            "{actual_units} units per request, estimated at 2: {forwarded} forwarded of {allowed}"
        );
        assert!(
            forwarded <= 1.15 * allowed,
            "{actual_units} units per request, estimated at 2: {forwarded} forwarded of {allowed}"
        );
        assert!(
            forwarded >= 0.8 * allowed,
            "{actual_units} units per request, estimated at 2: only {forwarded} of {allowed}"
        );
    }
}

/// What the customer of one plan used during a run.
#[derive(Clone, Copy, Default)]
struct PlanUse {
    /// The units that are left in the token bucket of the quota.
    available: f64,
    requests: f64,
    forwarded_units: f64,
    /// The number of requests rejected while the bucket was at least half full.
    rejected_within_quota: f64,
}

/// The result of a run for one plan.
struct PlanRatios {
    /// The units forwarded, relative to the units allowed.
    used: f64,
    /// The share of requests that were rejected while the bucket was at least half full.
    rejected_within_quota: f64,
}

/// Sends three ingresses the requests of three customers, each on a plan of its own, for one
/// minute. The request rate is `load_factor` times the quota. The counter replies to a share of
/// `replied_ratio` of the calls and rejects the others. Returns the result for each plan.
fn use_by_plan(load_factor: f64, replied_ratio: f64, seed: u64) -> Vec<PlanRatios> {
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
    let full_bucket = |plan: &Plan| PlanUse {
        available: plan.burst,
        ..PlanUse::default()
    };
    let mut uses: Vec<PlanUse> = plans.iter().map(full_bucket).collect();
    for _ in 0..6000 {
        for (index, plan) in plans.iter().enumerate() {
            let plan_use = &mut uses[index];
            let refill = plan.rate * step.as_secs_f64();
            plan_use.available = (plan_use.available + refill).min(plan.burst);
            // A request costs two units on average.
            if rng.f64() >= load_factor * plan.rate / 2.0 * step.as_secs_f64() {
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
        let requested = load_factor * plan.rate * seconds;
        let allowed = (plan.burst + plan.rate * seconds).min(requested);
        PlanRatios {
            used: plan_use.forwarded_units / allowed,
            rejected_within_quota: plan_use.rejected_within_quota / plan_use.requests,
        }
    };
    plans.iter().zip(&uses).map(ratios).collect()
}

#[test]
fn use_exceeds_a_quota_only_as_far_as_counter_replies_are_missing() {
    // Without a total, an ingress knows only its own part of a customer's use, so what all
    // ingresses admit together exceeds the quota.
    for (replied_share, max_used) in [(1.0, 1.1), (0.3, 1.55), (0.15, 1.7)] {
        for load_factor in [0.5, 3.0] {
            let runs: Vec<_> = (0..2)
                .map(|seed| use_by_plan(load_factor, replied_share, seed))
                .collect();
            for plan_index in 0..3 {
                let mean = |ratio: fn(&PlanRatios) -> f64| {
                    runs.iter().map(|run| ratio(&run[plan_index])).sum::<f64>() / 2.0
                };
                let used = mean(|ratios| ratios.used);
                let rejected = mean(|ratios| ratios.rejected_within_quota);
                println!(
                    "{replied_share} replied, {load_factor} times the quota, plan {plan_index}: \
                     {used:.2} used, {rejected:.2} rejected within the quota"
                );
                assert!(
                    used <= max_used,
                    "{replied_share} replied, plan {plan_index}: {used:.2} of the quota used"
                );
                assert!(
                    used >= 0.7,
                    "{replied_share} replied, plan {plan_index}: only {used:.2} of the quota used"
                );
            }
        }
    }
}
