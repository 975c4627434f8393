//! Retries and hedged requests, as far as the idempotency of a class permits them.

mod common;
use common::*;
use roseyard_decision::*;

#[test]
fn a_request_stuck_on_an_unresponsive_endpoint_is_hedged() {
    let mut sim = Simulation::new(settings(1), 1, 5);
    run_steady_requests(&mut sim, 0, 100, &[]);
    run_steady_requests(&mut sim, 0, 100, &[3]);
    let stuck = sim
        .requests
        .values()
        .filter(|r| r.attempts.first().is_some_and(|a| a.endpoint == 3));
    let hedged = stuck
        .filter(|r| r.attempts.len() > 1 && r.answer == Some(Answer::Served))
        .count();
    assert!(hedged >= 1);
}

#[test]
fn without_hedging_a_stuck_request_is_cancelled_and_retried() {
    let mut settings = settings(1);
    settings.permissions.hedging = false;
    let mut sim = Simulation::new(settings, 1, 5);
    run_steady_requests(&mut sim, 0, 100, &[]);
    let mut retried = false;
    for _ in 0..100 {
        run_steady_requests(&mut sim, 0, 1, &[3]);
        let cancel = sim.actions.iter().find_map(|(_, a)| match a {
            Action::Cancel { request, attempt } => Some((request.0, *attempt)),
            _ => None,
        });
        if let Some((id, n)) = cancel.filter(|c| sim.requests[&(0, c.0)].answer.is_none()) {
            sim.end_attempt(0, id, usize::from(n), Outcome::Cancelled);
            retried = sim.attempt_count(0, id) == 2;
            break;
        }
    }
    assert!(retried);
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_fails_and_is_not_rejected() {
    let mut sim = Simulation::new(settings(1), 1, 5);
    let id = sim.request(0, 2, 0, 1);
    sim.end_all_calls(CallOutcome::Replied);
    sim.end_nth_attempt(0, Outcome::Reset);
    assert_eq!(
        (sim.answer_of(0, id), sim.attempt_count(0, id)),
        (Some(Answer::Failed), 1)
    );
}

#[test]
fn a_non_idempotent_request_that_was_not_executed_is_retried_at_another_endpoint() {
    let mut sim = Simulation::new(settings(1), 1, 5);
    let id = sim.request(0, 2, 0, 1);
    sim.end_all_calls(CallOutcome::Replied);
    sim.end_nth_attempt(0, Outcome::Overloaded);
    let endpoints: Vec<_> = sim.requests[&(0, id)]
        .attempts
        .iter()
        .map(|a| a.endpoint)
        .collect();
    assert_eq!(endpoints.len(), 2);
    assert_ne!(endpoints[0], endpoints[1]);
}

#[test]
fn a_retry_with_an_idempotency_key_stays_in_its_cell_and_within_its_window() {
    let mut sim = Simulation::new(settings(1), 1, 6);
    let id = sim.request(0, 1, 0, 1);
    sim.end_all_calls(CallOutcome::Replied);
    sim.end_nth_attempt(0, Outcome::Reset);
    let cells: Vec<_> = sim.requests[&(0, id)]
        .attempts
        .iter()
        .map(|a| a.endpoint % 2)
        .collect();
    assert_eq!(cells.len(), 2);
    assert_eq!(cells[0], cells[1]);
    sim.advance(ms(395));
    let before = sim.attempt_count(0, id);
    sim.advance(ms(55));
    let last_attempt = sim.requests[&(0, id)].attempts.len() - 1;
    if sim.answer_of(0, id).is_none() {
        sim.end_attempt(0, id, last_attempt, Outcome::Reset);
    }
    assert_eq!(
        sim.attempt_count(0, id),
        before,
        "the request was forwarded again although its key may have expired"
    );
}

#[test]
fn a_started_stream_does_not_fail_at_its_deadline_and_is_not_hedged() {
    let mut settings = settings(1);
    settings.classes[0].streamed = true;
    let mut sim = Simulation::new(settings, 1, 5);
    let id = sim.request(0, 0, 0, 1);
    sim.end_all_calls(CallOutcome::Replied);
    sim.handle(
        0,
        Event::StreamStarted {
            request: RequestId(id),
            attempt: 0,
        },
    );
    sim.advance(ms(3000));
    assert_eq!(
        (sim.answer_of(0, id), sim.attempt_count(0, id)),
        (None, 1),
        "the stream has neither failed nor been hedged"
    );
    sim.end_attempt(0, id, 0, Outcome::Ok);
    assert_eq!(sim.answer_of(0, id), Some(Answer::Served));
}
