//! The checker reports each violated rule, and no violation in a valid history.

use roseyard_testbed::checker::{check, Event, Observation, ResponseKind, Rule, Verdict};
use std::time::Duration;

const IDEMPOTENT: Observation = Observation::RequestSent { idempotent: true };
const NON_IDEMPOTENT: Observation = Observation::RequestSent { idempotent: false };
const SERVED: Observation = Observation::ResponseReceived(ResponseKind::Served);
const REJECTED: Observation = Observation::ResponseReceived(ResponseKind::Rejected);
const FAILED: Observation = Observation::ResponseReceived(ResponseKind::Failed);
const STARTED: Observation = Observation::AttemptStarted(0);
const FINISHED: Observation = Observation::AttemptFinished(0);
const OTHER_STARTED: Observation = Observation::AttemptStarted(1);
const OTHER_FINISHED: Observation = Observation::AttemptFinished(1);
const ABANDONED: Observation = Observation::AttemptAbandoned(0);
const RESENT: Observation = Observation::RequestResent;
const WRONG: Observation = Observation::ResponseReceived(ResponseKind::WrongValue);
const NO_RESPONSE: Observation = Observation::NoResponse {
    excused_by_fault: false,
};
const EXCUSED: Observation = Observation::NoResponse {
    excused_by_fault: true,
};

fn checked(steps: &[Observation]) -> Verdict {
    let event = |(index, observation): (usize, &Observation)| Event {
        at: Duration::from_millis(index as u64),
        id: 7,
        observation: *observation,
    };
    check(&steps.iter().enumerate().map(event).collect::<Vec<_>>())
}

#[test]
fn a_valid_history_is_counted() {
    for steps in [
        &[IDEMPOTENT, STARTED, FINISHED, SERVED][..],
        &[
            IDEMPOTENT,
            STARTED,
            FINISHED,
            OTHER_STARTED,
            OTHER_FINISHED,
            SERVED,
        ],
        &[NON_IDEMPOTENT, STARTED, FAILED],
        &[NON_IDEMPOTENT, REJECTED],
        &[NON_IDEMPOTENT, STARTED, EXCUSED],
        &[IDEMPOTENT, RESENT, STARTED, FINISHED, SERVED],
        &[
            IDEMPOTENT,
            STARTED,
            OTHER_STARTED,
            ABANDONED,
            OTHER_FINISHED,
            SERVED,
        ],
    ] {
        assert_eq!(checked(steps).violations, [], "{steps:?}");
    }
    let verdict = checked(&[IDEMPOTENT, STARTED, FINISHED, SERVED]);
    assert_eq!(
        (verdict.requests, verdict.served, verdict.attempts),
        (1, 1, 1)
    );
}

#[test]
fn each_violated_rule_is_found() {
    for (steps, expected) in [
        (&[IDEMPOTENT][..], "no final response by the end"),
        (&[IDEMPOTENT, NO_RESPONSE], "no final response"),
        (
            &[IDEMPOTENT, STARTED, FINISHED, SERVED, SERVED],
            "a second final response",
        ),
        (&[IDEMPOTENT, REJECTED, REJECTED], "a second final response"),
        (&[IDEMPOTENT, SERVED], "no form server executed the request"),
        (
            &[NON_IDEMPOTENT, STARTED, FINISHED, OTHER_STARTED, FAILED],
            "not idempotent was forwarded again",
        ),
        (
            &[NON_IDEMPOTENT, STARTED, REJECTED],
            "rejected although a form server may have executed the request",
        ),
        (
            &[IDEMPOTENT, STARTED, OTHER_STARTED, OTHER_FINISHED, SERVED],
            "two attempts in flight at once",
        ),
        (
            &[IDEMPOTENT, STARTED, FINISHED, SERVED, OTHER_STARTED],
            "forwarded after the request was served",
        ),
        (
            &[IDEMPOTENT, IDEMPOTENT, REJECTED],
            "request id used more than once",
        ),
        (
            &[IDEMPOTENT, STARTED, RESENT, SERVED],
            "closed without a response after the request was forwarded",
        ),
        (
            &[
                IDEMPOTENT,
                OTHER_STARTED,
                STARTED,
                ABANDONED,
                OTHER_FINISHED,
                SERVED,
            ],
            "two attempts in flight at once",
        ),
        (
            &[IDEMPOTENT, STARTED, FINISHED, WRONG],
            "has the wrong value",
        ),
        (&[STARTED], "no client sent a request with this id"),
    ] {
        let violations = checked(steps).violations;
        assert!(
            violations
                .iter()
                .any(|violation| violation.to_string().contains(expected)),
            "{steps:?}: {violations:?}"
        );
    }
}

#[test]
fn overlapping_attempts_are_reported_unless_one_is_abandoned_within_the_allowed_delay() {
    let verdict_after = |abandoned_at_ms: u64| {
        let event = |at_ms, observation| Event {
            at: Duration::from_millis(at_ms),
            id: 7,
            observation,
        };
        check(&[
            event(0, IDEMPOTENT),
            event(1, STARTED),
            event(100, OTHER_STARTED),
            event(abandoned_at_ms, ABANDONED),
            event(300, OTHER_FINISHED),
            event(301, SERVED),
        ])
    };
    assert_eq!(verdict_after(150).violations, []);
    let rules: Vec<Rule> = verdict_after(151)
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect();
    assert_eq!(rules, [Rule::ConcurrentAttempts]);
}
