//! Many ingresses, each of which rarely receives a request of the same customer and rarely forwards
//! one to the same endpoint.

mod common;
use common::*;
use roseyard_decision::*;

const INGRESSES: usize = 300;

#[test]
fn requests_that_peers_rejected_do_not_block_a_customer_for_long() {
    let mut sim = Simulation::new(settings(INGRESSES as u32), INGRESSES, 20);
    // A flood through all ingresses. With a burst of 10 and a rate of 5, most of it is rejected.
    for ingress in 0..INGRESSES {
        sim.try_serve(ingress, 0, 1);
    }
    end_all_and_advance(&mut sim, 100);
    end_all_and_advance(&mut sim, 4900);
    let forwarded = (0..6)
        .filter(|ingress| sim.try_serve(*ingress, 0, 1))
        .count();
    assert!(
        forwarded >= 5,
        "{forwarded} of 6 requests at a moderate rate forwarded two windows after the flood"
    );
}

#[test]
fn rejected_requests_of_an_infrequent_customer_do_not_make_later_increments_empty() {
    let mut sim = Simulation::new(settings(INGRESSES as u32), INGRESSES, 20);
    for _ in 0..2 {
        let forwarded = (0..INGRESSES)
            .filter(|ingress| sim.try_serve(*ingress, 0, 1))
            .count();
        assert!(
            forwarded <= 14,
            "{forwarded} requests forwarded with a burst of 10: peers cannot see empty increments"
        );
        end_all_and_advance(&mut sim, 3000);
    }
}

/// Sends ingress 0 one request of each customer, and returns how many counter calls it makes.
fn count_calls(
    sim: &mut Simulation,
    plan: usize,
    customers: std::ops::Range<u64>,
    outcome: CallOutcome,
) -> usize {
    let mut calls_made = 0;
    for customer in customers {
        sim.request(0, 0, plan, customer);
        calls_made += sim.pending_calls.len();
        sim.end_all_calls(outcome);
        sim.end_nth_attempt(0, Outcome::Ok);
        sim.advance(ms(30));
    }
    calls_made
}

#[test]
fn a_counter_that_rejects_calls_gets_fewer_until_it_recovers() {
    let mut sim = Simulation::new(settings(INGRESSES as u32), INGRESSES, 20);
    assert!(count_calls(&mut sim, 0, 0..40, CallOutcome::NotAdded) < 20);
    count_calls(&mut sim, 0, 0..40, CallOutcome::Replied);
    assert!(count_calls(&mut sim, 0, 0..40, CallOutcome::Replied) > 30);
}

#[test]
fn a_degraded_counter_gets_no_calls_whose_totals_are_not_needed() {
    let mut settings = settings(INGRESSES as u32);
    settings.plans[1] = Plan {
        over_quota_cost: 0.0,
        ..plan(5.0, 10.0)
    };
    let mut sim = Simulation::new(settings, INGRESSES, 20);
    assert_eq!(
        count_calls(&mut sim, 1, 0..20, CallOutcome::Replied),
        20,
        "a counter that replies is called for every request"
    );
    count_calls(&mut sim, 0, 0..20, CallOutcome::NotAdded);
    assert_eq!(
        count_calls(&mut sim, 1, 20..60, CallOutcome::NotAdded),
        0,
        "requests that cost nothing over the quota need no total"
    );
    assert!(
        count_calls(&mut sim, 0, 20..60, CallOutcome::NotAdded) > 0,
        "some of the requests that cost something over the quota still call the counter"
    );
}

#[test]
fn without_totals_admission_follows_the_estimates_for_first_attempts_and_retries() {
    let mut sim = Simulation::new(settings(INGRESSES as u32), INGRESSES, 20);
    let mut next = 0;
    // Sends requests, each of a different customer that has used this many units at the peers, and
    // returns how many are forwarded.
    let mut send_requests =
        |sim: &mut Simulation, requests: u64, (mark_as_retry, peer_units): (bool, f64), outcome| {
            sim.is_retry = mark_as_retry;
            let mut forwarded = 0;
            for _ in 0..requests {
                next += 1;
                sim.counter_totals.insert(
                    next,
                    CounterEntry {
                        total: peer_units,
                        expires_at: sim.now + ms(2000),
                    },
                );
                let id = sim.request(0, 0, 0, next);
                sim.end_all_calls(outcome);
                forwarded += u64::from(sim.attempt_count(0, id) > 0);
                sim.advance(ms(20));
                sim.end_nth_attempt(0, Outcome::Ok);
            }
            forwarded
        };
    let (first_attempt, client_retry) = ((false, 0.0), (true, 0.0));
    // After these responses, load shedding does not limit the requests of this ingress.
    send_requests(&mut sim, 20, first_attempt, CallOutcome::Replied);
    assert_eq!(
        send_requests(&mut sim, 20, first_attempt, CallOutcome::NotAdded),
        20,
        "first attempts are assumed to be within the quota"
    );
    assert_eq!(
        send_requests(&mut sim, 20, client_retry, CallOutcome::NotAdded),
        0,
        "retries are assumed to be over the quota"
    );
    // Totals now show that retries are within the quota and first attempts are over it.
    send_requests(&mut sim, 100, client_retry, CallOutcome::Replied);
    send_requests(&mut sim, 100, (false, 50.0), CallOutcome::Replied);
    assert_eq!(
        send_requests(&mut sim, 20, client_retry, CallOutcome::NotAdded),
        20,
        "totals showed that retries are within the quota"
    );
    assert_eq!(
        send_requests(&mut sim, 20, first_attempt, CallOutcome::NotAdded),
        0,
        "totals showed that first attempts are over the quota"
    );
}

#[test]
fn one_ingress_of_many_does_not_reject_requests_because_of_local_fluctuation() {
    let mut settings = settings(INGRESSES as u32);
    settings.classes.truncate(1);
    let mut sim = Simulation::new(settings, INGRESSES, 20);
    let mut rejected = 0;
    for round in 0..120 {
        // The ingress receives 17 requests per second, five at a time. Their latency is a fifth of
        // the latency objective, which is two thirds of what load shedding permits.
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
        "{rejected} of 500 requests rejected although the endpoints respond in time"
    );
}

#[test]
fn a_stall_of_the_ingress_does_not_make_endpoints_count_as_unresponsive() {
    let mut sim = Simulation::new(settings(INGRESSES as u32), 1, 20);
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
fn hundreds_of_ingresses_do_not_overload_idle_endpoints_when_they_start() {
    let mut sim = Simulation::new(settings(INGRESSES as u32), INGRESSES, 20);
    for ingress in 0..INGRESSES {
        for k in 0..20 {
            sim.request(ingress, 0, 0, (100 * ingress + k) as u64 + 50_000);
        }
    }
    sim.end_all_calls(CallOutcome::Replied);
    let per_endpoint = sim.forwards.len() / 20;
    assert!(
        per_endpoint <= 20,
        "{per_endpoint} requests in flight per endpoint before the first response"
    );
}

#[test]
fn a_ceiling_shared_by_many_ingresses_holds_across_windows_and_after_lost_totals() {
    let mut sim = Simulation::new(settings(16), 16, 20);
    for round in 0..60 {
        for ingress in 0..16 {
            sim.try_serve(ingress, 1, 1); // `Simulation` checks rule 5 at each forward
        }
        if round == 30 {
            sim.counter_totals.clear();
        }
        end_all_and_advance(&mut sim, 100);
    }
    assert!(
        sim.min_ceiling_level < 30.0,
        "the customer has to use its ceiling"
    );
}

/// Returns endpoint entries of which every second has three quarters of the weight of the others.
fn entries_of_two_weights(endpoints: u32) -> Vec<EndpointEntry> {
    let weight_of = |n: u32| if n.is_multiple_of(2) { 2.0 } else { 1.5 };
    (0..endpoints)
        .map(|n| EndpointEntry {
            weight: weight_of(n),
            ..entry(n, EndpointState::Ready, None)
        })
        .collect()
}

#[test]
fn small_endpoints_get_their_share_although_each_ingress_has_few_requests_in_flight() {
    let mut sim = Simulation::new(settings(100), 100, 60);
    sim.update_all_endpoint_lists(&EndpointListUpdate::Full(entries_of_two_weights(60)));
    for round in 0..60 {
        for ingress in 0..100 {
            sim.request(ingress, 0, 2, (round * 100 + ingress) as u64);
        }
        sim.end_all_calls(CallOutcome::Replied);
        end_all_and_advance(&mut sim, 100);
    }
    let mut forwards_to = [0.0; 60];
    sim.forwards
        .iter()
        .for_each(|forward| forwards_to[forward.endpoint as usize] += 1.0);
    let (all, total_weight) = (forwards_to.iter().sum::<f64>(), 30.0 * 3.5);
    for (n, forward_count) in forwards_to.iter().enumerate() {
        let fair_share = all * if n.is_multiple_of(2) { 2.0 } else { 1.5 } / total_weight;
        assert!(
            (0.6..1.5).contains(&(forward_count / fair_share)),
            "endpoint {n}: {forward_count} forwards, its fair share is {fair_share:.0}"
        );
    }
}

#[test]
fn an_ingress_uses_only_its_subset_until_the_subset_fails() {
    let mut sim = Simulation::new(settings(100), 100, 60);
    let endpoints_used = |sim: &mut Simulation, is_failing: &dyn Fn(u32) -> bool| {
        let from = sim.forwards.len();
        for round in 0..40 {
            sim.request(7, 0, 2, round);
            sim.end_all_calls(CallOutcome::Replied);
            let endpoint = sim.forwards.last().unwrap().endpoint;
            sim.advance(ms(100));
            sim.end_nth_attempt(
                0,
                if is_failing(endpoint) {
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
    let used_after_failure = endpoints_used(&mut sim, &|id| subset.contains(&id));
    assert!(
        used_after_failure.iter().any(|id| !subset.contains(id)),
        "only endpoints of the failing subset were used: {used_after_failure:?}"
    );
}

#[test]
fn an_ingress_index_out_of_range_is_an_error() {
    for (ingress_count, ingress_index) in [(0, 0), (3, 3)] {
        let error = Dispatcher::new(
            Settings {
                ingress_index,
                ..settings(ingress_count)
            },
            1,
        )
        .err()
        .unwrap();
        assert!(error.to_string().contains("number of ingresses"), "{error}");
    }
}
