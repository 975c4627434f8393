//! What a readiness event or a deadline is for, and the tokens by which sockets are registered.

use crate::transport::Key;

/// What a readiness event or a deadline is for.
///
/// Deadlines that are due at the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventSource {
    /// The listener.
    Listener,
    /// The summary of admission is logged.
    AdmissionSummary,
    /// The summary of rejected requests is logged.
    RejectionSummary,
    /// The reputation of clients is stored.
    Snapshot,
    /// The membership's socket or state machine.
    Membership,
    /// The status file is written.
    Status,
    /// A signal has come.
    Signal,
    /// The request engine's timer.
    Engine,
    /// The watch on discovery: the serial number of its connection (0 for the deadline).
    Discovery(u32),
    /// A connection to the counter: its index, and the serial number of its stream (0 for the
    /// deadline).
    Counter(u16, u32),
    /// A connection to an endpoint.
    Upstream(Key),
    /// A client's connection.
    Client(Key),
    /// The time-out of the first reply of discovery: `PING` is answered.
    ReadyTimeout,
    /// The next step of the shutdown.
    Shutdown,
}

const CLIENT: u64 = 1;
const UPSTREAM: u64 = 2;
const COUNTER: u64 = 3;
const DISCOVERY: u64 = 4;
const LISTENER: u64 = 5;
const SIGNAL: u64 = 6;
const MEMBERSHIP: u64 = 7;

/// Bits of a token below the kind of its source.
const KIND_SHIFT: u32 = 56;

impl EventSource {
    /// The number that a socket of this source is registered with.
    #[must_use]
    pub fn token(self) -> u64 {
        let (kind, id) = match self {
            EventSource::Client(key) => (CLIENT, key.pack()),
            EventSource::Upstream(key) => (UPSTREAM, key.pack()),
            EventSource::Counter(index, serial) => {
                (COUNTER, u64::from(serial) << 16 | u64::from(index))
            }
            EventSource::Discovery(serial) => (DISCOVERY, u64::from(serial)),
            EventSource::Listener => (LISTENER, 0),
            EventSource::Membership => (MEMBERSHIP, 0),
            EventSource::Signal
            | EventSource::Engine
            | EventSource::ReadyTimeout
            | EventSource::Shutdown
            | EventSource::AdmissionSummary
            | EventSource::RejectionSummary
            | EventSource::Snapshot
            | EventSource::Status => (SIGNAL, 0),
        };
        kind << KIND_SHIFT | id
    }

    /// The source of a token.
    #[must_use]
    pub fn from_token(token: u64) -> EventSource {
        let id = token & ((1 << KIND_SHIFT) - 1);
        match token >> KIND_SHIFT {
            CLIENT => EventSource::Client(Key::unpack(id)),
            UPSTREAM => EventSource::Upstream(Key::unpack(id)),
            COUNTER => EventSource::Counter(id as u16, (id >> 16) as u32),
            DISCOVERY => EventSource::Discovery(id as u32),
            LISTENER => EventSource::Listener,
            MEMBERSHIP => EventSource::Membership,
            _ => EventSource::Signal,
        }
    }
}
