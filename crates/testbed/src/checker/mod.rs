//! Checks the history of what clients and form servers observed against the rules of the service.
//! The checker does not use any state or log of the daemons.

mod history;
mod rules;

pub use history::{Event, History, Observation, ResponseKind};
pub use rules::{Rule, Violation};

use std::collections::BTreeMap;
use std::time::Duration;

/// How long after the start of an attempt a form server may still notice that the connection of an
/// earlier attempt has ended.
const MAX_DISCONNECT_DELAY: Duration = Duration::from_millis(50);

/// The result of checking a history: counts and rule violations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The number of requests that clients sent.
    pub requests: u64,
    /// The number of responses with the value of the request.
    pub served: u64,
    /// The number of `-BUSY` responses.
    pub rejected: u64,
    /// The number of other error responses.
    pub failed: u64,
    /// The number of requests without a response whose ingress was killed or stopped meanwhile.
    pub excused_by_fault: u64,
    /// The number of attempts that form servers received.
    pub attempts: u64,
    /// The violations in the order of the history, followed by requests that had no response by its
    /// end.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// Returns the counts with the names that reports print.
    #[must_use]
    pub fn counts(&self) -> [(&'static str, u64); 6] {
        [
            ("asked", self.requests),
            ("served", self.served),
            ("refused", self.rejected),
            ("failed", self.failed),
            ("excused", self.excused_by_fault),
            ("attempts", self.attempts),
        ]
    }
}

/// Checks a history against every [`Rule`]: a request has exactly one final response unless a fault
/// excuses its absence, a request that is not idempotent has at most one attempt and is not
/// rejected once that attempt has started, a request never has two attempts in flight, and a served
/// request was executed by a form server.
#[must_use]
pub fn check(events: &[Event]) -> Verdict {
    let mut checker = Checker::default();
    for event in events {
        checker.observe(event);
    }
    checker.finish()
}

/// What the history has shown of one request so far.
#[derive(Default)]
struct RequestState {
    idempotent: bool,
    responses: u32,
    served: bool,
    in_flight: u32,
    started: u32,
    /// The form server at which the latest attempt started.
    last_started_at: Option<usize>,
    finished: u32,
}

#[derive(Default)]
struct Checker {
    verdict: Verdict,
    requests: BTreeMap<u64, RequestState>,
}

impl Checker {
    fn observe(&mut self, event: &Event) {
        let mut violated = Vec::new();
        if let Observation::AttemptAbandoned(server) = event.observation {
            self.on_attempt_abandoned(event, server);
        }
        match event.observation {
            Observation::RequestSent { idempotent } => {
                violated.extend(self.on_request_sent(event.id, idempotent));
            }
            observation => match self.requests.get_mut(&event.id) {
                Some(request) => request.observe(observation, &mut self.verdict, &mut violated),
                None => violated.push(Rule::UnknownRequest),
            },
        }
        let violations = violated.into_iter().map(|rule| Violation {
            id: event.id,
            at: Some(event.at),
            rule,
        });
        self.verdict.violations.extend(violations);
    }

    /// Withdraws a [`Rule::ConcurrentAttempts`] violation that an abandoned attempt explains. One
    /// form server notices the end of the connection at about the time at which another receives
    /// the next attempt, so the two may be recorded in either order. The violation stands if the
    /// abandoned attempt is the latest one, because the earlier attempt is then still in flight.
    fn on_attempt_abandoned(&mut self, event: &Event, server: usize) {
        let request = self.requests.get(&event.id);
        if request.is_none_or(|request| request.last_started_at == Some(server)) {
            return;
        }
        self.verdict.violations.retain(|violation| {
            let is_concurrency_violation =
                violation.id == event.id && violation.rule == Rule::ConcurrentAttempts;
            let overlap = violation.at.map(|at| event.at.saturating_sub(at));
            !(is_concurrency_violation
                && overlap.is_some_and(|overlap| overlap <= MAX_DISCONNECT_DELAY))
        });
    }

    fn on_request_sent(&mut self, id: u64, idempotent: bool) -> Option<Rule> {
        self.verdict.requests += 1;
        let request = RequestState {
            idempotent,
            ..RequestState::default()
        };
        let earlier = self.requests.insert(id, request);
        earlier.map(|_| Rule::DuplicateId)
    }

    fn finish(mut self) -> Verdict {
        let unanswered = self
            .requests
            .iter()
            .filter(|(_, request)| request.responses == 0);
        let violations = unanswered.map(|(id, _)| Violation {
            id: *id,
            at: None,
            rule: Rule::NoResponseByEnd,
        });
        self.verdict.violations.extend(violations);
        self.verdict
    }
}

impl RequestState {
    /// Updates the state and the counts, and pushes each rule that the observation violates.
    fn observe(
        &mut self,
        observation: Observation,
        counts: &mut Verdict,
        violated: &mut Vec<Rule>,
    ) {
        match observation {
            Observation::RequestSent { .. } => {}
            Observation::RequestResent => {
                if self.started > 0 {
                    violated.push(Rule::ClosedAfterForward);
                }
            }
            Observation::ResponseReceived(kind) => self.on_response(kind, counts, violated),
            Observation::NoResponse { excused_by_fault } => {
                self.responses += 1;
                if excused_by_fault {
                    counts.excused_by_fault += 1;
                } else {
                    violated.push(Rule::NoResponse);
                }
            }
            Observation::AttemptStarted(server) => {
                counts.attempts += 1;
                self.last_started_at = Some(server);
                self.on_attempt_started(violated);
            }
            Observation::AttemptFinished(_) => {
                self.finished += 1;
                self.in_flight = self.in_flight.saturating_sub(1);
            }
            Observation::AttemptAbandoned(_) => {
                self.in_flight = self.in_flight.saturating_sub(1);
            }
        }
    }

    fn on_response(&mut self, kind: ResponseKind, counts: &mut Verdict, violated: &mut Vec<Rule>) {
        self.responses += 1;
        if self.responses > 1 {
            violated.push(Rule::SecondResponse);
        }
        match kind {
            ResponseKind::Served => {
                counts.served += 1;
                self.served = true;
                if self.finished == 0 {
                    violated.push(Rule::ServedWithoutExecution);
                }
            }
            ResponseKind::WrongValue => violated.push(Rule::WrongValue),
            ResponseKind::Rejected => {
                counts.rejected += 1;
                if self.started > 0 && !self.idempotent {
                    violated.push(Rule::RejectedAfterAttempt);
                }
            }
            ResponseKind::Failed => counts.failed += 1,
        }
    }

    fn on_attempt_started(&mut self, violated: &mut Vec<Rule>) {
        self.started += 1;
        self.in_flight += 1;
        if self.started > 1 && !self.idempotent {
            violated.push(Rule::NonIdempotentRetry);
        }
        if self.served {
            violated.push(Rule::AttemptAfterResponse);
        }
        if self.in_flight > 1 {
            violated.push(Rule::ConcurrentAttempts);
        }
    }
}
