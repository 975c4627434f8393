//! Checks every action of an ingress against these rules:
//!
//! 1. Each request gets exactly one final answer, no later than its client's deadline.
//! 2. A request is executed more than once only if its class permits it.
//! 3. Nothing is forwarded to a draining or removed endpoint after the drain grace.
//! 4. An endpoint that is warming up is not overloaded. Individual tests check this rule.
//! 5. A customer's ceiling is not exceeded.

use super::counter::PendingCall;
use super::simulation::{Answer, AttemptRecord, Forward, RequestRecord, Simulation};
use roseyard_decision::*;
use std::time::Duration;

impl Simulation {
    pub(super) fn check_action(&mut self, ingress: usize, action: &Action) {
        match action {
            Action::Forward {
                request,
                endpoint,
                deadline,
            } => self.check_forward(ingress, request.0, endpoint.0, *deadline),
            Action::Reject { request, .. } => self.check_rejection(ingress, request.0),
            Action::Fail { request } => self.record_answer(ingress, request.0, Answer::Failed),
            Action::Cancel { request, attempt } => {
                if let Some(record) = self.requests.get(&(ingress, request.0)) {
                    let attempts = record.attempts.len();
                    let is_known = usize::from(*attempt) < attempts;
                    assert!(is_known, "cancelled an attempt that was never forwarded");
                }
            }
            Action::IncrementCounter {
                key,
                amount,
                time_to_live,
            } => {
                assert!(
                    amount.is_finite() && *amount >= 0.0,
                    "an increment must be finite and at least 0"
                );
                self.pending_calls.push(PendingCall {
                    ingress,
                    key: *key,
                    amount: *amount,
                    time_to_live: *time_to_live,
                    called_at: self.now,
                });
            }
            Action::SetTimer { after, .. } => self.set_timer(ingress, *after),
            Action::Log(notice) => self.notices.push(*notice),
            Action::CheckHealth { .. } => {
                let is_permitted = self.settings.permissions.health_checks;
                assert!(
                    is_permitted,
                    "a health check was started although none are permitted"
                );
            }
            Action::Subscribe | Action::FetchEndpointList => {}
        }
    }

    /// Checks rule 2 for a rejection, after which the client may retry the request.
    fn check_rejection(&mut self, ingress: usize, request: u64) {
        let record = &self.requests[&(ingress, request)];
        let is_retry_safe = match self.settings.classes[record.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DeduplicationScope::All,
                ..
            } => true,
            _ => record.first_possible_execution().is_none(),
        };
        assert!(
            is_retry_safe,
            "rule 2: rejected although an attempt may have been executed and a retry is not safe"
        );
        self.record_answer(ingress, request, Answer::Rejected);
    }

    /// Checks that the request may be forwarded to this endpoint now, and records the attempt.
    fn check_forward(&mut self, ingress: usize, request: u64, endpoint: u32, deadline: Duration) {
        assert!(
            self.listed_endpoints.contains(&endpoint),
            "forwarded to an endpoint that was never listed"
        );
        let drain_grace = self.settings.endpoint_limits.drain_grace;
        if let Some(since) = self.unready_since.get(&(ingress, endpoint)) {
            assert!(
                self.now <= *since + drain_grace,
                "rule 3: forwarded to a draining or removed endpoint after the drain grace"
            );
        }
        let record = self
            .requests
            .get(&(ingress, request))
            .expect("the forwarded request is known");
        assert!(
            record.answer.is_none(),
            "rule 1: forwarded after the final answer"
        );
        assert!(
            deadline <= record.deadline,
            "the deadline of an attempt is after that of its request"
        );
        if !self.settings.permissions.hedging {
            let mut attempts = record.attempts.iter();
            assert!(
                attempts.all(|attempt| attempt.outcome.is_some()),
                "two attempts in flight although hedging is not permitted"
            );
        }
        self.check_retry(record, endpoint);
        let is_first_attempt = record.attempts.is_empty();
        let (customer, units, plan) = (record.customer, record.units, record.plan);
        if is_first_attempt {
            self.check_ceiling(customer, units, plan);
        }
        let at = self.now;
        let attempt = AttemptRecord {
            endpoint,
            forwarded_at: at,
            outcome: None,
        };
        let record = self.requests.get_mut(&(ingress, request)).unwrap();
        record.attempts.push(attempt);
        self.forwards.push(Forward {
            ingress,
            endpoint,
            at,
        });
    }

    /// Checks rule 2 for an attempt at this endpoint.
    fn check_retry(&self, record: &RequestRecord, endpoint: u32) {
        let Some(first) = record.first_possible_execution() else {
            return;
        };
        match self.settings.classes[record.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => panic!("rule 2: a non-idempotent request was retried"),
            Idempotency::IdempotencyKey { scope, window } => {
                let is_in_scope =
                    scope == DeduplicationScope::All || first.endpoint % 2 == endpoint % 2;
                assert!(
                    is_in_scope && self.now <= first.forwarded_at + window,
                    "rule 2: a request was retried outside its key's deduplication scope or window"
                );
            }
        }
    }

    /// Subtracts the units from the customer's ceiling and checks rule 5.
    fn check_ceiling(&mut self, customer: u64, units: f64, plan: usize) {
        let plan = &self.settings.plans[plan];
        if plan.ceiling_rate <= 0.0 {
            return;
        }
        let (level, at) = self
            .ceiling_levels
            .get(&customer)
            .copied()
            .unwrap_or((plan.ceiling_burst, self.now));
        let refilled = (self.now - at).as_secs_f64() * plan.ceiling_rate;
        let level = (level + refilled).min(plan.ceiling_burst) - units;
        self.ceiling_levels.insert(customer, (level, self.now));
        self.min_ceiling_level = self.min_ceiling_level.min(level);
        let is_within = level >= -plan.ceiling_slack - 1e-6;
        assert!(
            is_within || !self.assert_ceilings,
            "rule 5: ceiling exceeded"
        );
    }

    fn record_answer(&mut self, ingress: usize, request: u64, answer: Answer) {
        let record = self
            .requests
            .get_mut(&(ingress, request))
            .expect("the answered request is known");
        assert!(record.answer.is_none(), "rule 1: answered twice");
        assert!(
            self.now <= record.deadline,
            "rule 1: answered after the client's deadline"
        );
        record.answer = Some(answer);
    }

    /// Advances the clock past all deadlines and checks that every request has its final answer.
    pub(crate) fn finish(&mut self) {
        self.advance(Duration::from_millis(5000));
        for ((ingress, id), record) in &self.requests {
            assert!(
                record.answer.is_some(),
                "rule 1: request {id} at ingress {ingress} has no final answer"
            );
        }
    }
}

impl RequestRecord {
    /// Returns the first attempt that may have been executed, including one still in flight.
    fn first_possible_execution(&self) -> Option<&AttemptRecord> {
        let mut attempts = self.attempts.iter();
        attempts.find(|attempt| !proves_not_executed(attempt.outcome))
    }
}

fn proves_not_executed(outcome: Option<Outcome>) -> bool {
    matches!(
        outcome,
        Some(Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotStarted)
    )
}
