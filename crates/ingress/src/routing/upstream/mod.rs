//! Attempts and health checks on connections to endpoints.
//!
//! A connection carries one request at a time: endpoints reply in order, and cancelling an attempt
//! costs its connection. The end of each attempt and health check goes to the request engine.
//!
//! - [`connection`]: one connection and its request
//! - [`pool`]: all connections, and which are idle
//! - [`decoded_reply`]: what a reply says
//! - [`limits`]: bounds

mod connection;
mod decoded_reply;
mod limits;
mod pool;
mod replies;

pub use connection::AttemptId;
pub use limits::{connect_timeout, UpstreamLimits};

use super::engine::IngressEngine;
use super::event_source::EventSource;
use super::io::Io;
use crate::transport::{Key, Ready, Stream};
use connection::{ConnectionState, RequestKind, UpstreamConnection, UpstreamRequest};
use pool::ConnectionPool;
use roseyard_admission::DescriptorUse;
use roseyard_decision::{EndpointId, Outcome};
use roseyard_request_engine::AttemptResult;
use std::net::SocketAddr;
use std::time::Duration;

const HEALTH_CHECK_COMMAND: &[u8] = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n";

/// Attempts and health checks on connections to endpoints.
pub struct Upstream {
    pool: ConnectionPool,
    limits: UpstreamLimits,
}

impl Upstream {
    /// No connection yet.
    #[must_use]
    pub fn new(limits: UpstreamLimits) -> Upstream {
        Upstream {
            pool: ConnectionPool::new(limits),
            limits,
        }
    }

    /// Connections to endpoints.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.pool.connections.len()
    }

    /// Begins a connection to anywhere; an idle connection to an endpoint is closed where the
    /// system has no descriptor left.
    ///
    /// # Errors
    /// The system's error if the connection cannot be begun.
    pub fn connect(&mut self, to: &SocketAddr, io: &mut Io) -> rustix::io::Result<Stream> {
        self.pool.connect(to, io)
    }

    /// Takes a descriptor for this use; an idle connection is closed if there is none.
    pub fn take_descriptor(&mut self, of: DescriptorUse, io: &mut Io) -> bool {
        self.pool.take_descriptor(of, io)
    }

    /// Closes the idle connection that was used longest ago; false if none is idle.
    pub fn evict_idle(&mut self, io: &mut Io) -> bool {
        self.pool.evict_idle(io)
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId, io: &mut Io) {
        self.pool.close_idle(endpoint, io);
    }

    /// Forgets an endpoint that is no longer listed.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.pool.forget(endpoint);
    }

    /// Begins an attempt, to be given up at the deadline.
    pub fn send_attempt(
        &mut self,
        attempt: AttemptId,
        endpoint: EndpointId,
        deadline: Duration,
        engine: &mut IngressEngine,
        io: &mut Io,
    ) {
        let request = UpstreamRequest {
            kind: RequestKind::Attempt(attempt),
            endpoint,
            started_at: io.now,
            deadline,
        };
        self.send(request, engine, io);
    }

    /// Begins a health check.
    pub fn send_health_check(
        &mut self,
        endpoint: EndpointId,
        engine: &mut IngressEngine,
        io: &mut Io,
    ) {
        let request = UpstreamRequest {
            kind: RequestKind::HealthCheck,
            endpoint,
            started_at: io.now,
            deadline: io.now + self.limits.health_check_timeout,
        };
        self.send(request, engine, io);
    }

    /// Cancels an attempt: its connection is closed.
    pub fn cancel(&mut self, attempt: AttemptId, engine: &mut IngressEngine, io: &mut Io) {
        let Some(key) = engine.carrier(attempt.request) else {
            return;
        };
        let Some(connection) = self.pool.connections.get(key) else {
            return;
        };
        let kind = connection.request().map(|request| request.kind);
        if kind == Some(RequestKind::Attempt(attempt)) {
            let outcome = if connection.is_request_written() {
                Outcome::Cancelled
            } else {
                Outcome::NotStarted
            };
            self.fail(key, outcome, engine, io);
        }
    }

    /// A connection is ready.
    pub fn on_ready(&mut self, key: Key, ready: Ready, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get_mut(key) else {
            return;
        };
        if let ConnectionState::Connecting(request) = connection.state {
            if ready.writable {
                self.on_connected(key, request, engine, io);
            }
            return;
        }
        let has_output = connection.stream.unwritten() > 0;
        if ready.writable && has_output && connection.stream.flush().is_err() {
            return self.on_closed(key, engine, io);
        }
        if ready.readable {
            self.read(key, ready, engine, io);
        }
    }

    /// A connection's deadline has come: not established, no reply, or idle for long.
    pub fn on_due(&mut self, key: Key, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get_mut(key) else {
            return;
        };
        connection.due = None;
        match connection.state {
            ConnectionState::Idle => self.pool.close(key, io),
            ConnectionState::Connecting(_) => self.fail(key, Outcome::ConnectFailed, engine, io),
            // It is never executed without its last byte.
            ConnectionState::Busy(_) if connection.stream.unwritten() > 0 => {
                self.fail(key, Outcome::ConnectFailed, engine, io);
            }
            ConnectionState::Busy(request) if io.now < request.deadline => {
                let endpoint = request.endpoint.0;
                tracing::warn!(
                    event = "endpoint.malformed_reply",
                    endpoint,
                    error = "reply incomplete",
                    "malformed reply from endpoint"
                );
                self.fail(key, Outcome::Error, engine, io);
            }
            ConnectionState::Busy(request) => {
                self.fail(key, Outcome::Timeout, engine, io);
                self.pool
                    .close_idle_if_silent(request.endpoint, request.started_at, io);
            }
        }
    }

    /// Writes a request on an idle connection, or begins a new one for it.
    fn send(&mut self, request: UpstreamRequest, engine: &mut IngressEngine, io: &mut Io) {
        if !may_write(&request, engine, io.now) {
            return end(request, Outcome::NotStarted, engine, io.now);
        }
        let is_idempotent = match request.kind {
            RequestKind::Attempt(attempt) => engine.is_idempotent(attempt.request),
            RequestKind::HealthCheck => true,
        };
        if let Some(key) = self.pool.take_idle(request.endpoint, is_idempotent, io) {
            return self.write(key, request, engine, io);
        }
        match self.open(request, engine, io) {
            Ok(key) => assign(request, key, engine),
            Err(outcome) => end(request, outcome, engine, io.now),
        }
    }

    /// Begins a connection for a request; an error is the request's outcome.
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
            io.budget.give(DescriptorUse::Upstream);
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

    /// A connection is established, or could not be.
    fn on_connected(
        &mut self,
        key: Key,
        request: UpstreamRequest,
        engine: &mut IngressEngine,
        io: &mut Io,
    ) {
        let Some(connection) = self.pool.connections.get(key) else {
            return;
        };
        // Bytes or an end before the first request, read behind it as readiness is reported once,
        // would be taken for its reply.
        if connection.stream.connected().is_err() || !connection.stream.quiet() {
            return self.fail(key, Outcome::ConnectFailed, engine, io);
        }
        // The endpoint may have moved since the connection was begun.
        let has_moved = engine
            .address(request.endpoint)
            .is_some_and(|address| address != connection.address);
        if has_moved || !may_write(&request, engine, io.now) {
            self.release(key, engine, io);
            return end(request, Outcome::NotStarted, engine, io.now);
        }
        self.write(key, request, engine, io);
    }

    /// Writes a request on an established connection that has none.
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
                let wait_ms = (request.deadline - io.now).as_secs_f64() * 1000.0;
                command.put(wait_ms.round().max(1.0) as u64, output);
            }
            RequestKind::HealthCheck => output.extend_from_slice(HEALTH_CHECK_COMMAND),
        }
        let is_closed = connection.stream.flush().is_err();
        assign(request, key, engine);
        if is_closed {
            self.on_closed(key, engine, io);
        }
    }

    /// A connection has broken or ended: its request may have been executed if it was written.
    fn on_closed(&mut self, key: Key, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get(key) else {
            return;
        };
        let outcome = if connection.is_request_written() {
            let idle_time = connection.idle_time;
            self.pool.idle_risk.told(idle_time, true, io.now);
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        };
        self.fail(key, outcome, engine, io);
    }

    /// Closes a connection, and ends its request with this outcome.
    fn fail(&mut self, key: Key, outcome: Outcome, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get(key) else {
            return;
        };
        let request = connection.request();
        self.pool.close(key, io);
        if let Some(request) = request {
            end(request, outcome, engine, io.now);
        }
    }

    /// Puts an established connection without a request into its endpoint's pool, or closes it
    /// where the endpoint takes no more requests there.
    fn release(&mut self, key: Key, engine: &IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get(key) else {
            return;
        };
        let endpoint = connection.endpoint;
        let is_usable =
            engine.takes_work(endpoint) && engine.address(endpoint) == Some(connection.address);
        if is_usable {
            self.pool.put_idle(key, io);
        } else {
            self.pool.close(key, io);
        }
    }
}

/// May this request's first byte be written now?
fn may_write(request: &UpstreamRequest, engine: &IngressEngine, now: Duration) -> bool {
    match request.kind {
        RequestKind::Attempt(id) => engine.may_write(id.request, id.attempt, request.deadline, now),
        RequestKind::HealthCheck => engine.takes_work(request.endpoint) && now < request.deadline,
    }
}

/// An attempt is on this connection from now on.
fn assign(request: UpstreamRequest, connection: Key, engine: &mut IngressEngine) {
    if let RequestKind::Attempt(attempt) = request.kind {
        engine.carry(attempt.request, Some(connection));
    }
}

/// A request has ended without a reply.
fn end(request: UpstreamRequest, outcome: Outcome, engine: &mut IngressEngine, now: Duration) {
    end_with(request, AttemptResult::of(outcome), engine, now);
}

/// A request has ended.
fn end_with(
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
