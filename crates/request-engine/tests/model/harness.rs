//! A harness that drives the engine, carries out its outputs and checks each of them against a
//! reference model.

use super::common::{ms, settings, IDEMPOTENCY_WINDOW};
use roseyard_decision::*;
use roseyard_request_engine::*;
use std::collections::BTreeMap;
use std::time::Duration;

const START: Duration = Duration::from_secs(86_400);
pub(crate) const IDEMPOTENT: usize = 0;
pub(crate) const WITH_IDEMPOTENCY_KEY: usize = 1;
pub(crate) const NON_IDEMPOTENT: usize = 2;

/// The reference model's state of a request.
#[derive(Default)]
pub(crate) struct ReferenceRequest {
    pub(crate) class: usize,
    pub(crate) is_cancelled: bool,
    pub(crate) responses: usize,
    pub(crate) attempts: u16,
    pub(crate) in_flight: Option<(u16, EndpointId)>,
    /// The cell and the forwarding time of the first attempt that may have been executed.
    pub(crate) executed: Option<(u16, Duration)>,
    pub(crate) forwarded_at: Duration,
}

impl ReferenceRequest {
    /// Asserts that the attempt may be forwarded to the endpoint.
    fn check_attempt(&self, attempt: u16, endpoint: EndpointId, now: Duration) {
        assert!(
            self.in_flight.is_none(),
            "a second attempt while one is in flight"
        );
        assert!(
            self.responses == 0 && !self.is_cancelled,
            "an attempt for a finished request"
        );
        assert_eq!(attempt, self.attempts);
        let Some((executed_cell, executed_at)) = self.executed else {
            return;
        };
        match self.class {
            IDEMPOTENT => {}
            WITH_IDEMPOTENCY_KEY => assert!(
                cell(endpoint) == executed_cell && now - executed_at <= IDEMPOTENCY_WINDOW,
                "a retry outside of the idempotency key's cell or window"
            ),
            _ => panic!("a non-idempotent request that may have been executed was retried"),
        }
    }
}

/// Returns the cell of an endpoint. Ids are assigned in the order of the list, from 1, and each
/// cell has two endpoints.
fn cell(endpoint: EndpointId) -> u16 {
    (endpoint.0 as u16 - 1) / 2
}

pub(crate) struct Harness {
    pub(crate) engine: RequestEngine<u64, u64, u64>,
    pub(crate) now: Duration,
    pub(crate) references: BTreeMap<u64, ReferenceRequest>,
    pub(crate) keys: BTreeMap<u64, Key>,
    pub(crate) increments: Vec<(CounterKey, f64)>,
    pub(crate) health_checks: Vec<EndpointId>,
    pub(crate) totals: BTreeMap<u64, f64>,
    pub(crate) revision: u64,
    pub(crate) states: BTreeMap<u16, EndpointRecordState>,
}

impl Harness {
    pub(crate) fn new(endpoints: u16) -> Harness {
        let engine = RequestEngine::new(
            settings(),
            7,
            EngineLimits {
                requests: 40,
                bytes: 1000,
            },
        )
        .unwrap();
        let mut harness = Harness {
            engine,
            now: START,
            references: BTreeMap::new(),
            keys: BTreeMap::new(),
            increments: Vec::new(),
            health_checks: Vec::new(),
            totals: BTreeMap::new(),
            revision: 0,
            states: (0..endpoints)
                .map(|n| (n, EndpointRecordState::Serving))
                .collect(),
        };
        harness.apply_list();
        harness
    }

    pub(crate) fn apply_list(&mut self) {
        self.revision += 1;
        let endpoints = self.states.iter().map(|(n, state)| EndpointRecord {
            uid: format!("s-{n}"),
            address: format!("127.0.0.1:{}", 7000 + n),
            zone: String::new(),
            cell: n / 2,
            state: *state,
            weight: 1.0,
            started_at_unix_ms: 0.0,
        });
        let list = EndpointListMessage {
            revision: self.revision,
            is_full: true,
            endpoints: endpoints.collect(),
            unreadable_count: 0,
        };
        self.engine.apply_endpoint_list(&list, &[], |_| None);
        self.carry_out_outputs();
    }

    pub(crate) fn submit(&mut self, class: usize) {
        let id = self.references.len() as u64;
        let submission = Submission {
            service: ServiceId(0),
            owner: id,
            class,
            plan: 0,
            customer: CustomerId(id % 3),
            units: 1.0,
            ingress_count: 2,
            time_left: ms(2000),
            is_retry: false,
            command: id,
            bytes: 20,
        };
        let open_requests = self.engine.open_request_count();
        match self.engine.submit(submission) {
            Ok(key) => {
                self.keys.insert(id, key);
                self.references.insert(
                    id,
                    ReferenceRequest {
                        class,
                        ..ReferenceRequest::default()
                    },
                );
            }
            Err(AtCapacity) => assert!(
                open_requests >= 40,
                "rejected at {open_requests} open requests"
            ),
        }
        self.carry_out_outputs();
    }

    pub(crate) fn cancel(&mut self, id: u64) {
        let reference = self.references.get_mut(&id).unwrap();
        reference.is_cancelled |= reference.responses == 0;
        self.engine.cancel_request(self.keys[&id]);
        self.carry_out_outputs();
    }

    pub(crate) fn end_attempt(&mut self, id: u64, outcome: Outcome) {
        let key = self.keys[&id];
        let reference = self.references.get_mut(&id).unwrap();
        let Some((attempt, endpoint)) = reference.in_flight.take() else {
            return;
        };
        let not_executed = matches!(
            outcome,
            Outcome::ConnectFailed | Outcome::Overloaded | Outcome::NotStarted
        );
        if !not_executed && reference.executed.is_none() {
            reference.executed = Some((cell(endpoint), reference.forwarded_at));
        }
        let value = (outcome == Outcome::Ok).then_some(id);
        self.engine.on_attempt_ended(
            key,
            attempt,
            AttemptResult {
                outcome,
                value,
                true_units: None,
                load: None,
            },
            self.now,
        );
        // The engine ignores a second report of the same end and the end of an unknown attempt.
        self.engine.on_attempt_ended(
            key,
            attempt,
            AttemptResult {
                outcome: Outcome::Ok,
                value: Some(99),
                true_units: None,
                load: None,
            },
            self.now,
        );
        self.engine.on_attempt_ended(
            key,
            attempt + 1,
            AttemptResult::from_outcome(Outcome::Overloaded),
            self.now,
        );
        self.carry_out_outputs();
    }

    pub(crate) fn reply_to_increment(&mut self, kind: u8) {
        if self.increments.is_empty() {
            return;
        }
        let (key, amount) = self.increments.remove(0);
        let result = match kind {
            0 => CounterResult::NotAdded,
            1 => CounterResult::Unknown,
            _ => CounterResult::Total({
                let total = self.totals.entry(key.0).or_default();
                *total += amount;
                *total
            }),
        };
        self.engine.on_counter_reply(key, result, ms(1));
        self.carry_out_outputs();
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        self.now += time;
        while self.engine.due().is_some_and(|due| due <= self.now) {
            self.engine.on_due();
            self.carry_out_outputs();
        }
    }

    /// Carries out all outputs and checks them against the reference model.
    pub(crate) fn carry_out_outputs(&mut self) {
        while let Some(output) = self.engine.poll(self.now) {
            match output {
                Output::Forward {
                    request,
                    attempt,
                    endpoint,
                    deadline,
                } => self.forward(request, attempt, endpoint, deadline),
                Output::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
                Output::Respond { owner, response } => self.check_response(owner, &response),
                Output::IncrementCounter { key, amount, .. } => self.increments.push((key, amount)),
                Output::CheckHealth { endpoint } => self.health_checks.push(endpoint),
                Output::FetchEndpointList | Output::Log(_) => {}
            }
        }
    }

    /// Starts an attempt if it may be written, or else reports that it was not started.
    fn forward(&mut self, request: Key, attempt: u16, endpoint: EndpointId, deadline: Duration) {
        let id = *self.engine.command(request).unwrap();
        let reference = self.references.get_mut(&id).unwrap();
        reference.check_attempt(attempt, endpoint, self.now);
        assert!(attempt < 4 && deadline > self.now);
        reference.attempts += 1;
        if !self.engine.may_write(request, attempt, deadline, self.now) {
            self.engine.on_attempt_ended(
                request,
                attempt,
                AttemptResult::from_outcome(Outcome::NotStarted),
                self.now,
            );
            return;
        }
        assert_eq!(
            self.states[&(endpoint.0 as u16 - 1)],
            EndpointRecordState::Serving,
            "written to a draining endpoint"
        );
        reference.in_flight = Some((attempt, endpoint));
        reference.forwarded_at = self.now;
    }

    /// Ends an attempt that the engine cancels, unless it has already ended.
    fn cancel_attempt(&mut self, request: Key, attempt: u16) {
        let Some(id) = self.engine.command(request).copied() else {
            return;
        };
        let reference = self.references.get_mut(&id).unwrap();
        if reference.in_flight.is_none_or(|(n, _)| n != attempt) {
            return;
        }
        let (_, endpoint) = reference.in_flight.take().unwrap();
        reference.executed = reference
            .executed
            .or(Some((cell(endpoint), reference.forwarded_at)));
        self.engine.on_attempt_ended(
            request,
            attempt,
            AttemptResult::from_outcome(Outcome::Cancelled),
            self.now,
        );
    }

    /// Checks a final response against the reference model.
    fn check_response(&mut self, owner: u64, response: &Response<u64>) {
        let reference = self.references.get_mut(&owner).unwrap();
        reference.responses += 1;
        assert!(
            reference.responses == 1 && !reference.is_cancelled,
            "a second final response, or a response to a cancelled request"
        );
        match response {
            Response::Served(value) => assert_eq!(*value, owner, "the value of another request"),
            Response::Rejected { .. } => assert!(
                reference.class == IDEMPOTENT
                    || reference.executed.is_none() && reference.in_flight.is_none(),
                "rejected although it may have been executed"
            ),
            Response::Failed => {}
        }
    }

    /// Stops the engine, ends the attempts in flight, and checks the number of responses to each
    /// request.
    pub(crate) fn stop(mut self) {
        self.engine.stop();
        self.carry_out_outputs();
        for (id, reference) in &self.references {
            assert_eq!(
                reference.responses,
                usize::from(!reference.is_cancelled),
                "final responses of request {id}"
            );
        }
        let in_flight: Vec<u64> = self
            .references
            .iter()
            .filter(|(_, reference)| reference.in_flight.is_some())
            .map(|(id, _)| *id)
            .collect();
        for id in in_flight {
            self.end_attempt(id, Outcome::Timeout);
        }
        assert_eq!(
            self.engine.open_request_count(),
            0,
            "every request is removed"
        );
        let before = self.references.len();
        self.submit_after_stop();
        assert_eq!(self.references.len(), before);
    }

    pub(crate) fn submit_after_stop(&mut self) {
        let submission = Submission {
            service: ServiceId(0),
            owner: 1 << 40,
            class: IDEMPOTENT,
            plan: 0,
            customer: CustomerId(1),
            units: 1.0,
            ingress_count: 2,
            time_left: ms(2000),
            is_retry: false,
            command: 0,
            bytes: 1,
        };
        assert_eq!(
            self.engine.submit(submission),
            Err(AtCapacity),
            "submissions are rejected after the stop"
        );
    }
}
