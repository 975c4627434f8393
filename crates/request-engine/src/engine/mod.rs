//! The request engine: events go in, outputs come out.
//!
//! - this module: requests, from submission to their end;
//! - `decisions`: events to the decision module and its actions back;
//! - `endpoints`: the endpoint list and the directory of services.

mod decisions;
mod endpoints;

use crate::attempt::AttemptResult;
use crate::directory::Directory;
use crate::endpoint_registry::{Endpoint, EndpointRegistry};
use crate::output::{Output, Response};
use crate::request::Request;
use crate::slots::{Key, Slots};
use crate::submission::{AtCapacity, Submission};
use roseyard_decision::{
    Action, AttemptEnd, CounterKey, CounterResult, Dispatcher, EndpointId, Event, Idempotency,
    LoadReport, Outcome, RejectReason, RequestId, Settings, SettingsError,
};
use std::collections::VecDeque;
use std::time::Duration;

/// How much an engine may hold. A submission beyond it is answered with [`AtCapacity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Most requests.
    pub requests: usize,
    /// Most bytes of all requests together.
    pub bytes: usize,
}

/// Holds requests, attempts and endpoints for the decision module. `O` names whom a response is
/// for, `C` is what goes to an endpoint, `V` is what an endpoint returns.
pub struct RequestEngine<O, C, V> {
    dispatcher: Dispatcher,
    idempotency_by_class: Vec<Idempotency>,
    /// Events that the decision module has not handled yet.
    events: VecDeque<Event>,
    outputs: VecDeque<Output<O, V>>,
    /// Empty between calls; kept for its allocation.
    actions: Vec<Action>,
    requests: Slots<Request<O, C>>,
    /// Bytes of all requests.
    held_bytes: usize,
    limits: EngineLimits,
    endpoint_registry: EndpointRegistry,
    directory: Directory,
    /// When the decision module's earliest timer is due.
    due: Option<Duration>,
    is_stopped: bool,
}

impl<O, C, V> RequestEngine<O, C, V> {
    /// An engine without requests and endpoints, whose directory has one service. The seed is that
    /// of the decision module's random choices.
    pub fn new(
        mut settings: Settings,
        seed: u64,
        limits: EngineLimits,
    ) -> Result<RequestEngine<O, C, V>, SettingsError> {
        // Hedging is disabled here: the engine tracks one attempt a request.
        settings.permissions.hedging = false;
        let idempotency_by_class = settings
            .classes
            .iter()
            .map(|class| class.idempotency)
            .collect();
        Ok(RequestEngine {
            idempotency_by_class,
            dispatcher: Dispatcher::new(settings, seed)?,
            events: VecDeque::new(),
            outputs: VecDeque::new(),
            actions: Vec::new(),
            requests: Slots::default(),
            held_bytes: 0,
            limits,
            endpoint_registry: EndpointRegistry::default(),
            directory: Directory::single_service(),
            due: None,
            is_stopped: false,
        })
    }

    /// Number of requests without a final response or with an attempt in flight.
    pub fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    /// What goes to an endpoint for a request; none if the request is gone.
    pub fn command(&self, request: Key) -> Option<&C> {
        self.requests.get(request).map(|request| &request.command)
    }

    /// Whether a request may be executed twice, by its class; false if the request is gone.
    pub fn is_idempotent(&self, request: Key) -> bool {
        self.requests
            .get(request)
            .is_some_and(|request| request.idempotency == Idempotency::Idempotent)
    }

    /// Accepts a request. Its final response comes as an [`Output::Respond`].
    pub fn submit(&mut self, submission: Submission<O, C>) -> Result<Key, AtCapacity> {
        let is_full = self.requests.len() >= self.limits.requests
            || self.held_bytes + submission.bytes > self.limits.bytes;
        if is_full || self.is_stopped {
            return Err(AtCapacity);
        }
        self.held_bytes += submission.bytes;
        let idempotency = self
            .idempotency_by_class
            .get(submission.class)
            .copied()
            .unwrap_or(Idempotency::NonIdempotent);
        let key = self.requests.insert_with(|key| {
            let incoming_request = submission.incoming_request(RequestId(key.pack()));
            self.events
                .push_back(Event::RequestReceived(incoming_request));
            Request::new(
                submission.owner,
                submission.command,
                submission.bytes,
                idempotency,
            )
        });
        Ok(key)
    }

    /// The owner of a request has disconnected. It gets no response, and an attempt in flight is
    /// cancelled.
    pub fn cancel_request(&mut self, request: Key) {
        let Some(cancelled) = self.requests.get_mut(request) else {
            return;
        };
        if cancelled.is_finished {
            return;
        }
        cancelled.is_finished = true;
        cancelled.owner = None;
        self.events
            .push_back(Event::ClientDisconnected(RequestId(request.pack())));
    }

    /// Whether the first byte of an attempt may be written to its endpoint now. To be checked again
    /// after each wait, such as for a connection. False if
    ///
    /// - the request is finished, or another attempt is in flight,
    /// - the endpoint drains or is gone,
    /// - the deadline has passed, or
    /// - an earlier attempt may have been executed and the endpoints would no longer recognise this
    ///   one as its repeat.
    pub fn may_write(&self, request: Key, attempt: u16, deadline: Duration, now: Duration) -> bool {
        let Some(request) = self.requests.get(request) else {
            return false;
        };
        let Some(in_flight) = &request.in_flight else {
            return false;
        };
        !request.is_finished
            && in_flight.number == attempt
            && self.is_serving(in_flight.endpoint)
            && request.is_before_end(deadline, now)
    }

    /// Whether an endpoint accepts new requests.
    pub fn is_serving(&self, endpoint: EndpointId) -> bool {
        self.endpoint_registry
            .get(endpoint)
            .is_some_and(Endpoint::is_ready)
    }

    /// Sets the driver's own key of what carries a request's attempt in flight.
    pub fn set_attempt_connection(&mut self, request: Key, connection: Option<Key>) {
        if let Some(request) = self.requests.get_mut(request) {
            request.connection = connection;
        }
    }

    /// The driver's own key of what carries a request's attempt in flight.
    pub fn attempt_connection(&self, request: Key) -> Option<Key> {
        self.requests.get(request)?.connection
    }

    /// An attempt has ended. An end that was reported before, or that of an attempt that is not in
    /// flight, is ignored: no attempt counts twice, and no reply goes to another request.
    pub fn on_attempt_ended(
        &mut self,
        request: Key,
        attempt: u16,
        result: AttemptResult<V>,
        now: Duration,
    ) {
        let Some(held) = self.requests.get_mut(request) else {
            return;
        };
        let Some(ended) = held.end_attempt(attempt, result.outcome) else {
            return;
        };
        // What has never reached an endpoint has used nothing. Prevents that a client which has
        // disconnected and comes again is charged twice.
        let true_units = if held.finished_unsent() {
            Some(0.0)
        } else {
            result.true_units
        };
        let is_served = result.outcome == Outcome::Ok && !held.is_finished;
        let value = result.value.filter(|_| is_served);
        // A value that cannot be delivered any more ends the request like any other outcome.
        let is_request_finished = held.is_finished || value.is_some();
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: RequestId(request.pack()),
            attempt,
            endpoint: ended.endpoint,
            outcome: result.outcome,
            elapsed: now.saturating_sub(ended.started_at),
            is_request_finished,
            true_units,
            load: result.load,
        }));
        if let Some(value) = value {
            self.respond(request, Response::Served(value));
        }
    }

    /// A health check has ended. Ignored if the endpoint is gone or belongs to no service.
    pub fn on_health_check_ended(
        &mut self,
        endpoint: EndpointId,
        outcome: Outcome,
        load: Option<LoadReport>,
    ) {
        let service = self
            .endpoint_registry
            .get(endpoint)
            .and_then(Endpoint::service);
        if let Some(service) = service {
            self.events.push_back(Event::HealthCheckEnded {
                service,
                endpoint,
                outcome,
                load,
            });
        }
    }

    /// A call to the counter has ended.
    pub fn on_counter_reply(&mut self, key: CounterKey, result: CounterResult, elapsed: Duration) {
        self.events.push_back(Event::CounterReply {
            key,
            result,
            elapsed,
        });
    }

    /// Accepts nothing more, and responds now to every request: [`Response::Failed`] if it may have
    /// been executed, else [`Response::Rejected`].
    pub fn stop(&mut self) {
        self.is_stopped = true;
        let unfinished: Vec<(Key, bool)> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_finished)
            .map(|(key, request)| (key, request.may_execute()))
            .collect();
        for (key, may_execute) in unfinished {
            let response = if may_execute {
                Response::Failed
            } else {
                Response::Rejected {
                    retry_after: None,
                    reason: RejectReason::NotServing,
                }
            };
            self.events
                .push_back(Event::ClientDisconnected(RequestId(key.pack())));
            self.respond(key, response);
        }
    }

    /// Gives a request its final response, once.
    fn respond(&mut self, request: Key, response: Response<V>) {
        let Some(held) = self.requests.get_mut(request) else {
            return;
        };
        if held.is_finished {
            return;
        }
        held.is_finished = true;
        if let Some(owner) = held.owner.take() {
            self.outputs.push_back(Output::Respond { owner, response });
        }
        self.remove_if_done(request);
    }

    /// Removes a request that is finished and has no attempt in flight.
    fn remove_if_done(&mut self, request: Key) {
        let is_done = self
            .requests
            .get(request)
            .is_some_and(|request| request.is_finished && request.in_flight.is_none());
        if !is_done {
            return;
        }
        if let Some(removed) = self.requests.remove(request) {
            self.held_bytes -= removed.bytes;
        }
    }
}
