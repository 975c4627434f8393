//! Group membership of the ingresses: which ones there are, as far as this one can know.
//!
//! [`Swim`] is the protocol: SWIM with suspicion and incarnations (Das, Gupta, Motivala 2002) and
//! local health (Dadgar, Phillips, Currey 2017, "Lifeguard"). It performs no I/O and reads no
//! clock: [`Swim::handle`] takes one event at a time and appends the actions to perform,
//! [`Swim::next_timeout`] is the deadline of the next call. [`Authenticator`] authenticates datagrams and drops
//! forged and replayed ones. [`wire`] packs a datagram of at most 256 bytes.
//!
//! What a caller sees is a [`MemberState`]: a member without any record is `NeverSeen`, not `Dead`,
//! and each view carries the time since the member's latest datagram. [`Swim::quorum`] says whether
//! this ingress sees more than half of the expected members. A view alone is no base for a limit
//! that must never be exceeded.

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
