//! The sources of readiness events and deadlines, and the poller tokens that encode them.

use crate::transport::Key;

/// The source of a readiness event or a deadline.
///
/// Deadlines that expire at the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventSource {
    /// The socket that accepts clients, or the end of a pause in accepting.
    Listener,
    /// The time to log the admission summary.
    AdmissionSummary,
    /// The time to log the summary of rejected requests.
    RejectionSummary,
    /// The time to write the snapshot of client reputations.
    Snapshot,
    /// The socket of the membership protocol, or the next timer of its state machine.
    Membership,
    /// The time to write the status file.
    Status,
    /// The pipe that reports signals.
    Signal,
    /// The timer of the request engine.
    Engine,
    /// The watch on discovery, with the serial number of the call (0 for the deadline).
    Discovery(u32),
    /// A connection to the counter, with its index and the serial number of its stream (0 for the
    /// deadline).
    Counter(u16, u32),
    /// A connection to an endpoint.
    Upstream(Key),
    /// A connection from a client.
    Client(Key),
    /// The time-out of the first reply from discovery, after which the ingress reports ready
    /// without it.
    ReadyTimeout,
    /// The end of the current shutdown phase.
    Shutdown,
}

const CLIENT_KIND: u64 = 1;
const UPSTREAM_KIND: u64 = 2;
const COUNTER_KIND: u64 = 3;
const DISCOVERY_KIND: u64 = 4;
const LISTENER_KIND: u64 = 5;
const SIGNAL_KIND: u64 = 6;
const MEMBERSHIP_KIND: u64 = 7;

/// Bit position of the source's kind in a token; the bits below it hold the identifier.
const KIND_SHIFT: u32 = 56;

impl EventSource {
    /// Returns the token under which the poller reports events of this source. All sources that
    /// have only a deadline share the token of [`EventSource::Signal`].
    #[must_use]
    pub fn token(self) -> u64 {
        let (kind, id) = match self {
            EventSource::Client(key) => (CLIENT_KIND, key.pack()),
            EventSource::Upstream(key) => (UPSTREAM_KIND, key.pack()),
            EventSource::Counter(index, serial) => {
                (COUNTER_KIND, u64::from(serial) << 16 | u64::from(index))
            }
            EventSource::Discovery(serial) => (DISCOVERY_KIND, u64::from(serial)),
            EventSource::Listener => (LISTENER_KIND, 0),
            EventSource::Membership => (MEMBERSHIP_KIND, 0),
            EventSource::Signal
            | EventSource::Engine
            | EventSource::ReadyTimeout
            | EventSource::Shutdown
            | EventSource::AdmissionSummary
            | EventSource::RejectionSummary
            | EventSource::Snapshot
            | EventSource::Status => (SIGNAL_KIND, 0),
        };
        kind << KIND_SHIFT | id
    }

    /// Returns the source that a token of the poller stands for.
    #[must_use]
    pub fn from_token(token: u64) -> EventSource {
        let id = token & ((1 << KIND_SHIFT) - 1);
        match token >> KIND_SHIFT {
            CLIENT_KIND => EventSource::Client(Key::unpack(id)),
            UPSTREAM_KIND => EventSource::Upstream(Key::unpack(id)),
            COUNTER_KIND => EventSource::Counter(id as u16, (id >> 16) as u32),
            DISCOVERY_KIND => EventSource::Discovery(id as u32),
            LISTENER_KIND => EventSource::Listener,
            MEMBERSHIP_KIND => EventSource::Membership,
            _ => EventSource::Signal,
        }
    }
}
