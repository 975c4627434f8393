//! The share of requests that call a slow, overloaded or unresponsive counter.

mod common;
use common::*;
use roseyard_decision::*;

#[test]
fn an_unresponsive_counter_is_logged_and_gets_few_calls_until_it_replies() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    for k in 0..40 {
        sim.request(0, 0, 0, k);
        sim.advance(ms(61));
        sim.end_all_calls(CallOutcome::LostBeforeAdding);
        sim.end_nth_attempt(0, Outcome::Ok);
    }
    assert!(sim.notices.contains(&Notice::CounterDegraded));
    let mut forwarded_at_once = 0;
    for k in 50..90 {
        let id = sim.request(0, 0, 0, k);
        forwarded_at_once += sim.attempt_count(0, id);
        sim.end_nth_attempt(0, Outcome::Ok);
    }
    assert!(
        (25..40).contains(&forwarded_at_once),
        "{forwarded_at_once} of 40 requests were forwarded without a call to the counter"
    );
    assert_eq!(
        sim.pending_calls.len(),
        40 - forwarded_at_once,
        "all other requests call the counter"
    );
    for k in 100..200 {
        sim.request(0, 0, 0, k);
        sim.end_all_calls(CallOutcome::Replied);
        sim.end_nth_attempt(0, Outcome::Ok);
        sim.advance(ms(20));
    }
    let is_counter_notice =
        |notice: &&Notice| matches!(notice, Notice::CounterDegraded | Notice::CounterRecovered);
    let last_counter_notice = sim.notices.iter().rfind(is_counter_notice);
    assert_eq!(last_counter_notice, Some(&Notice::CounterRecovered));
}

#[test]
fn a_counter_that_replies_within_half_of_the_wait_is_called_by_nearly_all_requests() {
    // Requests wait for at most 40 ms, and one reply in thirty is late. Guards against a call ratio
    // that rises only after replies that are quicker than any of this counter.
    let mut sim = Simulation::new(settings(3), 3, 5);
    let mut calls = 0;
    for k in 0..600 {
        sim.request(0, 0, 0, 1000 + k);
        calls += sim.pending_calls.len();
        sim.advance(if k % 30 == 0 { ms(45) } else { ms(18 + k % 3) });
        sim.end_all_calls(CallOutcome::Replied);
        sim.end_nth_attempt(0, Outcome::Ok);
    }
    assert!(calls >= 540, "{calls} of 600 requests called the counter");
}

#[test]
fn an_overloaded_counter_gets_few_calls() {
    let mut sim = Simulation::new(settings(3), 3, 5);
    for k in 0..200 {
        sim.request(0, 0, 0, k);
        sim.advance(ms(5));
        if sim.pending_calls.len() > 8 {
            sim.end_nth_call(0, CallOutcome::LostAfterAdding);
        }
    }
    while sim.pending_calls.len() > 1 {
        sim.end_nth_call(0, CallOutcome::LostAfterAdding);
    }
    let before = sim.pending_calls.len();
    for k in 300..350 {
        sim.request(0, 0, 0, k);
    }
    assert!(
        sim.pending_calls.len() - before <= 12,
        "{} of 50 requests called the overloaded counter",
        sim.pending_calls.len() - before
    );
}

#[test]
fn calls_that_fail_with_their_connections_do_not_reduce_the_call_ratio() {
    // Every third call fails at once, as when its connection is reset; the others get a reply.
    let mut sim = Simulation::new(settings(3), 3, 5);
    let mut calls = 0;
    for round in 0..600 {
        sim.request(0, 0, 0, round % 50);
        calls += sim.pending_calls.len();
        sim.advance(ms(1));
        sim.end_all_calls(if round % 3 == 0 {
            CallOutcome::LostBeforeAdding
        } else {
            CallOutcome::Replied
        });
        sim.advance(ms(20));
        sim.end_nth_attempt(0, Outcome::Ok);
    }
    assert_eq!(calls, 600, "every request calls the counter");
}
