//! How many requests call a counter that is slow, overloaded or unresponsive.

mod common;
use common::*;
use roseyard_decision::*;

#[test]
fn an_unresponsive_counter_is_logged_called_by_few_requests_and_by_all_once_it_replies() {
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
        "who does not call the counter does not wait: {forwarded_at_once} of 40"
    );
    assert_eq!(
        sim.pending_calls.len(),
        40 - forwarded_at_once,
        "some still call it"
    );
    for k in 100..200 {
        sim.request(0, 0, 0, k);
        sim.end_all_calls(CallOutcome::Replied);
        sim.end_nth_attempt(0, Outcome::Ok);
        sim.advance(ms(20));
    }
    let is_of_counter =
        |notice: &&Notice| matches!(notice, Notice::CounterDegraded | Notice::CounterRecovered);
    let last_of_counter = sim.notices.iter().rfind(is_of_counter);
    assert_eq!(last_of_counter, Some(&Notice::CounterRecovered));
}

#[test]
fn a_counter_that_takes_half_of_the_wait_is_called_by_nearly_all_though_one_reply_in_thirty_is_late(
) {
    // The wait is 40 ms. Prevents a call ratio that rises only with replies quicker than
    // this counter ever gives.
    let mut sim = Simulation::new(settings(3), 3, 5);
    let mut calls = 0;
    for k in 0..600 {
        sim.request(0, 0, 0, 1000 + k);
        calls += sim.pending_calls.len();
        sim.advance(if k % 30 == 0 { ms(45) } else { ms(18 + k % 3) });
        sim.end_all_calls(CallOutcome::Replied);
        sim.end_nth_attempt(0, Outcome::Ok);
    }
    assert!(calls >= 540, "{calls} of 600 call the counter");
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
        "{} calls to the overloaded counter",
        sim.pending_calls.len() - before
    );
}

#[test]
fn calls_lost_with_their_connections_do_not_reduce_the_call_ratio() {
    // Every third call is lost at once, as by a reset under it; the others are answered.
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
    assert_eq!(calls, 600, "each request calls the counter");
}
