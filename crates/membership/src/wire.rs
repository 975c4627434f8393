//! Encoding of datagram bodies. A body holds one message, and as many piggybacked records as fit.

use crate::guard::MAX_BODY_BYTES;
use crate::record::{Name, Record};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A protocol message: a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe with this sequence number.
    Ping(u32),
    /// The answer to the ping with this sequence number.
    Ack(u32),
    /// Requests that the receiver ping the target and forward its ack.
    PingReq {
        /// The requester's sequence number, which the forwarded ack or the nack carries.
        sequence: u32,
        /// The member to ping.
        target: Name,
        /// The address of the target, for a receiver that knows no other address of it.
        address: SocketAddr,
    },
    /// The target of the ping-req with this sequence number has not answered yet.
    Nack(u32),
    /// A request to join. The first record of the body is that of the sender.
    Join,
    /// Carries only piggybacked records.
    Gossip,
    /// Compares the digests of all records. If the receiver's digest differs, it sends its records
    /// of the names that follow `after`.
    Sync {
        /// The sender's digest of all records.
        digest: u64,
        /// The last name that the sender has received; empty to begin with the first one.
        after: Name,
        /// Whether this message answers a sync, and so is not answered with another one.
        is_reply: bool,
    },
    /// A page of records. The name is that of its last record if the receiver has to request more
    /// pages, and empty otherwise.
    Page(Name),
    /// Another running process at this address uses the receiver's name.
    NameConflict(SocketAddr),
}

/// The encoded body of a datagram under construction.
#[derive(Debug)]
pub struct Body(Vec<u8>);

impl Body {
    /// Creates a body with this message and no records.
    pub fn new(message: &Message) -> Body {
        let mut buffer = [0; MAX_BODY_BYTES];
        let used = postcard::to_slice(message, &mut buffer).map_or(0, |bytes| bytes.len());
        Body(buffer[..used].to_vec())
    }

    /// Appends a record if it fits, and returns whether it did.
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

    /// Returns the encoded bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}

/// The decoded body of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedBody {
    /// The message that the body begins with.
    pub message: Message,
    /// The records that are piggybacked on the message.
    pub records: Vec<Record>,
}

/// Decodes a body; `None` if any part of it is malformed.
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
