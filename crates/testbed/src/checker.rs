//! The checker: holds the history of what clients and form servers observed against the rules of
//! the service. It uses nothing of the daemon's own state.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What was observed of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A client sent it.
    RequestSent {
        /// May it be executed more than once?
        idempotent: bool,
    },
    /// The client received a response.
    ResponseReceived(ResponseKind),
    /// The client's connection ended, or its time was over, without a response.
    NoResponse {
        /// The ingress was killed or stopped meanwhile, so that no response was possible.
        excused_by_fault: bool,
    },
    /// An attempt arrived completely at this form server.
    AttemptStarted(usize),
    /// This form server responded to it.
    AttemptFinished(usize),
}

/// A response by its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A value.
    Served,
    /// Rejected: it was never executed.
    Rejected,
    /// Failed: whether it was executed is unknown.
    Failed,
}

/// One entry of a [`History`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time since the history began.
    pub at: Duration,
    /// The request.
    pub id: u64,
    /// What was observed.
    pub observation: Observation,
}

/// All that clients and form servers observed, in the order of recording. Clones share one history.
#[derive(Clone, Debug)]
pub struct History {
    began_at: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for History {
    fn default() -> Self {
        History {
            began_at: Instant::now(),
            events: Arc::default(),
        }
    }
}

impl History {
    /// Records an observation of a request.
    pub fn record(&self, id: u64, observation: Observation) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        // Read under the lock, so that times are in the order of the events.
        let at = self.began_at.elapsed();
        events.push(Event {
            at,
            id,
            observation,
        });
    }

    /// All events so far.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// A rule that a history can violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rule {
    /// A request id is used once.
    #[error("asked twice under one id")]
    DuplicateId,
    /// Attempts and responses belong to a request.
    #[error("nobody asked for it")]
    UnknownRequest,
    /// A request has at most one final response.
    #[error("a second final answer")]
    SecondResponse,
    /// A served request was executed.
    #[error("served, and no form server answered it")]
    ServedWithoutExecution,
    /// A rejected request that is not idempotent was not executed.
    #[error("refused after it may have run")]
    RejectedAfterExecution,
    /// A request has a final response unless a fault excuses it.
    #[error("no final answer")]
    NoResponse,
    /// A request that is not idempotent has one attempt.
    #[error("sent on again, and it must not run twice")]
    NonIdempotentRetry,
    /// No attempt begins after the request was served.
    #[error("sent on after it was served")]
    AttemptAfterResponse,
    /// A request has at most one attempt in flight.
    #[error("two attempts out at once")]
    ConcurrentAttempts,
    /// The history does not end before the final response.
    #[error("no final answer by the end")]
    NoResponseByEnd,
}

/// A violated rule, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The request.
    pub id: u64,
    /// Time since the history began; none at the history's end.
    pub at: Option<Duration>,
    /// The rule.
    pub rule: Rule,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.id)?;
        if let Some(at) = self.at {
            write!(f, " at {:.3} s", at.as_secs_f64())?;
        }
        write!(f, ": {}", self.rule)
    }
}

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
            Observation::ResponseReceived(kind) => self.on_response(kind, counts, violated),
            Observation::NoResponse { excused_by_fault } => {
                self.responses += 1;
                if excused_by_fault {
                    counts.excused_by_fault += 1;
                } else {
                    violated.push(Rule::NoResponse);
                }
            }
            Observation::AttemptStarted(_) => {
                counts.attempts += 1;
                self.on_attempt(violated);
            }
            Observation::AttemptFinished(_) => {
                self.finished += 1;
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
