//! The five rules, checked on every action:
//!
//! 1. each request gets one final answer, before its client gives up;
//! 2. a request is executed again only where its class allows it;
//! 3. nothing is forwarded to an endpoint that is draining or removed beyond the grace;
//! 4. an endpoint that is warming up is not overloaded (checked by single tests);
//! 5. a customer's ceiling is not exceeded.

use super::counter::PendingCall;
use super::simulation::{Answer, AttemptRecord, Forward, RequestRecord, Simulation};
use roseyard_decision::*;
use std::time::Duration;

impl Simulation {
    pub(super) fn check(&mut self, ingress: usize, action: &Action) {
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
                    "increments never fall below zero"
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
                assert!(is_permitted, "health check without permission");
            }
            Action::Subscribe | Action::FetchEndpointList => {}
        }
    }

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
            "rule 2: rejected although an attempt may have been executed"
        );
        self.record_answer(ingress, request, Answer::Rejected);
    }

    fn check_forward(&mut self, ingress: usize, request: u64, endpoint: u32, deadline: Duration) {
        assert!(
            self.listed.contains(&endpoint),
            "forwarded to an endpoint that was never listed"
        );
        let grace = self.settings.endpoint_limits.drain_grace;
        if let Some(since) = self.unready_since.get(&(ingress, endpoint)) {
            assert!(
                self.now <= *since + grace,
                "rule 3: forwarded to a draining or removed endpoint"
            );
        }
        let record = self
            .requests
            .get(&(ingress, request))
            .expect("forwarded an unknown request");
        assert!(
            record.answer.is_none(),
            "rule 1: forwarded after the final answer"
        );
        assert!(
            deadline <= record.deadline,
            "an attempt outlives its request"
        );
        if !self.settings.permissions.hedging {
            let mut attempts = record.attempts.iter();
            assert!(
                attempts.all(|attempt| attempt.outcome.is_some()),
                "two attempts in flight"
            );
        }
        self.check_repetition(record, endpoint);
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

    fn check_repetition(&self, record: &RequestRecord, endpoint: u32) {
        let Some(first) = record.first_possible_execution() else {
            return;
        };
        match self.settings.classes[record.class].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NonIdempotent => panic!("rule 2: a non-idempotent request was retried"),
            Idempotency::IdempotencyKey { scope, window } => {
                let is_same_group =
                    scope == DeduplicationScope::All || first.endpoint % 2 == endpoint % 2;
                assert!(
                    is_same_group && self.now <= first.forwarded_at + window,
                    "rule 2: a retry outside its key's deduplication scope or window"
                );
            }
        }
    }

    fn check_ceiling(&mut self, customer: u64, units: f64, plan: usize) {
        let plan = &self.settings.plans[plan];
        if plan.ceiling_rate <= 0.0 {
            return;
        }
        let (level, at) = self
            .ceilings
            .get(&customer)
            .copied()
            .unwrap_or((plan.ceiling_burst, self.now));
        let refill = (self.now - at).as_secs_f64() * plan.ceiling_rate;
        let level = (level + refill).min(plan.ceiling_burst) - units;
        self.ceilings.insert(customer, (level, self.now));
        self.lowest_ceiling = self.lowest_ceiling.min(level);
        let is_within = level >= -plan.ceiling_slack - 1e-6;
        assert!(is_within || !self.strict, "rule 5: ceiling exceeded");
    }

    fn record_answer(&mut self, ingress: usize, request: u64, answer: Answer) {
        let record = self
            .requests
            .get_mut(&(ingress, request))
            .expect("answered an unknown request");
        assert!(record.answer.is_none(), "rule 1: answered twice");
        assert!(
            self.now <= record.deadline,
            "rule 1: answered after the client gave up"
        );
        record.answer = Some(answer);
    }

    /// Runs past every deadline; every request must have its one final answer by then.
    pub(crate) fn finish(&mut self) {
        self.advance(Duration::from_millis(5000));
        for ((ingress, id), record) in &self.requests {
            assert!(
                record.answer.is_some(),
                "rule 1: request {id} at ingress {ingress} has no answer"
            );
        }
    }
}

impl RequestRecord {
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
