//! A connection to an endpoint, with its state and its request.

use crate::transport::{Key, Stream};
use roseyard_decision::EndpointId;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The engine's key of the request.
    pub request: Key,
    /// Number of the attempt, from 0.
    pub attempt: u16,
}

/// The kind of a request to an endpoint.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RequestKind {
    Attempt(AttemptId),
    HealthCheck,
}

/// A request to an endpoint. A connection carries one at a time.
#[derive(Clone, Copy)]
pub(super) struct UpstreamRequest {
    pub(super) kind: RequestKind,
    pub(super) endpoint: EndpointId,
    pub(super) started_at: Duration,
    /// When the request times out.
    pub(super) deadline: Duration,
}

/// The state of a connection.
#[derive(Clone, Copy)]
pub(super) enum ConnectionState {
    /// Being established; the request is written after that.
    Connecting(UpstreamRequest),
    /// Established, without a request.
    Idle,
    /// The request is being written, or waits for its reply.
    Busy(UpstreamRequest),
}

/// A connection to an endpoint.
pub(super) struct UpstreamConnection {
    pub(super) stream: Stream,
    pub(super) endpoint: EndpointId,
    /// The address of the connection. That of the endpoint may have changed since.
    pub(super) address: SocketAddr,
    pub(super) state: ConnectionState,
    /// When the connection was started, its last request was written, or it became idle.
    pub(super) last_used_at: Duration,
    /// How long the connection was idle before its current request; `None` if it was new.
    pub(super) idle_time: Option<Duration>,
    /// The deadline that is registered with [`Io::deadlines`](crate::routing::io::Io::deadlines).
    pub(super) due: Option<Duration>,
}

impl UpstreamConnection {
    /// Returns the request that waits for this connection or that it carries.
    pub(super) fn request(&self) -> Option<UpstreamRequest> {
        match self.state {
            ConnectionState::Connecting(request) | ConnectionState::Busy(request) => Some(request),
            ConnectionState::Idle => None,
        }
    }

    /// Whether the last byte of the request has been written. An endpoint does not execute a
    /// request before it has received the last byte.
    pub(super) fn is_request_written(&self) -> bool {
        matches!(self.state, ConnectionState::Busy(_)) && self.stream.unwritten() == 0
    }
}
