//! Group membership and failure detection for a cluster of ingresses.
//!
//! [`Swim`] is the protocol: SWIM with suspicion and incarnations (Das, Gupta, Motivala 2002) and
//! local health (Dadgar, Phillips, Currey 2017, "Lifeguard"). It performs no I/O and reads no
//! clock: [`Swim::handle`] takes one event at a time and appends the actions to perform, and
//! [`Swim::next_timeout`] returns the deadline of the next call. [`Authenticator`] authenticates
//! datagrams and drops those that are forged or replayed. [`wire`] encodes the bodies, so that a
//! datagram has at most 256 bytes.
//!
//! Callers see each member as a [`MemberView`]. A member without any record is in the state
//! `NeverSeen`, not `Dead`, and each view carries the time since the member's latest datagram.
//! [`Swim::quorum`] tells whether this ingress sees more than half of the expected members. Views
//! differ between members and lag behind, so a limit that must never be exceeded cannot rely on
//! them alone.

mod event;
mod guard;
mod record;
mod settings;
mod swim;
mod view;
pub mod wire;

pub use event::{Action, Event, Received};
pub use guard::{Authenticator, DropReason, Key, OpenedDatagram};
pub use record::{Metadata, Name, Record, Stage, Status};
pub use settings::Settings;
pub use swim::Swim;
pub use view::{Counts, MemberState, MemberView, Quorum};
