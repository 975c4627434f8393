//! Bodies of datagrams: one message, and news behind it as far as there is room.

use crate::guard::MOST_BODY;
use crate::record::{Name, Record};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Do you answer?
    Ping(u32),
    /// Yes, to the ping of this number.
    Ack(u32),
    /// Ping this member for me, and pass its answer on under my number.
    Indirect {
        /// The asker's number.
        number: u32,
        /// Whom.
        name: Name,
        /// Where it listens, for one who has no path of its own there.
        address: SocketAddr,
    },
    /// I asked for you and have heard nothing so far.
    Nack(u32),
    /// I want to belong; the sender's own record follows.
    Join,
    /// Nothing but news.
    Gossip,
    /// All that I hold comes to this sum. If yours differs, tell what you hold of the names after this one.
    Sync {
        /// The sum over all records.
        sum: u64,
        /// Where to go on; empty at the beginning.
        after: Name,
        /// Asked in answer to the other's own question: not to be asked back.
        back: bool,
    },
    /// What I hold, up to the name where I have stopped; empty: that is all.
    Page(Name),
    /// Your name is held by a process at this address that is taken to run.
    Held(SocketAddr),
}

/// A body under the making.
#[derive(Debug)]
pub struct Body(Vec<u8>);

impl Body {
    /// One with this message.
    pub fn new(message: &Message) -> Body {
        let mut space = [0; MOST_BODY];
        let used = postcard::to_slice(message, &mut space).map_or(0, |b| b.len());
        Body(space[..used].to_vec())
    }

    /// Adds a record; false if there is no room for it.
    #[must_use]
    pub fn add(&mut self, record: &Record) -> bool {
        let mut space = [0; MOST_BODY];
        let Ok(bytes) = postcard::to_slice(record, &mut space) else { return false };
        let fits = self.0.len() + bytes.len() <= MOST_BODY;
        if fits {
            self.0.extend_from_slice(bytes);
        }
        fits
    }

    /// Its bytes.
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
