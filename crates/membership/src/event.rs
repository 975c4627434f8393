//! Events that the caller passes to [`Swim`](crate::Swim), and actions that it returns.

use crate::record::{Metadata, Name, Record};
use crate::view::MemberState;
use crate::wire::Message;
use std::net::SocketAddr;

/// An input of [`Swim::handle`](crate::Swim::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// The time returned by [`Swim::next_timeout`](crate::Swim::next_timeout) has come. This is
    /// also the first event that a caller passes.
    Timeout,
    /// An authentic datagram was received.
    Received(Received),
    /// The metadata of this member changed to this value.
    MetadataChanged(Metadata),
    /// This member leaves the cluster for the rest of its generation.
    Leave,
}

/// An authentic, decoded datagram.
#[derive(Clone, Debug)]
pub struct Received {
    /// The address that the datagram was sent from.
    pub source: SocketAddr,
    /// The name of the sender.
    pub sender: Name,
    /// The sender's generation.
    pub generation: u64,
    /// The message that the datagram carries.
    pub message: Message,
    /// The records that were piggybacked on the message.
    pub updates: Vec<Record>,
}

/// What the caller has to do, or has to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Seal this body and send it as one datagram.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The encoded body.
        body: Vec<u8>,
    },
    /// The state of another member has changed.
    StateChanged {
        /// The name of the member.
        name: Name,
        /// The previous state.
        from: MemberState,
        /// The new state.
        to: MemberState,
    },
    /// Another running process uses this member's name. This member stays outside the cluster and
    /// keeps sending requests to join.
    NameConflict {
        /// The address of the other process.
        holder: SocketAddr,
    },
    /// This member has joined the cluster: another one sent it records or a request to join.
    Joined,
}
