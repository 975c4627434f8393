//! What shows only with many ingresses: each of them sees a customer or an endpoint rarely.

mod common;
use common::*;
use roseyard_decision::*;

const MANY: usize = 300;

#[test]
fn peers_rejected_requests_do_not_lock_a_customer_out_for_minutes() {
    let mut sim = Simulation::new(settings(MANY as u32), MANY, 20);
    // A flood through all ingresses: burst 10, rate 5, most of it rejected.
    for ingress in 0..MANY {
        sim.is_forwarded(ingress, 0, 1);
    }
    end_all_and_advance(&mut sim, 100);
    end_all_and_advance(&mut sim, 4900);
    let forwarded = (0..6)
        .filter(|ingress| sim.is_forwarded(*ingress, 0, 1))
        .count();
    assert!(
        forwarded >= 5,
        "{forwarded} of 6 moderate requests are forwarded two windows after the flood"
    );
}

#[test]
fn rejected_requests_of_an_infrequent_customer_do_not_hide_later_ones() {
    let mut sim = Simulation::new(settings(MANY as u32), MANY, 20);
    for _ in 0..2 {
        let forwarded = (0..MANY)
            .filter(|ingress| sim.is_forwarded(*ingress, 0, 1))
            .count();
        assert!(
            forwarded <= 14,
            "{forwarded} of a burst of 10: increments of nothing were not seen"
        );
        end_all_and_advance(&mut sim, 3000);
    }
}

/// How many calls ingress 0 makes for a request of each of these customers.
fn calls(
    sim: &mut Simulation,
    plan: usize,
    customers: std::ops::Range<u64>,
    mode: CallOutcome,
) -> usize {
    let mut calls_made = 0;
    for customer in customers {
        sim.request(0, 0, plan, customer);
        calls_made += sim.pending_calls.len();
        sim.end_all_calls(mode);
        sim.end_nth_attempt(0, Outcome::Ok);
        sim.advance(ms(30));
    }
    calls_made
}

#[test]
fn a_counter_that_rejects_calls_gets_fewer_until_it_recovers() {
    let mut sim = Simulation::new(settings(MANY as u32), MANY, 20);
    assert!(calls(&mut sim, 0, 0..40, CallOutcome::NotAdded) < 20);
    calls(&mut sim, 0, 0..40, CallOutcome::Replied);
    assert!(calls(&mut sim, 0, 0..40, CallOutcome::Replied) > 30);
}

#[test]
fn a_degraded_counter_gets_no_calls_whose_total_would_change_nothing() {
    let mut settings = settings(MANY as u32);
    settings.plans[1] = Plan {
        over_quota_cost: 0.0,
        ..plan(5.0, 10.0)
    };
    let mut sim = Simulation::new(settings, MANY, 20);
    assert_eq!(
        calls(&mut sim, 1, 0..20, CallOutcome::Replied),
        20,
        "a counter with capacity is called for each request"
    );
    calls(&mut sim, 0, 0..20, CallOutcome::NotAdded);
    assert_eq!(
        calls(&mut sim, 1, 20..60, CallOutcome::NotAdded),
        0,
        "free beyond the quota: no total is needed"
    );
    assert!(
        calls(&mut sim, 0, 20..60, CallOutcome::NotAdded) > 0,
        "where it costs, some still call the counter"
    );
}

#[test]
fn without_totals_admission_follows_the_odds_of_first_attempts_and_of_retries() {
    let mut sim = Simulation::new(settings(MANY as u32), MANY, 20);
    let mut next = 0;
    // How many of so many requests are forwarded, each of a customer with this use at its peers.
    let mut forwarded = |sim: &mut Simulation, requests: u64, (retry, used): (bool, f64), mode| {
        sim.is_retry = retry;
        let mut forwarded = 0;
        for _ in 0..requests {
            next += 1;
            sim.counter_totals.insert(
                next,
                CounterEntry {
                    total: used,
                    expires_at: sim.now + ms(2000),
                },
            );
            let id = sim.request(0, 0, 0, next);
            sim.end_all_calls(mode);
            forwarded += u64::from(sim.attempt_count(0, id) > 0);
            sim.advance(ms(20));
            sim.end_nth_attempt(0, Outcome::Ok);
        }
        forwarded
    };
    let (first, again) = ((false, 0.0), (true, 0.0));
    // Responses show that the endpoints bear what goes out from here.
    forwarded(&mut sim, 20, first, CallOutcome::Replied);
    assert_eq!(
        forwarded(&mut sim, 20, first, CallOutcome::NotAdded),
        20,
        "most customers stay inside their quota"
    );
    assert_eq!(
        forwarded(&mut sim, 20, again, CallOutcome::NotAdded),
        0,
        "retries follow rejections"
    );
    // Now totals show that retries are within their quota, and first attempts are not.
    forwarded(&mut sim, 100, again, CallOutcome::Replied);
    forwarded(&mut sim, 100, (false, 50.0), CallOutcome::Replied);
    assert_eq!(
        forwarded(&mut sim, 20, again, CallOutcome::NotAdded),
        20,
        "totals showed retries to be within their quota"
    );
    assert_eq!(
        forwarded(&mut sim, 20, first, CallOutcome::NotAdded),
        0,
        "totals showed first attempts to be beyond it"
    );
}

#[test]
fn one_ingress_of_many_does_not_reject_for_the_fluctuation_of_its_few_requests() {
    let mut settings = settings(MANY as u32);
    settings.classes.truncate(1);
    let mut sim = Simulation::new(settings, MANY, 20);
    let mut rejected = 0;
    for round in 0..120 {
        // Seventeen a second, five at a time; each is in flight for a fifth of its latency
        // objective, two thirds of what is borne.
        let from = sim.forwards.len();
        for k in 0..5 {
            sim.request(0, 0, 2, 5 * round + k);
        }
        sim.end_all_calls(CallOutcome::Replied);
        rejected += if round >= 20 {
            5 - (sim.forwards.len() - from)
        } else {
            0
        };
        sim.advance(ms(100));
        (0..5).for_each(|_| sim.end_nth_attempt(0, Outcome::Ok));
        sim.advance(ms(200));
    }
    assert!(
        rejected <= 25,
        "{rejected} of 500 rejected while the endpoints answer in time"
    );
}

#[test]
fn a_stall_of_the_ingress_makes_no_endpoint_unresponsive() {
    let mut sim = Simulation::new(settings(MANY as u32), 1, 20);
    for k in 0..10 {
        sim.request(0, 0, 0, k);
    }
    sim.end_all_calls(CallOutcome::Replied);
    sim.now += ms(1000);
    sim.handle(0, Event::TimerExpired(TimerTag(0)));
    let is_unresponsive = |notice: &Notice| matches!(notice, Notice::EndpointUnresponsive(_));
    assert!(
        !sim.notices.iter().any(is_unresponsive),
        "{:?}",
        sim.notices
    );
}

#[test]
fn hundreds_of_ingresses_do_not_fill_idle_endpoints_in_the_first_second() {
    let mut sim = Simulation::new(settings(MANY as u32), MANY, 20);
    for ingress in 0..MANY {
        for k in 0..20 {
            sim.request(ingress, 0, 0, (100 * ingress + k) as u64 + 50_000);
        }
    }
    sim.end_all_calls(CallOutcome::Replied);
    let per_endpoint = sim.forwards.len() / 20;
    assert!(
        per_endpoint <= 20,
        "{per_endpoint} in flight at each endpoint before any response"
    );
}

#[test]
fn a_ceiling_shared_by_many_holds_at_window_edges_and_when_the_counter_loses_its_totals() {
    let mut sim = Simulation::new(settings(16), 16, 20);
    for round in 0..60 {
        for ingress in 0..16 {
            sim.is_forwarded(ingress, 1, 1); // the simulation checks rule 5 at each forward
        }
        if round == 30 {
            sim.counter_totals.clear();
        }
        end_all_and_advance(&mut sim, 100);
    }
    assert!(
        sim.min_ceiling_level < 30.0,
        "the customer used its ceiling"
    );
}

/// Entries of a fleet in which every second endpoint is a quarter smaller.
fn two_sizes(endpoints: u32) -> Vec<EndpointEntry> {
    let size = |n: u32| if n.is_multiple_of(2) { 2.0 } else { 1.5 };
    (0..endpoints)
        .map(|n| EndpointEntry {
            weight: size(n),
            ..entry(n, EndpointState::Ready, None)
        })
        .collect()
}

#[test]
fn small_endpoints_carry_their_share_where_each_ingress_has_few_in_flight() {
    let mut sim = Simulation::new(settings(100), 100, 60);
    sim.update_all_endpoint_lists(&EndpointListUpdate::Full(two_sizes(60)));
    for round in 0..60 {
        for ingress in 0..100 {
            sim.request(ingress, 0, 2, (round * 100 + ingress) as u64);
        }
        sim.end_all_calls(CallOutcome::Replied);
        end_all_and_advance(&mut sim, 100);
    }
    let mut got = [0.0; 60];
    sim.forwards
        .iter()
        .for_each(|forward| got[forward.endpoint as usize] += 1.0);
    let (all, sizes) = (got.iter().sum::<f64>(), 30.0 * 3.5);
    for (n, got) in got.iter().enumerate() {
        let fair = all * if n.is_multiple_of(2) { 2.0 } else { 1.5 } / sizes;
        assert!(
            (0.6..1.5).contains(&(got / fair)),
            "endpoint {n}: {got} of a fair {fair:.0}"
        );
    }
}

#[test]
fn an_ingress_of_many_keeps_to_its_subset_and_leaves_it_when_it_fails() {
    let mut sim = Simulation::new(settings(100), 100, 60);
    let endpoints_used = |sim: &mut Simulation, bad: &dyn Fn(u32) -> bool| {
        let from = sim.forwards.len();
        for round in 0..40 {
            sim.request(7, 0, 2, round);
            sim.end_all_calls(CallOutcome::Replied);
            let endpoint = sim.forwards.last().unwrap().endpoint;
            sim.advance(ms(100));
            sim.end_nth_attempt(
                0,
                if bad(endpoint) {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                },
            );
            end_all_and_advance(sim, 0);
        }
        sim.forwards[from..]
            .iter()
            .map(|forward| forward.endpoint)
            .collect::<std::collections::BTreeSet<_>>()
    };
    let subset = endpoints_used(&mut sim, &|_| false);
    assert!((8..=16).contains(&subset.len()), "{subset:?}");
    let others = endpoints_used(&mut sim, &|s| subset.contains(&s));
    assert!(
        others.iter().any(|s| !subset.contains(s)),
        "a subset that fails is left: {others:?}"
    );
}

#[test]
fn an_index_that_no_ingress_has_is_an_error() {
    for (ingress_count, ingress_index) in [(0, 0), (3, 3)] {
        let wrong = Dispatcher::new(
            Settings {
                ingress_index,
                ..settings(ingress_count)
            },
            1,
        )
        .err()
        .unwrap();
        assert!(wrong.to_string().contains("number of ingresses"), "{wrong}");
    }
}
