//! The checker finds each violated rule, and none in a valid history.

use roseyard_testbed::checker::{check, Event, Observation, ResponseKind, Verdict};
use std::time::Duration;

const IDEMPOTENT: Observation = Observation::RequestSent { idempotent: true };
const NON_IDEMPOTENT: Observation = Observation::RequestSent { idempotent: false };
const SERVED: Observation = Observation::ResponseReceived(ResponseKind::Served);
const REJECTED: Observation = Observation::ResponseReceived(ResponseKind::Rejected);
const FAILED: Observation = Observation::ResponseReceived(ResponseKind::Failed);
/// An attempt at one form server, and one at another.
const STARTED: Observation = Observation::AttemptStarted(0);
const FINISHED: Observation = Observation::AttemptFinished(0);
const OTHER_STARTED: Observation = Observation::AttemptStarted(1);
const OTHER_FINISHED: Observation = Observation::AttemptFinished(1);
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
        (&[IDEMPOTENT][..], "no final answer by the end"),
        (&[IDEMPOTENT, NO_RESPONSE], "no final answer"),
        (
            &[IDEMPOTENT, STARTED, FINISHED, SERVED, SERVED],
            "a second final answer",
        ),
        (&[IDEMPOTENT, REJECTED, REJECTED], "a second final answer"),
        (&[IDEMPOTENT, SERVED], "no form server answered it"),
        (
            &[NON_IDEMPOTENT, STARTED, FINISHED, OTHER_STARTED, FAILED],
            "must not run twice",
        ),
        (
            &[NON_IDEMPOTENT, STARTED, REJECTED],
            "refused after it may have run",
        ),
        (
            &[IDEMPOTENT, STARTED, OTHER_STARTED, OTHER_FINISHED, SERVED],
            "two attempts out at once",
        ),
        (
            &[IDEMPOTENT, STARTED, FINISHED, SERVED, OTHER_STARTED],
            "sent on after it was served",
        ),
        (&[IDEMPOTENT, IDEMPOTENT, REJECTED], "asked twice"),
        (&[STARTED], "nobody asked for it"),
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
