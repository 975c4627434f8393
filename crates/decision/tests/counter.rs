//! Quotas with a counter that replies, and with each kind of counter failure.

mod common;
use common::*;
use roseyard_decision::*;

fn count_forwarded(
    sim: &mut Simulation,
    ingress: usize,
    plan: usize,
    customer: u64,
    requests: usize,
) -> usize {
    (0..requests)
        .filter(|_| sim.is_forwarded(ingress, plan, customer))
        .count()
}

#[test]
fn each_request_is_one_increment_and_is_rejected_at_once_beyond_the_quota() {
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
        "the window is burst over rate"
    );
    sim.end_all_calls(CallOutcome::Replied);
    assert_eq!(sim.attempt_count(0, id), 1);
    sim.end_nth_attempt(0, Outcome::Ok);
    let more = count_forwarded(&mut sim, 0, 0, 1, 30);
    assert!((8..=10).contains(&more), "{more} more of a burst of 10");
    let id = sim.request(0, 0, 0, 1);
    sim.end_all_calls(CallOutcome::Replied);
    assert_eq!(sim.answer_of(0, id), Some(Answer::Rejected));
    let advice = sim.actions.iter().rev().find_map(|(_, a)| match a {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert!(
        advice.flatten().is_some_and(|d| d > ms(0) && d <= ms(1000)),
        "retry-after where it is permitted"
    );
}

#[test]
fn totals_show_one_ingress_what_its_peers_admitted() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    assert!(count_forwarded(&mut sim, 0, 0, 1, 30) >= 9);
    assert!(
        count_forwarded(&mut sim, 1, 0, 1, 30) <= 2,
        "the second ingress sees the total"
    );
}

#[test]
fn rejected_requests_do_not_inflate_the_counter() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    count_forwarded(&mut sim, 0, 0, 1, 200);
    let total: f64 = sim.counter_totals.values().map(|entry| entry.total).sum();
    assert!(
        total <= 14.0,
        "the total is {total}, rejected requests included"
    );
}

#[test]
fn a_request_beyond_the_bucket_calls_the_counter_without_adding_and_reports_its_units_later() {
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
        "peers see what was admitted and no rejected request"
    );
    sim.advance(ms(400));
    let passed = count_forwarded(&mut sim, 0, 0, 1, 5) as f64;
    assert!(passed >= 1.0, "refilled at 5 a second");
    sim.advance(ms(400));
    count_forwarded(&mut sim, 0, 0, 1, 5);
    assert!(
        total(&sim) >= before + passed,
        "what was admitted is in the total"
    );
}

#[test]
fn a_new_window_is_no_new_quota() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    assert!(count_forwarded(&mut sim, 0, 0, 1, 30) >= 9);
    sim.counter_totals.clear(); // emptied, key expired or window over: all look the same
    assert!(count_forwarded(&mut sim, 0, 0, 1, 30) <= 2);
}

#[test]
fn a_quota_in_full_use_holds_while_only_a_part_of_the_requests_call_the_counter() {
    // Three ingresses ask for ten times one customer's quota, and every fifth call is late.
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
    // 32 s at 5 a second and a burst of 10 are 170. Unreported units that fade, or a window end
    // that forgets the peers, each forward over 230.
    let sent = sim.forwards.len();
    assert!(
        (130..=210).contains(&sent),
        "{sent} forwarded of a quota of 170"
    );
}

#[test]
fn requests_far_beyond_the_quota_do_not_call_an_overloaded_counter() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    sim.is_forwarded(0, 0, 1);
    sim.counter_totals
        .values_mut()
        .for_each(|entry| entry.total += 100.0);
    sim.is_forwarded(0, 0, 1);
    sim.request(0, 0, 0, 2);
    sim.end_all_calls(CallOutcome::NotAdded);
    for _ in 0..60 {
        sim.request(0, 0, 0, 1);
    }
    assert_eq!(
        sim.pending_calls.len(),
        0,
        "the bucket rejects them whatever the total"
    );
    for k in 0..20 {
        sim.request(0, 0, 0, 10 + k);
    }
    assert!(sim.pending_calls.len() > 5, "other customers still call it");
}

#[test]
fn an_unresponsive_counter_delays_a_request_only_for_a_short_wait() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let id = sim.request(0, 0, 0, 1);
    sim.advance(ms(45));
    assert_eq!(
        sim.attempt_count(0, id),
        1,
        "decided by the bucket well within the latency objective of 500 ms"
    );
}

#[test]
fn an_ingress_without_totals_does_not_admit_a_flood() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    let mut sent = 0;
    for _ in 0..100 {
        let id = sim.request(0, 0, 0, 1);
        sim.advance(ms(10));
        sim.end_all_calls(CallOutcome::NotAdded);
        sent += sim.attempt_count(0, id);
        sim.end_nth_attempt(0, Outcome::Ok);
    }
    assert!(
        (3..=16).contains(&sent),
        "{sent} forwarded in a second of a quota of 5 a second, burst 10"
    );
}

#[test]
fn units_admitted_while_the_counter_rejected_calls_are_reported_with_the_next_increment() {
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
    // Of a start with half of the burst two are admitted, as two peers may admit as much:
    // unreported with the present one.
    assert!(
        sim.pending_calls[0].amount > 2.5,
        "the increment carries the unreported units: {}",
        sim.pending_calls[0].amount
    );
}

#[test]
fn a_late_counter_reply_never_decides_twice() {
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
        "one for the request and three more of the last: {}",
        sim.pending_calls[0].amount
    );
}

#[test]
fn peers_are_seen_again_after_the_counter_lost_its_totals() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    for _ in 0..60 {
        sim.is_forwarded(0, 0, 1);
        sim.advance(ms(10));
    }
    sim.counter_totals.clear();
    sim.advance(ms(1200));
    assert!(count_forwarded(&mut sim, 1, 0, 1, 10) >= 4);
    assert!(
        count_forwarded(&mut sim, 0, 0, 1, 10) <= 3,
        "what the peer admitted since is in the new total"
    );
}
