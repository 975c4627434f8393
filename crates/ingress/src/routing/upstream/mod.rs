//! Attempts and health checks on connections to endpoints.
//!
//! A connection carries one request at a time: endpoints reply in order, and cancelling an attempt
//! costs its connection. The end of each attempt and health check goes to the request engine.
//!
//! - `attempts`: how a request is begun, written and ended
//! - `replies`: how its reply is read
//! - `connection`: one connection and its request
//! - `pool`: all connections, and which are idle
//! - `decoded_reply`: what a reply says
//! - `limits`: the bounds

mod attempts;
mod connection;
mod decoded_reply;
mod limits;
mod pool;
mod replies;

pub use connection::AttemptId;
pub use limits::{connect_timeout, UpstreamLimits};

use super::engine::IngressEngine;
use super::io::Io;
use crate::transport::{Key, Ready, Stream};
use connection::{ConnectionState, RequestKind, UpstreamRequest};
use pool::ConnectionPool;
use roseyard_admission::DescriptorUse;
use roseyard_decision::{EndpointId, Outcome};
use std::net::SocketAddr;
use std::time::Duration;

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
    pub fn remove_endpoint(&mut self, endpoint: EndpointId) {
        self.pool.remove_endpoint(endpoint);
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
        let Some(key) = engine.attempt_connection(attempt.request) else {
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
}
