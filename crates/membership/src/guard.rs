//! Authenticates datagrams: each carries a keyed MAC, its cluster and a sequence number that is
//! accepted once.

use crate::record::Name;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

const VERSION: u8 = 1;
/// Version, the key's fingerprint, and the cluster's.
const PREFIX_BYTES: usize = 1 + 2 + 4;
const TAG_BYTES: usize = 16;
/// Longest datagram, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 256;
/// Longest header: up to 17 bytes for a name, and 10 for each of two numbers.
const MAX_HEADER_BYTES: usize = 17 + 2 * 10;
/// Longest body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize =
    MAX_DATAGRAM_BYTES - PREFIX_BYTES - TAG_BYTES - MAX_HEADER_BYTES;
/// Sequence numbers, up to the highest one, of which a replay window knows whether they were
/// accepted.
const REPLAY_WINDOW: u64 = u64::BITS as u64;

/// A key that all members share: 32 bytes.
#[derive(Clone)]
pub struct Key {
    mac: Hmac<Sha256>,
    fingerprint: [u8; 2],
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "Key({:02x}{:02x})",
            self.fingerprint[0], self.fingerprint[1]
        )
    }
}

impl Key {
    /// The key of these bytes.
    pub fn new(bytes: &[u8; 32]) -> Key {
        let digest = Sha256::digest(bytes);
        let mac = Hmac::new_from_slice(bytes).expect("a MAC takes a key of any length");
        Key {
            mac,
            fingerprint: [digest[0], digest[1]],
        }
    }

    /// Four hexadecimal digits that identify the key without disclosing it.
    pub fn fingerprint(&self) -> String {
        format!("{:02x}{:02x}", self.fingerprint[0], self.fingerprint[1])
    }
}

/// Why a datagram was dropped, without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DropReason {
    /// Too short, too long, or not of the form of a datagram.
    #[error("malformed")]
    Malformed,
    /// Of another version of the protocol.
    #[error("another version")]
    VersionMismatch,
    /// Of another cluster.
    #[error("another cluster")]
    ClusterMismatch,
    /// Sealed with an unknown key, or altered on the way.
    #[error("not authentic")]
    NotAuthentic,
    /// Its sequence number was accepted before, or is too old to know.
    #[error("replayed")]
    Replayed,
    /// Its sender is new, and the maximum of senders is reached.
    #[error("too many names")]
    TooManySenders,
}

#[derive(Serialize, Deserialize)]
struct Header {
    sender: Name,
    generation: u64,
    sequence: u64,
}

/// Which sequence numbers of a sender were accepted: the highest one, and which of those before it
/// within [`REPLAY_WINDOW`].
#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    generation: u64,
    highest: u64,
    /// Bit `n` is set if the number `n` below the highest one was accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// A window in which only this sequence number was accepted.
    fn new(generation: u64, sequence: u64) -> ReplayWindow {
        ReplayWindow {
            generation,
            highest: sequence,
            accepted: 1,
        }
    }

    /// Accepts a sequence number once; false if it was accepted before or is too old to know.
    fn accept(&mut self, generation: u64, sequence: u64) -> bool {
        if generation > self.generation {
            *self = ReplayWindow::new(generation, sequence);
            return true;
        }
        if generation < self.generation {
            return false;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.accepted = if shift < REPLAY_WINDOW {
                self.accepted << shift | 1
            } else {
                1
            };
            self.highest = sequence;
            return true;
        }
        let below_highest = self.highest - sequence;
        if below_highest >= REPLAY_WINDOW || self.accepted >> below_highest & 1 == 1 {
            return false;
        }
        self.accepted |= 1 << below_highest;
        true
    }
}

/// An authentic datagram that was not received before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The member that sent it.
    pub sender: Name,
    /// The sender's generation.
    pub generation: u64,
    /// Its body.
    pub body: &'a [u8],
}

/// Seals the datagrams that are sent, and opens those that are received.
#[derive(Debug)]
pub struct Authenticator {
    cluster: [u8; 4],
    /// The first one seals, each of them opens.
    keys: Vec<Key>,
    local: Name,
    sequence: u64,
    windows: BTreeMap<Name, ReplayWindow>,
    /// Senders whose replay windows are kept at most.
    max_senders: usize,
}

impl Authenticator {
    /// The guard of the member `local` in a cluster. The first key seals, each of them opens. At
    /// `max_senders`, datagrams of further senders are dropped.
    pub fn new(cluster: &str, keys: Vec<Key>, local: Name, max_senders: usize) -> Authenticator {
        let digest = Sha256::digest(cluster.as_bytes());
        let cluster = [digest[0], digest[1], digest[2], digest[3]];
        Authenticator {
            cluster,
            keys,
            local,
            sequence: 0,
            windows: BTreeMap::new(),
            max_senders,
        }
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// The datagram of a body, for this generation of the sender; empty if there is no key.
    pub fn seal(&mut self, generation: u64, body: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let Some(key) = self.keys.first() else {
            return out;
        };
        out.push(VERSION);
        out.extend_from_slice(&key.fingerprint);
        out.extend_from_slice(&self.cluster);
        let header = Header {
            sender: self.local,
            generation,
            sequence: self.sequence,
        };
        let mut buffer = [0; MAX_HEADER_BYTES];
        let header =
            postcard::to_slice(&header, &mut buffer).expect("a header of at most MAX_HEADER_BYTES");
        out.extend_from_slice(header);
        out.extend_from_slice(body);
        let tag = key.mac.clone().chain_update(&out).finalize().into_bytes();
        out.extend_from_slice(&tag[..TAG_BYTES]);
        out
    }

    /// The body of a datagram and its sender.
    ///
    /// # Errors
    ///
    /// The reason for which the datagram is dropped.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<OpenedDatagram<'a>, DropReason> {
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < PREFIX_BYTES + TAG_BYTES {
            return Err(DropReason::Malformed);
        }
        if bytes[0] != VERSION {
            return Err(DropReason::VersionMismatch);
        }
        if bytes[3..PREFIX_BYTES] != self.cluster {
            return Err(DropReason::ClusterMismatch);
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        if !self.is_authentic(signed, tag) {
            return Err(DropReason::NotAuthentic);
        }
        let (header, body) = postcard::take_from_bytes::<Header>(&signed[PREFIX_BYTES..])
            .map_err(|_| DropReason::Malformed)?;
        if header.sender.is_empty() {
            return Err(DropReason::Malformed);
        }
        self.accept_sequence(&header)?;
        Ok(OpenedDatagram {
            sender: header.sender,
            generation: header.generation,
            body,
        })
    }

    /// Is the tag that of these bytes, by one of the keys?
    fn is_authentic(&self, signed: &[u8], tag: &[u8]) -> bool {
        let mut candidates = self
            .keys
            .iter()
            .filter(|key| key.fingerprint == signed[1..3]);
        candidates.any(|key| {
            key.mac
                .clone()
                .chain_update(signed)
                .verify_truncated_left(tag)
                .is_ok()
        })
    }

    /// Accepts a sequence number of a sender once.
    fn accept_sequence(&mut self, header: &Header) -> Result<(), DropReason> {
        if let Some(window) = self.windows.get_mut(&header.sender) {
            return if window.accept(header.generation, header.sequence) {
                Ok(())
            } else {
                Err(DropReason::Replayed)
            };
        }
        if self.windows.len() >= self.max_senders {
            return Err(DropReason::TooManySenders);
        }
        let window = ReplayWindow::new(header.generation, header.sequence);
        self.windows.insert(header.sender, window);
        Ok(())
    }
}
