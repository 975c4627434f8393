//! Bodies of datagrams: one message, and as many records piggybacked on it as fit.

use crate::guard::MAX_BODY_BYTES;
use crate::record::{Name, Record};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe of this sequence number.
    Ping(u32),
    /// The answer to the ping of this sequence number.
    Ack(u32),
    /// Requests that the receiver ping the target, and forward its ack under this sequence number.
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
    /// Requests to join; the sender's own record follows.
    Join,
    /// Carries records only.
    Gossip,
    /// Compares digests. If the receiver's digest differs, it sends its records of the names after
    /// this one.
    Sync {
        /// The sender's digest of all records.
        digest: u64,
        /// The name after which to continue; empty for the beginning.
        after: Name,
        /// Was this sent in answer to a sync? Then it is not answered with another one.
        is_reply: bool,
    },
    /// A page of records, the last of which has this name; empty if no pages follow.
    Page(Name),
    /// The receiver's name is in use by a running process at this address.
    NameConflict(SocketAddr),
}

/// A body under construction.
#[derive(Debug)]
pub struct Body(Vec<u8>);

impl Body {
    /// A body of this message, without records.
    pub fn new(message: &Message) -> Body {
        let mut buffer = [0; MAX_BODY_BYTES];
        let used = postcard::to_slice(message, &mut buffer).map_or(0, |bytes| bytes.len());
        Body(buffer[..used].to_vec())
    }

    /// Adds a record; false, and nothing added, if it does not fit.
    #[must_use]
    pub fn try_push(&mut self, record: &Record) -> bool {
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
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}

/// The contents of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedBody {
    /// The message.
    pub message: Message,
    /// The records that are piggybacked on it.
    pub records: Vec<Record>,
}

/// The contents of a body; none if any of its bytes is malformed.
#[must_use]
pub fn decode(body: &[u8]) -> Option<DecodedBody> {
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
    Some(DecodedBody { message, records })
}
