//! The request engine, which receives events from its driver and returns outputs to it.
//!
//! - this module: the requests from their submission to their end;
//! - `decisions`: exchanges events and actions with the decision module;
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

/// The limits on the requests that an engine holds. A submission that would exceed a limit is
/// rejected with [`AtCapacity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// The maximum number of open requests.
    pub requests: usize,
    /// The maximum sum of the sizes of all open requests, in bytes.
    pub bytes: usize,
}

/// Manages the requests, their attempts and the endpoints for the decision module. `O` identifies
/// the recipient of a response, `C` is a command that is sent to an endpoint, and `V` is a value
/// that an endpoint returns.
pub struct RequestEngine<O, C, V> {
    dispatcher: Dispatcher,
    idempotency_by_class: Vec<Idempotency>,
    /// The events that the decision module has not handled yet.
    events: VecDeque<Event>,
    outputs: VecDeque<Output<O, V>>,
    /// A buffer that is empty between calls; its allocation is reused.
    actions: Vec<Action>,
    requests: Slots<Request<O, C>>,
    /// The sum of the sizes of all open requests, in bytes.
    held_bytes: usize,
    limits: EngineLimits,
    endpoint_registry: EndpointRegistry,
    directory: Directory,
    /// The expiry of the earliest timer that the decision module has set.
    due: Option<Duration>,
    is_stopped: bool,
}

impl<O, C, V> RequestEngine<O, C, V> {
    /// Returns an engine without requests and endpoints, whose directory has a single service.
    /// `seed` initialises the random choices of the decision module.
    pub fn new(
        mut settings: Settings,
        seed: u64,
        limits: EngineLimits,
    ) -> Result<RequestEngine<O, C, V>, SettingsError> {
        // Hedging is disabled because the engine tracks only one attempt of each request.
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

    /// Returns the number of requests that have no final response yet or whose last attempt is
    /// still in flight.
    pub fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the command of a request; `None` if the request no longer exists.
    pub fn command(&self, request: Key) -> Option<&C> {
        self.requests.get(request).map(|request| &request.command)
    }

    /// Whether the class of a request is idempotent; false if the request no longer exists.
    pub fn is_idempotent(&self, request: Key) -> bool {
        self.requests
            .get(request)
            .is_some_and(|request| request.idempotency == Idempotency::Idempotent)
    }

    /// Accepts a request and returns its key. The final response is returned by
    /// [`RequestEngine::poll`] as an [`Output::Respond`].
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

    /// Called when the owner of a request has disconnected. The request gets no response, and an
    /// attempt in flight is cancelled.
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

    /// Whether the first byte of an attempt may be written to its endpoint now. The driver checks
    /// this again after each wait, such as that for a connection. False if
    ///
    /// - the request is finished or the attempt is not in flight,
    /// - the endpoint is draining or was removed,
    /// - the deadline has passed, or
    /// - an earlier attempt may have been executed, and the endpoints might execute this one again.
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
            && request.is_before_deadlines(deadline, now)
    }

    /// Whether an endpoint accepts new requests.
    pub fn is_serving(&self, endpoint: EndpointId) -> bool {
        self.endpoint_registry
            .get(endpoint)
            .is_some_and(Endpoint::is_ready)
    }

    /// Sets the driver's key of the connection that carries the attempt in flight.
    pub fn set_attempt_connection(&mut self, request: Key, connection: Option<Key>) {
        if let Some(request) = self.requests.get_mut(request) {
            request.connection = connection;
        }
    }

    /// Returns the driver's key of the connection that carries the attempt in flight; `None` if the
    /// driver has set none or no attempt is in flight.
    pub fn attempt_connection(&self, request: Key) -> Option<Key> {
        self.requests.get(request)?.connection
    }

    /// Called when an attempt has ended. The call is ignored if the attempt is not in flight, so
    /// that no attempt is counted twice and no reply is delivered to another request.
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
        // A request that never reached an endpoint has used no units. Otherwise a client that
        // disconnects and sends the request again would be charged twice.
        let true_units = if held.is_finished_unsent() {
            Some(0.0)
        } else {
            result.true_units
        };
        let is_served = result.outcome == Outcome::Ok && !held.is_finished;
        let value = result.value.filter(|_| is_served);
        // If the request is already finished, its value is dropped and only the end of the attempt
        // is reported.
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

    /// Called when a health check has ended. The call is ignored if the endpoint was removed or
    /// belongs to no service.
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

    /// Called when a call to the counter has ended.
    pub fn on_counter_reply(&mut self, key: CounterKey, result: CounterResult, elapsed: Duration) {
        self.events.push_back(Event::CounterReply {
            key,
            result,
            elapsed,
        });
    }

    /// Rejects all further submissions and responds to every open request: with
    /// [`Response::Failed`] if it may have been executed, else with [`Response::Rejected`].
    pub fn stop(&mut self) {
        self.is_stopped = true;
        let unfinished: Vec<(Key, bool)> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.is_finished)
            .map(|(key, request)| (key, request.may_be_executed()))
            .collect();
        for (key, may_be_executed) in unfinished {
            let response = if may_be_executed {
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

    /// Outputs the final response of a request. The call is ignored if the request is finished.
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
