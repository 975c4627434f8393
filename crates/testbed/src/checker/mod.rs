//! The checker: holds the history of what clients and form servers observed against the rules of
//! the service. It uses nothing of the daemon's own state.

mod history;
mod rules;

pub use history::{Event, History, Observation, ResponseKind};
pub use rules::{Rule, Violation};

use std::collections::BTreeMap;
use std::time::Duration;

/// Within this time of an attempt's start the end of an earlier one's connection is seen.
const ABANDON_SETTLE_TIME: Duration = Duration::from_millis(50);

/// Counts of a history, and the rules that it violates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Requests sent.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests without a response whose ingress was killed or stopped.
    pub excused_by_fault: u64,
    /// Attempts at form servers.
    pub attempts: u64,
    /// Violations in the order of the history.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// The counts by their names in reports.
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

/// Checks a history: exactly one final response to a request unless a fault excuses its absence, no
/// second attempt of a request that is not idempotent, never two attempts in flight at once,
/// nothing served that no form server executed, and nothing rejected that was executed.
#[must_use]
pub fn check(events: &[Event]) -> Verdict {
    let mut checker = Checker::default();
    for event in events {
        checker.observe(event);
    }
    checker.finish()
}

/// The state of one request during the check.
#[derive(Default)]
struct RequestState {
    idempotent: bool,
    responses: u32,
    served: bool,
    in_flight: u32,
    started: u32,
    /// The form server of the last attempt.
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
                violated.extend(self.on_request(event.id, idempotent));
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

    /// An attempt was abandoned. Form servers see the end of its connection and the next attempt at
    /// about the same time, in any order: two that overlapped so briefly were not out at once. The
    /// end of the later attempt says nothing of the earlier one, which is still out.
    fn on_attempt_abandoned(&mut self, event: &Event, server: usize) {
        let request = self.requests.get(&event.id);
        if request.is_none_or(|request| request.last_started_at == Some(server)) {
            return;
        }
        self.verdict.violations.retain(|violation| {
            let is_overlap = violation.id == event.id && violation.rule == Rule::ConcurrentAttempts;
            let since = violation.at.map(|at| event.at.saturating_sub(at));
            !(is_overlap && since.is_some_and(|since| since <= ABANDON_SETTLE_TIME))
        });
    }

    fn on_request(&mut self, id: u64, idempotent: bool) -> Option<Rule> {
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
    /// Adds an observation to the counts; pushes each rule that it violates.
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
                self.on_attempt(violated);
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
                    violated.push(Rule::RejectedAfterExecution);
                }
            }
            ResponseKind::Failed => counts.failed += 1,
        }
    }

    fn on_attempt(&mut self, violated: &mut Vec<Rule>) {
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
