//! Drives the engine: what comes from sockets is told to it, what it hands over becomes writes.
//!
//! [`Core`] knows customers, classes and plans, not the platform's words for them: a front hands it
//! an [`Submission`] and is handed the [`Response`]. [`front`] is the platform's.

mod attempts;
mod client;
mod commands;
mod core;
mod counter;
mod discovery;
pub mod front;
mod listener;
pub mod members;

pub use self::core::{Core, IngressEngine, Response, Start, Submission};
pub use commands::{ClassTerms, Terms};
pub use front::Front;

use crate::limits::Limits;
use crate::transport::{connect, is_fd_shortage, Deadlines, Key, Poller, Stream};
use roseyard_admission::DescriptorBudget;
use rustix::fd::OwnedFd;
use std::net::SocketAddr;
use std::time::Duration;

/// Whom a readiness event or a deadline is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// The listener.
    Listener,
    /// What admission did is told.
    Report,
    /// Standing is written down.
    SnapshotSettings,
    /// The other ingresses.
    Members,
    /// What is known of them is written down.
    Status,
    /// SIGTERM or SIGINT has come.
    Signal,
    /// The module's timer.
    Module,
    /// The watch on discovery: which of its connections, counted from the start (0 for its
    /// deadline).
    Watch(u32),
    /// A connection to the counter, by number, and which of those that had this number (0 for its
    /// deadline).
    Counter(u16, u32),
    /// A connection to a server.
    Link(Key),
    /// A client's connection.
    Client(Key),
    /// Discovery has had its time: `PING` is answered.
    Ready,
    /// Draining: no longer accept, or no longer wait.
    Drain,
}

const CLIENT: u64 = 1;
const LINK: u64 = 2;
const COUNTER: u64 = 3;
const WATCH: u64 = 4;
const LISTENER: u64 = 5;
const SIGNAL: u64 = 6;
const MEMBERS: u64 = 7;

impl Party {
    /// The number that a socket of this party is registered with.
    pub fn token(self) -> u64 {
        let (kind, rest) = match self {
            Party::Client(key) => (CLIENT, key.pack()),
            Party::Link(key) => (LINK, key.pack()),
            Party::Counter(n, serial) => (COUNTER, u64::from(serial) << 16 | u64::from(n)),
            Party::Watch(serial) => (WATCH, u64::from(serial)),
            Party::Listener => (LISTENER, 0),
            Party::Members => (MEMBERS, 0),
            Party::Signal
            | Party::Module
            | Party::Ready
            | Party::Drain
            | Party::Report
            | Party::SnapshotSettings
            | Party::Status => (SIGNAL, 0),
        };
        kind << 56 | rest
    }

    /// The party of a number.
    pub fn of_token(token: u64) -> Party {
        let rest = token & ((1 << 56) - 1);
        match token >> 56 {
            CLIENT => Party::Client(Key::unpack(rest)),
            LINK => Party::Link(Key::unpack(rest)),
            COUNTER => Party::Counter(rest as u16, (rest >> 16) as u32),
            WATCH => Party::Watch(rest as u32),
            LISTENER => Party::Listener,
            MEMBERS => Party::Members,
            _ => Party::Signal,
        }
    }
}

/// What all parts share: readiness, deadlines, the time of this round, the log.
pub struct Io {
    /// Readiness.
    pub poller: Poller,
    /// Deadlines.
    pub deadlines: Deadlines<Party>,
    /// The time of this round.
    pub now: Duration,
    /// Descriptors, by what they are for.
    pub budget: DescriptorBudget,
    /// Held unused, and let go of when the system has no descriptor left.
    pub spare: Option<OwnedFd>,
    /// Sizes, counts and times.
    pub limits: Limits,
}

impl Io {
    /// Begins a connection. Where the system has no descriptor left the spare one makes room, which
    /// is had back from clients between requests: guards against discovery, counter and servers
    /// that idle clients keep out of reach.
    pub fn connect(&mut self, to: &SocketAddr) -> rustix::io::Result<Stream> {
        match connect(to, self.limits.chunk_bytes) {
            Err(e) if is_fd_shortage(e) && self.spare.take().is_some() => {
                connect(to, self.limits.chunk_bytes)
            }
            opened => opened,
        }
    }
}
