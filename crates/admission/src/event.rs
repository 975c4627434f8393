//! What goes into the state machine and what comes out of it.

use std::net::IpAddr;
use std::time::Duration;

/// Names a connection. The lower 32 bits are its slot in the caller's table, which is used again
/// after it has closed; the rest tells apart those that had the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl ConnectionId {
    /// Its slot in the caller's table.
    pub(crate) fn slot(self) -> u32 {
        self.0 as u32
    }
}

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A connection was accepted.
    Connected {
        /// The connection.
        conn: ConnectionId,
        /// Where it comes from.
        peer: IpAddr,
    },
    /// A request has come whole and is to be taken in. Answered by [`Action::RejectRequest`] or by
    /// nothing.
    RequestReceived {
        /// Its connection.
        conn: ConnectionId,
        /// The customer that it names.
        customer: u64,
    },
    /// Another command has come whole and is answered at once.
    CommandHandled(ConnectionId),
    /// Something has come that cannot be read or carried out.
    ProtocolError(ConnectionId),
    /// A request has got its final answer.
    Answered {
        /// Its connection.
        conn: ConnectionId,
        /// Was it a value?
        served: bool,
    },
    /// The connection is idle: it waits for nothing, and all answers are written.
    BecameIdle(ConnectionId),
    /// No further command is read on it; only its other side's end is awaited.
    HalfClosed(ConnectionId),
    /// It has closed; `fault` if it was closed for silence or amid a command.
    Closed {
        /// The connection.
        conn: ConnectionId,
        /// Whether that speaks against its address.
        fault: bool,
    },
    /// The system has no descriptor left for a connection that waits.
    DescriptorsExhausted,
}

/// Why a connection is not kept, or not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// Its address has as many connections as it may have.
    ClientCap,
    /// Its neighbourhood has.
    NeighbourhoodCap,
    /// Its address connects too often.
    ClientRate,
    /// Its neighbourhood does.
    NeighbourhoodRate,
    /// Every place is taken by a connection that is not to be evicted for it.
    AtCapacity,
    /// Another connection needed its place.
    Displaced,
    /// Too many connections of its reputation are idle.
    IdleCapacity,
}

/// Reasons, in the order of [`AdmissionController::counts`](crate::Gate::counts).
pub const REJECTION_REASONS: [RejectionReason; 7] = [
    RejectionReason::ClientCap,
    RejectionReason::NeighbourhoodCap,
    RejectionReason::ClientRate,
    RejectionReason::NeighbourhoodRate,
    RejectionReason::AtCapacity,
    RejectionReason::Displaced,
    RejectionReason::IdleCapacity,
];

impl RejectionReason {
    /// The text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionReason::ClientCap => "client-cap",
            RejectionReason::NeighbourhoodCap => "neighbourhood-cap",
            RejectionReason::ClientRate => "client-rate",
            RejectionReason::NeighbourhoodRate => "neighbourhood-rate",
            RejectionReason::AtCapacity => "full",
            RejectionReason::Displaced => "displaced",
            RejectionReason::IdleCapacity => "room",
        }
    }
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Close this connection, which is idle. It counts as closed already.
    Close {
        /// The connection.
        conn: ConnectionId,
        /// Why.
        why: RejectionReason,
    },
    /// The connection that has just come is not taken: say when to come again and close it. It
    /// counts as closed already.
    RejectConnection {
        /// The connection.
        conn: ConnectionId,
        /// When to come again.
        after: Duration,
        /// Why.
        why: RejectionReason,
    },
    /// The request that has just come is refused with this advice; its connection stays.
    RejectRequest {
        /// When to come again.
        after: Duration,
    },
    /// Accept nothing until then.
    Pause {
        /// The time.
        until: Duration,
    },
}
