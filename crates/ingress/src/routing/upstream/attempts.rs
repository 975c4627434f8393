//! The course of a request to an endpoint: it is sent on an idle or a new connection, and its
//! outcome is reported to the request engine.

use super::connection::{ConnectionState, RequestKind, UpstreamConnection, UpstreamRequest};
use super::Upstream;
use crate::routing::engine::IngressEngine;
use crate::routing::event_source::EventSource;
use crate::routing::io::Io;
use crate::transport::Key;
use roseyard_admission::DescriptorUse;
use roseyard_decision::Outcome;
use roseyard_request_engine::AttemptResult;
use std::time::Duration;

const HEALTH_CHECK_COMMAND: &[u8] = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n";

impl Upstream {
    /// Sends a request on an idle connection, or starts a new connection for it.
    pub(super) fn send(
        &mut self,
        request: UpstreamRequest,
        engine: &mut IngressEngine,
        io: &mut Io,
    ) {
        if !may_write(&request, engine, io.now) {
            return report_outcome(request, Outcome::NotStarted, engine, io.now);
        }
        let is_idempotent = match request.kind {
            RequestKind::Attempt(attempt) => engine.is_idempotent(attempt.request),
            RequestKind::HealthCheck => true,
        };
        if let Some(key) = self.pool.take_idle(request.endpoint, is_idempotent, io) {
            return self.write(key, request, engine, io);
        }
        match self.open(request, engine, io) {
            Ok(key) => record_connection(request, key, engine),
            Err(outcome) => report_outcome(request, outcome, engine, io.now),
        }
    }

    /// Starts a connection for a request. An error is the outcome of the request.
    fn open(
        &mut self,
        request: UpstreamRequest,
        engine: &IngressEngine,
        io: &mut Io,
    ) -> Result<Key, Outcome> {
        let endpoint = request.endpoint;
        let address = engine.address(endpoint).ok_or(Outcome::NotStarted)?;
        if !self.pool.take_descriptor(DescriptorUse::Upstream, io) {
            return Err(Outcome::ConnectFailed);
        }
        let Ok(stream) = self.pool.connect(&address, io) else {
            io.descriptor_budget.release(DescriptorUse::Upstream);
            return Err(Outcome::ConnectFailed);
        };
        let key = self.pool.connections.insert_with(|_| UpstreamConnection {
            stream,
            endpoint,
            address,
            state: ConnectionState::Connecting(request),
            last_used_at: io.now,
            idle_time: None,
            due: None,
        });
        if let Some(connection) = self.pool.connections.get_mut(key) {
            let source = EventSource::Upstream(key);
            let due = (io.now + self.limits.connect_timeout).min(request.deadline);
            io.deadlines.set(&mut connection.due, Some(due), source);
            if io
                .poller
                .add(connection.stream.fd(), source.token())
                .is_err()
            {
                self.pool.close(key, io);
                return Err(Outcome::ConnectFailed);
            }
        }
        Ok(key)
    }

    /// Called when a connection is established or could not be established; sends its request.
    pub(super) fn on_connect_finished(
        &mut self,
        key: Key,
        request: UpstreamRequest,
        engine: &mut IngressEngine,
        io: &mut Io,
    ) {
        let Some(connection) = self.pool.connections.get(key) else {
            return;
        };
        // Readiness is edge-triggered: if the endpoint had sent bytes or closed the connection
        // before the first request, this would be read after the request and taken for its reply.
        if connection.stream.connect_result().is_err() || !connection.stream.is_open_without_input()
        {
            return self.fail(key, Outcome::ConnectFailed, engine, io);
        }
        // The endpoint's address may have changed since the connection was started.
        let has_moved = engine
            .address(request.endpoint)
            .is_some_and(|address| address != connection.address);
        if has_moved || !may_write(&request, engine, io.now) {
            self.release(key, engine, io);
            return report_outcome(request, Outcome::NotStarted, engine, io.now);
        }
        self.write(key, request, engine, io);
    }

    /// Writes a request on an established connection that has no other request.
    fn write(
        &mut self,
        key: Key,
        request: UpstreamRequest,
        engine: &mut IngressEngine,
        io: &mut Io,
    ) {
        let idle_time = self.pool.mark_used(key, io.now);
        let Some(connection) = self.pool.connections.get_mut(key) else {
            return;
        };
        connection.idle_time = idle_time;
        connection.state = ConnectionState::Busy(request);
        io.deadlines.set(
            &mut connection.due,
            Some(request.deadline),
            EventSource::Upstream(key),
        );
        let output = connection.stream.output();
        match request.kind {
            RequestKind::Attempt(attempt) => {
                let Some(command) = engine.command(attempt.request) else {
                    return;
                };
                let remaining_ms = (request.deadline - io.now).as_secs_f64() * 1000.0;
                command.put(remaining_ms.round().max(1.0) as u64, output);
            }
            RequestKind::HealthCheck => output.extend_from_slice(HEALTH_CHECK_COMMAND),
        }
        let is_closed = connection.stream.flush().is_err();
        record_connection(request, key, engine);
        if is_closed {
            self.on_closed(key, engine, io);
        }
    }

    /// Called when a connection has failed or was closed by the endpoint. If its request was
    /// written completely, it may have been executed.
    pub(super) fn on_closed(&mut self, key: Key, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get(key) else {
            return;
        };
        let outcome = if connection.is_request_written() {
            let idle_time = connection.idle_time;
            self.pool.idle_risk.record_outcome(idle_time, true, io.now);
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        };
        self.fail(key, outcome, engine, io);
    }

    /// Closes a connection, and reports this outcome for its request.
    pub(super) fn fail(
        &mut self,
        key: Key,
        outcome: Outcome,
        engine: &mut IngressEngine,
        io: &mut Io,
    ) {
        let Some(connection) = self.pool.connections.get(key) else {
            return;
        };
        let request = connection.request();
        self.pool.close(key, io);
        if let Some(request) = request {
            report_outcome(request, outcome, engine, io.now);
        }
    }

    /// Returns an established connection without a request to its endpoint's pool. Closes it
    /// instead if the endpoint takes no more requests, or has another address now.
    pub(super) fn release(&mut self, key: Key, engine: &IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get(key) else {
            return;
        };
        let endpoint = connection.endpoint;
        let is_usable =
            engine.is_serving(endpoint) && engine.address(endpoint) == Some(connection.address);
        if is_usable {
            self.pool.put_idle(key, io);
        } else {
            self.pool.close(key, io);
        }
    }
}

/// Whether the first byte of this request may be written now.
fn may_write(request: &UpstreamRequest, engine: &IngressEngine, now: Duration) -> bool {
    match request.kind {
        RequestKind::Attempt(id) => engine.may_write(id.request, id.attempt, request.deadline, now),
        RequestKind::HealthCheck => engine.is_serving(request.endpoint) && now < request.deadline,
    }
}

/// Records the connection that carries an attempt, so that the attempt can be cancelled.
fn record_connection(request: UpstreamRequest, connection: Key, engine: &mut IngressEngine) {
    if let RequestKind::Attempt(attempt) = request.kind {
        engine.set_attempt_connection(attempt.request, Some(connection));
    }
}

/// Reports the outcome of a request that ended without a reply.
fn report_outcome(
    request: UpstreamRequest,
    outcome: Outcome,
    engine: &mut IngressEngine,
    now: Duration,
) {
    report_result(request, AttemptResult::from_outcome(outcome), engine, now);
}

/// Reports the result of a request to the request engine.
pub(super) fn report_result(
    request: UpstreamRequest,
    result: AttemptResult<Vec<u8>>,
    engine: &mut IngressEngine,
    now: Duration,
) {
    match request.kind {
        RequestKind::Attempt(id) => {
            engine.on_attempt_ended(id.request, id.attempt, result, now);
        }
        RequestKind::HealthCheck => {
            engine.on_health_check_ended(request.endpoint, result.outcome, result.load);
        }
    }
}
