//! Authentication of datagrams. Each datagram carries a keyed MAC, an identifier of its cluster and
//! a sequence number. A receiver accepts each sequence number of a sender once.

use crate::record::Name;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

const PROTOCOL_VERSION: u8 = 1;
/// Length of the protocol version, the fingerprint of the key and that of the cluster.
const PREFIX_BYTES: usize = 1 + 2 + 4;
const MAC_TAG_BYTES: usize = 16;
pub(crate) const MAX_DATAGRAM_BYTES: usize = 256;
/// A name takes up to 17 bytes, and each of the two numbers up to 10 bytes.
const MAX_HEADER_BYTES: usize = 17 + 2 * 10;
pub(crate) const MAX_BODY_BYTES: usize =
    MAX_DATAGRAM_BYTES - PREFIX_BYTES - MAC_TAG_BYTES - MAX_HEADER_BYTES;
/// Number of sequence numbers, counted down from the highest accepted one, for which a replay
/// window records whether they were accepted.
const REPLAY_WINDOW_BITS: u64 = u64::BITS as u64;

/// A 32-byte MAC key that all members of a cluster share.
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
    /// Creates the key from its 32 bytes.
    pub fn new(bytes: &[u8; 32]) -> Key {
        let digest = Sha256::digest(bytes);
        let mac = Hmac::new_from_slice(bytes).expect("HMAC accepts keys of any length");
        Key {
            mac,
            fingerprint: [digest[0], digest[1]],
        }
    }

    /// Returns four hexadecimal digits of the key's hash, which identify the key without disclosing
    /// it.
    pub fn fingerprint(&self) -> String {
        format!("{:02x}{:02x}", self.fingerprint[0], self.fingerprint[1])
    }
}

/// The reason why a datagram was dropped. The sender gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DropReason {
    /// The datagram is too short or too long, or cannot be decoded.
    #[error("malformed")]
    Malformed,
    /// The datagram has another protocol version.
    #[error("another version")]
    VersionMismatch,
    /// The datagram belongs to another cluster.
    #[error("another cluster")]
    ClusterMismatch,
    /// The datagram was sealed with an unknown key, or altered in transit.
    #[error("not authentic")]
    NotAuthentic,
    /// The sequence number was accepted before, or is older than the replay window.
    #[error("replayed")]
    Replayed,
    /// The sender is new, and the maximum number of senders is reached.
    #[error("too many names")]
    TooManySenders,
}

#[derive(Serialize, Deserialize)]
struct Header {
    sender: Name,
    generation: u64,
    sequence: u64,
}

/// The replay window of a sender: the highest sequence number that was accepted, and a bitmap of
/// the [`REPLAY_WINDOW_BITS`] numbers up to it.
#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    generation: u64,
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` was accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// Creates a window in which only this sequence number was accepted.
    fn new(generation: u64, sequence: u64) -> ReplayWindow {
        ReplayWindow {
            generation,
            highest: sequence,
            accepted: 1,
        }
    }

    /// Returns whether the sequence number is accepted: false if it was accepted before, is older
    /// than the window, or belongs to an earlier generation.
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
            self.accepted = if shift < REPLAY_WINDOW_BITS {
                self.accepted << shift | 1
            } else {
                1
            };
            self.highest = sequence;
            return true;
        }
        let below_highest = self.highest - sequence;
        if below_highest >= REPLAY_WINDOW_BITS || self.accepted >> below_highest & 1 == 1 {
            return false;
        }
        self.accepted |= 1 << below_highest;
        true
    }
}

/// The contents of an authentic datagram that was not received before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The name of the sender.
    pub sender: Name,
    /// The sender's generation.
    pub generation: u64,
    /// The encoded body, for [`wire::decode`](crate::wire::decode).
    pub body: &'a [u8],
}

/// Seals the datagrams that a member sends, and opens those that it receives.
#[derive(Debug)]
pub struct Authenticator {
    cluster: [u8; 4],
    /// Datagrams are sealed with the first key, and opened with any of the keys.
    keys: Vec<Key>,
    local: Name,
    sequence: u64,
    windows: BTreeMap<Name, ReplayWindow>,
    /// The maximum number of senders whose replay windows are kept.
    max_senders: usize,
}

impl Authenticator {
    /// Creates the authenticator of the member `local`. Datagrams are sealed with the first key,
    /// and opened with any of the keys, so that keys can be rotated. Once `max_senders` senders are
    /// known, datagrams of further senders are dropped.
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

    /// Replaces all keys; the replay windows are kept.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// Returns the datagram with this body, sent by this generation of the local member; empty if
    /// there is no key.
    pub fn seal(&mut self, generation: u64, body: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let mut datagram = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let Some(key) = self.keys.first() else {
            return datagram;
        };
        datagram.push(PROTOCOL_VERSION);
        datagram.extend_from_slice(&key.fingerprint);
        datagram.extend_from_slice(&self.cluster);
        let header = Header {
            sender: self.local,
            generation,
            sequence: self.sequence,
        };
        let mut buffer = [0; MAX_HEADER_BYTES];
        let header = postcard::to_slice(&header, &mut buffer)
            .expect("a header takes at most MAX_HEADER_BYTES");
        datagram.extend_from_slice(header);
        datagram.extend_from_slice(body);
        let tag = key
            .mac
            .clone()
            .chain_update(&datagram)
            .finalize()
            .into_bytes();
        datagram.extend_from_slice(&tag[..MAC_TAG_BYTES]);
        datagram
    }

    /// Verifies a datagram and returns its sender and body.
    ///
    /// # Errors
    ///
    /// Returns the reason why the datagram has to be dropped.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<OpenedDatagram<'a>, DropReason> {
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < PREFIX_BYTES + MAC_TAG_BYTES {
            return Err(DropReason::Malformed);
        }
        if bytes[0] != PROTOCOL_VERSION {
            return Err(DropReason::VersionMismatch);
        }
        if bytes[3..PREFIX_BYTES] != self.cluster {
            return Err(DropReason::ClusterMismatch);
        }
        let (authenticated_bytes, tag) = bytes.split_at(bytes.len() - MAC_TAG_BYTES);
        if !self.is_authentic(authenticated_bytes, tag) {
            return Err(DropReason::NotAuthentic);
        }
        let (header, body) =
            postcard::take_from_bytes::<Header>(&authenticated_bytes[PREFIX_BYTES..])
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

    /// Whether the tag is the MAC of these bytes under one of the keys.
    fn is_authentic(&self, authenticated_bytes: &[u8], tag: &[u8]) -> bool {
        let mut candidates = self
            .keys
            .iter()
            .filter(|key| key.fingerprint == authenticated_bytes[1..3]);
        candidates.any(|key| {
            key.mac
                .clone()
                .chain_update(authenticated_bytes)
                .verify_truncated_left(tag)
                .is_ok()
        })
    }

    /// Accepts the sequence number of a datagram unless it was accepted before.
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
