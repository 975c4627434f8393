//! Keeps strangers out: each datagram carries a keyed MAC, its cluster and a number that is taken once.

use crate::record::Name;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

const VERSION: u8 = 1;
/// Version, the key's mark, and the cluster's mark.
const HEAD: usize = 1 + 2 + 4;
const TAG: usize = 16;
/// Longest datagram, in bytes.
pub const MOST_BYTES: usize = 256;
/// What a body may hold at most: a header takes up to 17 bytes for a name and 10 each for two numbers.
pub const MOST_BODY: usize = MOST_BYTES - HEAD - TAG - 37;

/// A key that all members share: 32 bytes.
#[derive(Clone)]
pub struct Key {
    mac: Hmac<Sha256>,
    mark: [u8; 2],
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Key({:02x}{:02x})", self.mark[0], self.mark[1])
    }
}

impl Key {
    /// The key of these bytes.
    pub fn new(bytes: &[u8; 32]) -> Key {
        let digest = Sha256::digest(bytes);
        let mac = Hmac::new_from_slice(bytes).expect("a MAC takes a key of any length");
        Key { mac, mark: [digest[0], digest[1]] }
    }

    /// Tells keys apart without telling the key.
    pub fn mark(&self) -> String {
        format!("{:02x}{:02x}", self.mark[0], self.mark[1])
    }
}

/// Why a datagram was dropped, without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Dropped {
    /// Too short, too long, or its parts cannot be read.
    #[error("malformed")]
    Malformed,
    /// Of another version of the protocol.
    #[error("another version")]
    Version,
    /// Of another cluster.
    #[error("another cluster")]
    Cluster,
    /// By a key that is not held, or altered on the way.
    #[error("not authentic")]
    Forged,
    /// Taken before, or too old to tell.
    #[error("replayed")]
    Replayed,
    /// More names than this ingress remembers.
    #[error("too many names")]
    Crowded,
}

#[derive(Serialize, Deserialize)]
struct Header {
    from: Name,
    life: u64,
    number: u64,
}

/// Which numbers of a sender were taken: the highest, and which of the 64 before it.
#[derive(Clone, Copy, Debug)]
struct Window {
    life: u64,
    top: u64,
    taken: u64,
}

impl Window {
    /// Takes a number; false if it was taken before or is too old to tell.
    fn take(&mut self, life: u64, number: u64) -> bool {
        if life > self.life {
            *self = Window { life, top: number, taken: 1 };
            return true;
        }
        if life < self.life {
            return false;
        }
        if number > self.top {
            let by = number - self.top;
            self.taken = if by < 64 { self.taken << by | 1 } else { 1 };
            self.top = number;
            return true;
        }
        let back = self.top - number;
        if back >= 64 || self.taken >> back & 1 == 1 {
            return false;
        }
        self.taken |= 1 << back;
        true
    }
}

/// A datagram that may be believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// Who sent it.
    pub from: Name,
    /// The sender's life.
    pub life: u64,
    /// What it says.
    pub body: &'a [u8],
}

/// Seals what is sent and opens what comes.
#[derive(Debug)]
pub struct Guard {
    cluster: [u8; 4],
    /// The first seals; each opens.
    keys: Vec<Key>,
    me: Name,
    number: u64,
    windows: BTreeMap<Name, Window>,
    /// Names remembered at most.
    most: usize,
}

impl Guard {
    /// A guard of this member in a cluster of that name. The first key seals, each opens.
    pub fn new(cluster: &str, keys: Vec<Key>, me: Name, most: usize) -> Guard {
        let digest = Sha256::digest(cluster.as_bytes());
        let cluster = [digest[0], digest[1], digest[2], digest[3]];
        Guard { cluster, keys, me, number: 0, windows: BTreeMap::new(), most }
    }

    /// Other keys hold from now on.
    pub fn set_keys(&mut self, keys: Vec<Key>) {
        self.keys = keys;
    }

    /// The datagram of a body, for this life of the sender.
    pub fn seal(&mut self, life: u64, body: &[u8]) -> Vec<u8> {
        self.number += 1;
        let mut out = Vec::with_capacity(MOST_BYTES);
        let Some(key) = self.keys.first() else { return out };
        out.push(VERSION);
        out.extend_from_slice(&key.mark);
        out.extend_from_slice(&self.cluster);
        let header = Header { from: self.me, life, number: self.number };
        let mut space = [0; 40];
        let header = postcard::to_slice(&header, &mut space).expect("a header of at most 37 bytes");
        out.extend_from_slice(header);
        out.extend_from_slice(body);
        let tag = key.mac.clone().chain_update(&out).finalize().into_bytes();
        out.extend_from_slice(&tag[..TAG]);
        out
    }

    /// What a datagram says, if it may be believed.
    pub fn open<'a>(&mut self, bytes: &'a [u8]) -> Result<Opened<'a>, Dropped> {
        if bytes.len() > MOST_BYTES || bytes.len() < HEAD + TAG {
            return Err(Dropped::Malformed);
        }
        if bytes[0] != VERSION {
            return Err(Dropped::Version);
        }
        if bytes[3..HEAD] != self.cluster {
            return Err(Dropped::Cluster);
        }
        let (said, tag) = bytes.split_at(bytes.len() - TAG);
        let keys = self.keys.iter().filter(|k| k.mark == bytes[1..3]);
        let good = |key: &Key| key.mac.clone().chain_update(said).verify_truncated_left(tag).is_ok();
        if !keys.into_iter().any(good) {
            return Err(Dropped::Forged);
        }
        let (header, body) =
            postcard::take_from_bytes::<Header>(&said[HEAD..]).map_err(|_| Dropped::Malformed)?;
        if header.from.is_empty() {
            return Err(Dropped::Malformed);
        }
        if let Some(window) = self.windows.get_mut(&header.from) {
            if !window.take(header.life, header.number) {
                return Err(Dropped::Replayed);
            }
        } else if self.windows.len() >= self.most {
            return Err(Dropped::Crowded);
        } else {
            let first = Window { life: header.life, top: header.number, taken: 1 };
            self.windows.insert(header.from, first);
        }
        Ok(Opened { from: header.from, life: header.life, body })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn name(of: &str) -> Name {
        Name::from(of).unwrap()
    }

    fn guard(me: &str, keys: &[u8]) -> Guard {
        let keys = keys.iter().map(|k| Key::new(&[*k; 32])).collect();
        Guard::new("east", keys, name(me), 3)
    }

    #[test]
    fn what_was_sealed_opens_once() {
        let (mut a, mut b) = (guard("a", &[1]), guard("b", &[1]));
        let sealed = a.seal(7, b"word");
        assert_eq!(b.open(&sealed).unwrap(), Opened { from: name("a"), life: 7, body: b"word" });
        assert_eq!(b.open(&sealed), Err(Dropped::Replayed));
    }

    #[test]
    fn any_changed_byte_is_dropped() {
        let sealed = guard("a", &[1]).seal(7, b"word");
        for at in 0..sealed.len() {
            let mut bytes = sealed.clone();
            bytes[at] ^= 0x10;
            assert!(guard("b", &[1]).open(&bytes).is_err(), "byte {at}");
        }
        for end in 0..sealed.len() {
            assert!(guard("b", &[1]).open(&sealed[..end]).is_err(), "cut at {end}");
        }
        assert_eq!(guard("b", &[1]).open(&[1; 257]), Err(Dropped::Malformed));
    }

    #[test]
    fn strangers_are_told_apart() {
        let sealed = guard("a", &[1]).seal(7, b"word");
        assert_eq!(guard("b", &[2]).open(&sealed), Err(Dropped::Forged));
        let mut other = Guard::new("west", vec![Key::new(&[1; 32])], name("b"), 3);
        assert_eq!(other.open(&sealed), Err(Dropped::Cluster));
        let mut old = sealed;
        old[0] = 9;
        assert_eq!(guard("b", &[1]).open(&old), Err(Dropped::Version));
    }

    #[test]
    fn two_keys_open_during_a_rotation_and_the_first_seals() {
        let (mut old, mut both, mut new) = (guard("a", &[1]), guard("b", &[2, 1]), guard("c", &[2]));
        assert!(both.open(&old.seal(1, b"")).is_ok());
        assert!(both.open(&new.seal(1, b"")).is_ok());
        assert!(new.open(&both.seal(1, b"")).is_ok());
        assert_eq!(old.open(&both.seal(1, b"")), Err(Dropped::Forged));
    }

    #[test]
    fn numbers_may_come_in_any_order_within_64_and_old_lives_are_over() {
        let (mut a, mut b) = (guard("a", &[1]), guard("b", &[1]));
        let sent: Vec<_> = (0..80).map(|_| a.seal(5, b"")).collect();
        assert!(b.open(&sent[79]).is_ok());
        assert!(b.open(&sent[20]).is_ok(), "59 before the highest");
        assert_eq!(b.open(&sent[20]), Err(Dropped::Replayed));
        assert_eq!(b.open(&sent[3]), Err(Dropped::Replayed), "too old to tell");
        assert!(b.open(&a.seal(6, b"")).is_ok());
        assert_eq!(b.open(&sent[40]), Err(Dropped::Replayed), "of the life before");
    }

    #[test]
    fn names_are_bounded() {
        let mut b = guard("b", &[1]);
        for n in 0..3 {
            assert!(b.open(&guard(&format!("n{n}"), &[1]).seal(1, b"")).is_ok());
        }
        assert_eq!(b.open(&guard("n9", &[1]).seal(1, b"")), Err(Dropped::Crowded));
    }
}
