//! One connection to an endpoint, and the request that is on it.

use crate::transport::{Key, Stream};
use roseyard_decision::EndpointId;
use std::net::SocketAddr;
use std::time::Duration;

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request, as the engine holds it.
    pub request: Key,
    /// Number of the attempt, from 0.
    pub attempt: u16,
}

/// What is sent to an endpoint.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RequestKind {
    Attempt(AttemptId),
    HealthCheck,
}

/// A request to an endpoint, one at a time on each connection.
#[derive(Clone, Copy)]
pub(super) struct UpstreamRequest {
    pub(super) kind: RequestKind,
    pub(super) endpoint: EndpointId,
    pub(super) started_at: Duration,
    pub(super) deadline: Duration,
}

/// How far a connection is.
#[derive(Clone, Copy)]
pub(super) enum ConnectionState {
    /// Not established; the request is written once it is.
    Connecting(UpstreamRequest),
    Idle,
    /// The request is being written, or its reply is awaited.
    Busy(UpstreamRequest),
}

/// A connection to an endpoint.
pub(super) struct UpstreamConnection {
    pub(super) stream: Stream,
    pub(super) endpoint: EndpointId,
    /// Where it leads: the endpoint may have moved since.
    pub(super) address: SocketAddr,
    pub(super) state: ConnectionState,
    pub(super) last_used_at: Duration,
    /// How long it was idle when the request on it was written; none on a new connection.
    pub(super) idle_time: Option<Duration>,
    /// The deadline that is set for it.
    pub(super) due: Option<Duration>,
}

impl UpstreamConnection {
    /// The request that waits for this connection or is on it.
    pub(super) fn request(&self) -> Option<UpstreamRequest> {
        match self.state {
            ConnectionState::Connecting(request) | ConnectionState::Busy(request) => Some(request),
            ConnectionState::Idle => None,
        }
    }

    /// Is its request written to the last byte? An endpoint executes a request only then.
    pub(super) fn is_request_written(&self) -> bool {
        matches!(self.state, ConnectionState::Busy(_)) && self.stream.unwritten() == 0
    }
}
