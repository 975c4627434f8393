//! Input and output of the state machine: what happens to connections and what is to be done.

use std::net::IpAddr;
use std::time::Duration;

/// Identifies a connection. The lower 32 bits are its slot in the caller's table, which is reused
/// once it has closed; the others are the slot's generation, which distinguishes its users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl ConnectionId {
    /// The connection's slot in the caller's table.
    pub(crate) fn slot(self) -> u32 {
        self.0 as u32
    }
}

/// What has happened. Events of connections that are not open are ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A connection was accepted. Answered by [`Action::RejectConnection`] if it is not kept; if
    /// the id is that of an open connection, that one counts as closed first.
    Connected {
        /// The connection.
        connection: ConnectionId,
        /// The client's address.
        peer_address: IpAddr,
    },
    /// A complete request was read. Answered by [`Action::RejectRequest`] if it is not admitted.
    RequestReceived {
        /// The connection that it was read from.
        connection: ConnectionId,
        /// The number of the customer that it names.
        customer: u64,
    },
    /// Another complete command was read and is answered at once.
    CommandHandled(ConnectionId),
    /// Something was read that is malformed or cannot be carried out.
    ProtocolError(ConnectionId),
    /// A request got its final answer.
    RequestAnswered {
        /// The connection of the request.
        connection: ConnectionId,
        /// Was it served, with a value as its answer?
        served: bool,
    },
    /// The connection became idle: no request is open, and all answers are written.
    BecameIdle(ConnectionId),
    /// No further command is read from the connection; only the client's end of it is awaited.
    HalfClosed(ConnectionId),
    /// The connection was closed.
    Closed {
        /// The connection.
        connection: ConnectionId,
        /// Was it closed for a timeout before the first command or amid one? Such a fault counts
        /// against the client's address.
        client_fault: bool,
    },
    /// The system had no file descriptor for a connection that waits to be accepted.
    DescriptorsExhausted,
}

/// Why a connection is closed or rejected. Ids in log lines are those of [`Self::as_str`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The client has as many connections as one client may have.
    ClientCap,
    /// The client's network has as many connections as one network may have.
    NetworkCap,
    /// The client connects faster than one client may.
    ClientRate,
    /// The client's network connects faster than one network may.
    NetworkRate,
    /// All capacity is in use and no connection may be evicted for this one.
    AtCapacity,
    /// Evicted for another connection.
    Evicted,
    /// Too many idle connections have the same low reputation.
    IdleCap,
}

/// All reasons, by their index in [`RejectionCounts::connections`](crate::RejectionCounts).
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
    /// The reason's id in log lines.
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

/// What the caller is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Close this idle connection. It counts as closed already: no [`Event::Closed`] is due.
    Close {
        /// The connection.
        connection: ConnectionId,
        /// Why.
        reason: RejectionReason,
    },
    /// Reject the connection that was just accepted, with a retry time, and close it. It counts as
    /// closed already.
    RejectConnection {
        /// The connection.
        connection: ConnectionId,
        /// Time after which the client may connect again, as far as is known now.
        retry_after: Duration,
        /// Why.
        reason: RejectionReason,
    },
    /// Reject the request that was just received, with a retry time; its connection stays open.
    RejectRequest {
        /// Time after which the client may send it again, as far as is known now.
        retry_after: Duration,
    },
    /// Accept no connections for a while.
    PauseAccepting {
        /// When to accept again, on the caller's clock.
        until: Duration,
    },
}
