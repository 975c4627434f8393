//! Input and output of the state machine.

use crate::record::{Metadata, Name, Record};
use crate::view::MemberState;
use crate::wire::Message;
use std::net::SocketAddr;

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The deadline of [`Swim::next_timeout`](crate::Swim::next_timeout) is over; also the first event of all.
    Timeout,
    /// An authentic datagram was received.
    Received(Received),
    /// This ingress's own metadata changed to this.
    MetadataChanged(Metadata),
    /// This ingress leaves for good.
    Leave,
}

/// An authentic datagram.
#[derive(Clone, Debug)]
pub struct Received {
    /// The address that it came from.
    pub source: SocketAddr,
    /// The member that sent it.
    pub sender: Name,
    /// The sender's generation.
    pub generation: u64,
    /// The message.
    pub message: Message,
    /// The records that were piggybacked on it.
    pub updates: Vec<Record>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Seal this body and send it.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The body.
        body: Vec<u8>,
    },
    /// The state of a member has changed.
    StateChanged {
        /// The member.
        name: Name,
        /// Its state before.
        from: MemberState,
        /// Its state from now on.
        to: MemberState,
    },
    /// This process's name is in use by another one that runs; this one stays outside and keeps
    /// requesting to join.
    NameConflict {
        /// Where the other listens.
        holder: SocketAddr,
    },
    /// This member has joined: another one answered.
    Joined,
}
