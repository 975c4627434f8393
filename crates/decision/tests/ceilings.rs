//! Hard ceilings and concurrency limits of customers, with and without totals from the counter.

mod common;
use common::*;
use roseyard_decision::*;

#[test]
fn a_ceiling_holds_with_and_without_totals() {
    for outcome in [
        CallOutcome::LostBeforeAdding,
        CallOutcome::NotAdded,
        CallOutcome::Replied,
    ] {
        let mut sim = Simulation::new(settings(3), 3, 5);
        for round in 0..600 {
            sim.request(round % 3, 0, 1, 1);
            sim.end_all_calls(outcome);
            sim.advance(ms(5));
            sim.end_nth_attempt(0, Outcome::Ok);
        }
        assert!(sim.forwards.len() > 10);
    }
}

#[test]
fn one_ingress_with_totals_admits_a_full_quota_under_a_ceiling() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    sim.advance(ms(1000));
    sim.try_serve(0, 1, 1);
    sim.advance(ms(4000));
    let before = sim.forwards.len();
    for _ in 0..400 {
        sim.try_serve(0, 1, 1);
        sim.advance(ms(10));
    }
    let rate = (sim.forwards.len() - before) as f64 / 4.8;
    assert!(
        rate >= 9.0,
        "{rate} units per second were forwarded under a quota of 10"
    );
}

#[test]
fn a_concurrency_limit_applies_without_a_rate_quota() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let attempts: usize = (0..10)
        .map(|_| {
            let id = sim.request(0, 0, 2, 1);
            sim.attempt_count(0, id)
        })
        .sum();
    assert_eq!(
        attempts, 2,
        "one of three ingresses admits a third of the limit of four, rounded up"
    );
    assert!(sim.pending_calls.is_empty());
}

#[test]
fn a_ceiling_limits_a_customer_whose_quota_is_far_above_it() {
    for outcomes in [
        [CallOutcome::Replied; 4],
        [CallOutcome::LostBeforeAdding; 4],
        [
            CallOutcome::Replied,
            CallOutcome::Replied,
            CallOutcome::LostAfterAdding,
            CallOutcome::NotAdded,
        ],
    ] {
        let mut settings = settings(3);
        (settings.plans[1].rate, settings.plans[1].burst) = (100.0, 300.0);
        let mut sim = Simulation::new(settings, 3, 5);
        for ingress in 0..3 {
            sim.request(ingress, 0, 1, 1);
            sim.end_all_calls(CallOutcome::Replied);
        }
        sim.advance(ms(2500));
        for round in 0..900 {
            sim.request(round % 3, 0, 1, 1);
            sim.end_all_calls(outcomes[round % 4]);
            sim.advance(ms(5));
            sim.end_nth_attempt(0, Outcome::Ok);
        }
        assert!(sim.forwards.len() > 20);
    }
}
