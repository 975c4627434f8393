//! Attempts and health checks on connections to endpoints.
//!
//! A connection carries one request at a time, because endpoints reply in order and an attempt can
//! only be cancelled by closing its connection. The result of each attempt and health check is
//! reported to the request engine.
//!
//! - `attempts`: sends requests and reports their outcomes
//! - `replies`: reads replies
//! - `connection`: a connection with its state and its request
//! - `pool`: all connections, including the idle ones
//! - `decoded_reply`: decodes replies
//! - `limits`: the limits

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

/// Sends attempts and health checks to endpoints, and owns the connections to them.
pub struct Upstream {
    pool: ConnectionPool,
    limits: UpstreamLimits,
}

impl Upstream {
    /// Creates an upstream without connections.
    #[must_use]
    pub fn new(limits: UpstreamLimits) -> Upstream {
        Upstream {
            pool: ConnectionPool::new(limits),
            limits,
        }
    }

    /// Returns the number of connections to endpoints, including idle ones.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.pool.connections.len()
    }

    /// Starts a connection to any address. If the system has no descriptor left, closes the least
    /// recently used idle connection and tries again.
    ///
    /// # Errors
    /// Returns the system's error if the connection cannot be started.
    pub fn connect(&mut self, address: &SocketAddr, io: &mut Io) -> rustix::io::Result<Stream> {
        self.pool.connect(address, io)
    }

    /// Takes a descriptor for this use from the budget, if necessary by closing an idle connection.
    /// Returns false if none is available.
    pub fn take_descriptor(&mut self, descriptor_use: DescriptorUse, io: &mut Io) -> bool {
        self.pool.take_descriptor(descriptor_use, io)
    }

    /// Closes the least recently used idle connection. Returns false if none is idle.
    pub fn evict_idle(&mut self, io: &mut Io) -> bool {
        self.pool.evict_idle(io)
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId, io: &mut Io) {
        self.pool.close_idle(endpoint, io);
    }

    /// Removes the state of an endpoint that is no longer in the endpoint list.
    pub fn remove_endpoint(&mut self, endpoint: EndpointId) {
        self.pool.remove_endpoint(endpoint);
    }

    /// Starts an attempt, which times out at the deadline.
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

    /// Starts a health check, which times out after [`UpstreamLimits::health_check_timeout`].
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

    /// Cancels an attempt by closing its connection. Does nothing if the attempt has ended.
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

    /// Called when a connection is readable or writable.
    pub fn on_ready(&mut self, key: Key, ready: Ready, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get_mut(key) else {
            return;
        };
        if let ConnectionState::Connecting(request) = connection.state {
            if ready.writable {
                self.on_connect_finished(key, request, engine, io);
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

    /// Called when the deadline of a connection expires: it was not established in time, its reply
    /// is late, or it was idle for too long.
    pub fn on_deadline(&mut self, key: Key, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get_mut(key) else {
            return;
        };
        connection.due = None;
        match connection.state {
            ConnectionState::Idle => self.pool.close(key, io),
            ConnectionState::Connecting(_) => self.fail(key, Outcome::ConnectFailed, engine, io),
            // The request cannot have been executed, as its last byte was not written.
            ConnectionState::Busy(_) if connection.stream.unwritten() > 0 => {
                self.fail(key, Outcome::ConnectFailed, engine, io);
            }
            ConnectionState::Busy(request) if io.now < request.deadline => {
                let endpoint = request.endpoint.0;
                tracing::warn!(
                    event = "endpoint.malformed_reply",
                    endpoint,
                    error = "reply incomplete: timed out waiting for the rest",
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
