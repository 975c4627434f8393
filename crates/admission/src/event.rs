//! The input and output of the admission controller: events on connections, and actions that the
//! caller performs.

use std::net::IpAddr;
use std::time::Duration;

/// Identifies a connection. The lower 32 bits are its slot in the caller's table; the slot is
/// reused after the connection is closed. The upper 32 bits are the slot's generation, which
/// differs for each connection in the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl ConnectionId {
    /// Returns the connection's slot in the caller's table.
    pub(crate) fn slot(self) -> u32 {
        self.0 as u32
    }
}

/// Something that happened to a connection. Apart from [`Event::Connected`], events on connections
/// that are not open are ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A connection was accepted. Results in [`Action::RejectConnection`] if it is not admitted. If
    /// the id is that of an open connection, the open one first counts as closed.
    Connected {
        /// The connection.
        connection: ConnectionId,
        /// The address of the client.
        peer_address: IpAddr,
    },
    /// A complete request was read. Results in [`Action::RejectRequest`] if it is not admitted.
    RequestReceived {
        /// The connection that the request was read from.
        connection: ConnectionId,
        /// The number of the customer that the request names.
        customer: u64,
    },
    /// A complete command other than a request was read, and was answered immediately.
    CommandHandled(ConnectionId),
    /// A malformed or invalid command was read.
    ProtocolError(ConnectionId),
    /// The final reply to a request was determined.
    RequestAnswered {
        /// The connection of the request.
        connection: ConnectionId,
        /// Whether the request was served, as opposed to rejected or failed.
        served: bool,
    },
    /// The connection became idle: it has no open request, and all replies are written.
    BecameIdle(ConnectionId),
    /// The connection was shut down for writing. No further command is read from it; the caller
    /// waits for the client to close it.
    HalfClosed(ConnectionId),
    /// The connection was closed.
    Closed {
        /// The connection.
        connection: ConnectionId,
        /// Whether the client is at fault, for example because it did not send its first command in
        /// time. The fault counts against the client's address.
        client_fault: bool,
    },
    /// No file descriptor was left for a connection that waits to be accepted.
    DescriptorsExhausted,
}

/// The reason why a connection is closed or rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The client has reached the maximum number of connections per client.
    ClientCap,
    /// The client's network has reached the maximum number of connections per network.
    NetworkCap,
    /// The client has exceeded its rate of new connections.
    ClientRate,
    /// The client's network has exceeded its rate of new connections.
    NetworkRate,
    /// The capacity is exhausted, and no connection may be evicted for this one.
    AtCapacity,
    /// The connection was evicted for another one, or because the capacity was lowered.
    Evicted,
    /// The maximum number of idle connections of this reputation was exceeded, and this one had
    /// been idle for longest.
    IdleCap,
}

/// All reasons, in the order of
/// [`RejectionCounts::connections`](crate::RejectionCounts::connections).
pub const REJECTION_REASONS: [RejectionReason; 7] = [
    RejectionReason::ClientCap,
    RejectionReason::NetworkCap,
    RejectionReason::ClientRate,
    RejectionReason::NetworkRate,
    RejectionReason::AtCapacity,
    RejectionReason::Evicted,
    RejectionReason::IdleCap,
];

impl RejectionReason {
    /// Returns the id of the reason in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionReason::ClientCap => "client-cap",
            RejectionReason::NetworkCap => "neighbourhood-cap",
            RejectionReason::ClientRate => "client-rate",
            RejectionReason::NetworkRate => "neighbourhood-rate",
            RejectionReason::AtCapacity => "full",
            RejectionReason::Evicted => "displaced",
            RejectionReason::IdleCap => "room",
        }
    }
}

/// Something that the caller must do in response to an event or a new policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Close this idle connection. The controller has already removed it, so the caller reports no
    /// [`Event::Closed`] for it.
    Close {
        /// The connection.
        connection: ConnectionId,
        /// The reason for closing it.
        reason: RejectionReason,
    },
    /// Reject the connection that was just accepted, with a retry time, and close it. The caller
    /// reports no [`Event::Closed`] for it.
    RejectConnection {
        /// The connection.
        connection: ConnectionId,
        /// The time after which the client should connect again.
        retry_after: Duration,
        /// The reason for rejecting it.
        reason: RejectionReason,
    },
    /// Reject the request that was just received, with a retry time. Its connection stays open.
    RejectRequest {
        /// The time after which the client should send the request again.
        retry_after: Duration,
    },
    /// Stop accepting connections for a short time, because no descriptor can be freed now.
    PauseAccepting {
        /// When to accept connections again, since the same epoch as the time of the event.
        until: Duration,
    },
}
