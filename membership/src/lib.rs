//! Which ingresses there are, as far as this one can know.
//!
//! [`Swim`] is the protocol: SWIM with suspicion and incarnations (Das, Gupta, Motivala 2002) and local health
//! (Dadgar, Phillips, Currey 2017, "Lifeguard"). It performs no I/O and reads no clock: [`Swim::handle`] takes one
//! event at a time and appends what is to be done, [`Swim::due`] tells when it wants to be called next. [`Guard`]
//! authenticates what is sent and keeps strangers and replays out. [`wire`] packs a datagram of at most 256 bytes.
//!
//! What a caller sees is a [`Standing`]: a name that was never heard of is `NeverSeen`, not `Gone`, and each view
//! says how old its latest word is. [`Swim::quorum`] tells whether this ingress sees more than half of those that
//! there should be. What must never be exceeded may not rest on a view alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod guard;
mod record;
mod swim;
pub mod wire;

pub use guard::{Dropped, Guard, Key, Opened};
pub use record::{Facts, Name, Record, Stage, Status};
pub use swim::{Action, Counts, Event, Quorum, Settings, Standing, Swim, View};
