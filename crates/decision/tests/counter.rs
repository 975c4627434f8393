//! Quotas with a counter that replies, and with one that fails in different ways.

mod common;
use common::*;
use roseyard_decision::*;

/// Sends requests while the counter replies, and returns how many are forwarded.
fn count_forwarded(
    sim: &mut Simulation,
    ingress: usize,
    plan: usize,
    customer: u64,
    requests: usize,
) -> usize {
    (0..requests)
        .filter(|_| sim.try_serve(ingress, plan, customer))
        .count()
}

#[test]
fn each_request_makes_one_increment_and_is_rejected_at_once_over_the_quota() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let id = sim.request(0, 0, 0, 1);
    assert_eq!(
        (
            sim.pending_calls.len(),
            sim.pending_calls[0].amount,
            sim.attempt_count(0, id)
        ),
        (1, 1.0, 0)
    );
    assert_eq!(
        sim.pending_calls[0].time_to_live,
        ms(2000),
        "the window is the burst divided by the rate"
    );
    sim.end_all_calls(CallOutcome::Replied);
    assert_eq!(sim.attempt_count(0, id), 1);
    sim.end_nth_attempt(0, Outcome::Ok);
    let more = count_forwarded(&mut sim, 0, 0, 1, 30);
    assert!(
        (8..=10).contains(&more),
        "{more} further requests of a burst of 10 were forwarded"
    );
    let id = sim.request(0, 0, 0, 1);
    sim.end_all_calls(CallOutcome::Replied);
    assert_eq!(sim.answer_of(0, id), Some(Answer::Rejected));
    let last_retry_after = sim.actions.iter().rev().find_map(|(_, a)| match a {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert!(
        last_retry_after
            .flatten()
            .is_some_and(|d| d > ms(0) && d <= ms(1000)),
        "a rejection has a retry-after time of at most 1 s"
    );
}

#[test]
fn totals_show_an_ingress_what_its_peers_have_admitted() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    assert!(count_forwarded(&mut sim, 0, 0, 1, 30) >= 9);
    assert!(
        count_forwarded(&mut sim, 1, 0, 1, 30) <= 2,
        "the total shows the second ingress that the quota is used up"
    );
}

#[test]
fn rejected_requests_do_not_inflate_the_counter() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    count_forwarded(&mut sim, 0, 0, 1, 200);
    let total: f64 = sim.counter_totals.values().map(|entry| entry.total).sum();
    assert!(
        total <= 14.0,
        "the total is {total} after many rejected requests, with a burst of 10"
    );
}

#[test]
fn requests_over_the_bucket_add_nothing_and_admitted_units_are_added_later() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let total = |sim: &Simulation| {
        sim.counter_totals
            .values()
            .map(|entry| entry.total)
            .sum::<f64>()
    };
    let before = count_forwarded(&mut sim, 0, 0, 1, 30) as f64;
    assert_eq!(
        total(&sim),
        before,
        "the total contains the admitted units and none of rejected requests"
    );
    sim.advance(ms(400));
    let refilled = count_forwarded(&mut sim, 0, 0, 1, 5) as f64;
    assert!(refilled >= 1.0, "the bucket refills at 5 units per second");
    sim.advance(ms(400));
    count_forwarded(&mut sim, 0, 0, 1, 5);
    assert!(
        total(&sim) >= before + refilled,
        "the total contains all admitted units"
    );
}

#[test]
fn a_new_counter_window_does_not_renew_the_quota() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    assert!(count_forwarded(&mut sim, 0, 0, 1, 30) >= 9);
    // To an ingress, this looks like an expired key or the end of the window.
    sim.counter_totals.clear();
    assert!(count_forwarded(&mut sim, 0, 0, 1, 30) <= 2);
}

#[test]
fn a_fully_used_quota_holds_while_only_some_requests_call_the_counter() {
    // Three ingresses receive several times the quota of one customer, and every fifth counter call
    // is late.
    let mut sim = Simulation::new(settings(3), 3, 5);
    for round in 0..1000 {
        sim.request(round % 3, 0, 0, 1);
        sim.advance(ms(20));
        if round % 5 == 0 {
            sim.advance(ms(61));
        }
        sim.end_all_calls(CallOutcome::Replied);
        sim.end_nth_attempt(0, Outcome::Ok);
    }
    // The quota is 170 units: 32 s at 5 units per second, plus a burst of 10. If unreported units
    // decayed, or if the peers' use were forgotten at the end of a window, more than 230 would be
    // forwarded.
    let forwarded_units = sim.forwards.len();
    assert!(
        (130..=210).contains(&forwarded_units),
        "{forwarded_units} units were forwarded under a quota of 170"
    );
}

#[test]
fn requests_far_over_the_quota_do_not_call_an_overloaded_counter() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    sim.try_serve(0, 0, 1);
    sim.counter_totals
        .values_mut()
        .for_each(|entry| entry.total += 100.0);
    sim.try_serve(0, 0, 1);
    sim.request(0, 0, 0, 2);
    sim.end_all_calls(CallOutcome::NotAdded);
    for _ in 0..60 {
        sim.request(0, 0, 0, 1);
    }
    assert_eq!(
        sim.pending_calls.len(),
        0,
        "the bucket rejects the requests, whatever the total is"
    );
    for k in 0..20 {
        sim.request(0, 0, 0, 10 + k);
    }
    assert!(
        sim.pending_calls.len() > 5,
        "requests of other customers still call the counter"
    );
}

#[test]
fn an_unresponsive_counter_delays_a_request_only_briefly() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let id = sim.request(0, 0, 0, 1);
    sim.advance(ms(45));
    assert_eq!(
        sim.attempt_count(0, id),
        1,
        "the bucket decides long before the latency objective of 500 ms"
    );
}

#[test]
fn an_ingress_without_totals_does_not_admit_a_flood() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let mut forwarded_units = 0;
    for _ in 0..100 {
        let id = sim.request(0, 0, 0, 1);
        sim.advance(ms(10));
        sim.end_all_calls(CallOutcome::NotAdded);
        forwarded_units += sim.attempt_count(0, id);
        sim.end_nth_attempt(0, Outcome::Ok);
    }
    assert!(
        (3..=16).contains(&forwarded_units),
        "{forwarded_units} units forwarded in a second; the quota is 5 per second, the burst 10"
    );
}

#[test]
fn units_admitted_while_the_counter_rejects_calls_are_added_with_the_next_increment() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    for _ in 0..3 {
        sim.request(0, 0, 0, 1);
        sim.end_all_calls(CallOutcome::NotAdded);
    }
    for _ in 0..40 {
        if sim.pending_calls.is_empty() {
            sim.request(0, 0, 0, 1);
        }
    }
    // The bucket starts half full, with 5 units. Two requests are admitted, because the two peers
    // are assumed to admit as many. Their units are added together with that of the next request.
    assert!(
        sim.pending_calls[0].amount > 2.5,
        "the increment has to include the unreported units: {}",
        sim.pending_calls[0].amount
    );
}

#[test]
fn a_late_counter_reply_does_not_decide_a_request_again() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let id = sim.request(0, 0, 0, 1);
    sim.advance(ms(50));
    sim.end_all_calls(CallOutcome::Replied);
    assert_eq!(sim.attempt_count(0, id), 1);
    sim.finish();
}

#[test]
fn estimated_units_are_corrected_with_the_next_increment() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let id = sim.request(0, 0, 0, 1);
    sim.end_all_calls(CallOutcome::Replied);
    let endpoint = EndpointId(sim.requests[&(0, id)].attempts[0].endpoint);
    sim.requests.get_mut(&(0, id)).unwrap().attempts[0].outcome = Some(Outcome::Ok);
    sim.requests.get_mut(&(0, id)).unwrap().answer = Some(Answer::Served);
    let end = AttemptEnd {
        request: RequestId(id),
        attempt: 0,
        endpoint,
        outcome: Outcome::Ok,
        elapsed: ms(9),
        is_request_finished: true,
        true_units: Some(4.0),
        load: None,
    };
    sim.handle(0, Event::AttemptEnded(end));
    sim.request(0, 0, 0, 1);
    assert!(
        sim.pending_calls[0].amount > 3.9,
        "one unit for this request and three to correct the previous one, but found {}",
        sim.pending_calls[0].amount
    );
}

#[test]
fn the_use_of_peers_is_observed_again_after_the_counter_lost_its_totals() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    for _ in 0..60 {
        sim.try_serve(0, 0, 1);
        sim.advance(ms(10));
    }
    sim.counter_totals.clear();
    sim.advance(ms(1200));
    assert!(count_forwarded(&mut sim, 1, 0, 1, 10) >= 4);
    assert!(
        count_forwarded(&mut sim, 0, 0, 1, 10) <= 3,
        "the new total contains what the peer has admitted since"
    );
}
