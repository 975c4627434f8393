//! The checker finds each violated rule, and none in a valid history.

use roseyard_testbed::checker::{check, Event, Observation, ResponseKind, Verdict};
use std::time::Duration;

const IDEMPOTENT: Observation = Observation::RequestSent { idempotent: true };
const NON_IDEMPOTENT: Observation = Observation::RequestSent { idempotent: false };
const SERVED: Observation = Observation::ResponseReceived(ResponseKind::Served);
const REJECTED: Observation = Observation::ResponseReceived(ResponseKind::Rejected);
const FAILED: Observation = Observation::ResponseReceived(ResponseKind::Failed);

fn checked(steps: &[Observation]) -> Verdict {
    let event = |(n, observation): (usize, &Observation)| Event {
        at: Duration::from_millis(n as u64),
        id: 7,
        observation: *observation,
    };
    check(&steps.iter().enumerate().map(event).collect::<Vec<_>>())
}

#[test]
fn a_valid_history_is_counted() {
    for steps in [
        &[
            IDEMPOTENT,
            Observation::AttemptStarted(0),
            Observation::AttemptFinished(0),
            SERVED,
        ][..],
        &[
            IDEMPOTENT,
            Observation::AttemptStarted(0),
            Observation::AttemptFinished(0),
            Observation::AttemptStarted(1),
            Observation::AttemptFinished(1),
            SERVED,
        ],
        &[NON_IDEMPOTENT, Observation::AttemptStarted(0), FAILED],
        &[NON_IDEMPOTENT, REJECTED],
        &[
            NON_IDEMPOTENT,
            Observation::AttemptStarted(0),
            Observation::NoResponse {
                excused_by_fault: true,
            },
        ],
    ] {
        assert_eq!(checked(steps).violations, [], "{steps:?}");
    }
    let verdict = checked(&[
        IDEMPOTENT,
        Observation::AttemptStarted(0),
        Observation::AttemptFinished(0),
        SERVED,
    ]);
    assert_eq!(
        (verdict.requests, verdict.served, verdict.attempts),
        (1, 1, 1)
    );
}

#[test]
fn each_violated_rule_is_found() {
    for (steps, expected) in [
        (&[IDEMPOTENT][..], "no final answer by the end"),
        (
            &[
                IDEMPOTENT,
                Observation::NoResponse {
                    excused_by_fault: false,
                },
            ],
            "no final answer",
        ),
        (
            &[
                IDEMPOTENT,
                Observation::AttemptStarted(0),
                Observation::AttemptFinished(0),
                SERVED,
                SERVED,
            ],
            "a second final answer",
        ),
        (&[IDEMPOTENT, REJECTED, REJECTED], "a second final answer"),
        (&[IDEMPOTENT, SERVED], "no form server answered it"),
        (
            &[
                NON_IDEMPOTENT,
                Observation::AttemptStarted(0),
                Observation::AttemptFinished(0),
                Observation::AttemptStarted(1),
                FAILED,
            ],
            "must not run twice",
        ),
        (
            &[NON_IDEMPOTENT, Observation::AttemptStarted(0), REJECTED],
            "refused after it may have run",
        ),
        (
            &[
                IDEMPOTENT,
                Observation::AttemptStarted(0),
                Observation::AttemptStarted(1),
                Observation::AttemptFinished(1),
                SERVED,
            ],
            "two attempts out at once",
        ),
        (
            &[
                IDEMPOTENT,
                Observation::AttemptStarted(0),
                Observation::AttemptFinished(0),
                SERVED,
                Observation::AttemptStarted(1),
            ],
            "sent on after it was served",
        ),
        (&[IDEMPOTENT, IDEMPOTENT, REJECTED], "asked twice"),
        (&[Observation::AttemptStarted(0)], "nobody asked for it"),
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
