//! Bodies of datagrams: one message, and records piggybacked on it as far as there is room.

use crate::guard::MAX_BODY_BYTES;
use crate::record::{Name, Record};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe of this sequence number.
    Ping(u32),
    /// The answer to the ping of this sequence number.
    Ack(u32),
    /// Asks the receiver to ping the target, and to pass its ack on under this sequence number.
    PingReq {
        /// The requester's sequence number.
        sequence: u32,
        /// The member to ping.
        target: Name,
        /// Where it listens, for a receiver that has no path of its own there.
        address: SocketAddr,
    },
    /// The target of the ping-req of this sequence number has not answered so far.
    Nack(u32),
    /// Asks to join; the sender's own record follows.
    Join,
    /// Nothing but records.
    Gossip,
    /// Compares digests. If the receiver's differs, it is to send its records of the names after
    /// this one.
    Sync {
        /// The sender's digest of all records.
        digest: u64,
        /// Where to go on; empty at the beginning.
        after: Name,
        /// Sent in answer to the receiver's own question: not to be asked back.
        is_reply: bool,
    },
    /// A page of records that ends at this name; empty: it is the last.
    Page(Name),
    /// The receiver's name is held by a process at this address that is taken to run.
    NameConflict(SocketAddr),
}

/// A body that is being built.
#[derive(Debug)]
pub struct Body(Vec<u8>);

impl Body {
    /// One with this message.
    pub fn new(message: &Message) -> Body {
        let mut buffer = [0; MAX_BODY_BYTES];
        let used = postcard::to_slice(message, &mut buffer).map_or(0, |bytes| bytes.len());
        Body(buffer[..used].to_vec())
    }

    /// Adds a record; false if there is no room for it.
    #[must_use]
    pub fn add(&mut self, record: &Record) -> bool {
        let mut buffer = [0; MAX_BODY_BYTES];
        let Ok(bytes) = postcard::to_slice(record, &mut buffer) else {
            return false;
        };
        let fits = self.0.len() + bytes.len() <= MAX_BODY_BYTES;
        if fits {
            self.0.extend_from_slice(bytes);
        }
        fits
    }

    /// The bytes of the body.
    pub fn bytes(self) -> Vec<u8> {
        self.0
    }
}

/// The message and the records of a body; none if it cannot be read to its end.
pub fn read(body: &[u8]) -> Option<(Message, Vec<Record>)> {
    let (message, mut rest) = postcard::take_from_bytes::<Message>(body).ok()?;
    let mut records = Vec::new();
    while !rest.is_empty() {
        let (record, more) = postcard::take_from_bytes::<Record>(rest).ok()?;
        if record.name.is_empty() {
            return None;
        }
        records.push(record);
        rest = more;
    }
    Some((message, records))
}
