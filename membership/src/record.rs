//! What is told of a member, and which of two words on it is the newer.

use arrayvec::{ArrayString, ArrayVec};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::net::SocketAddr;

/// A member's name: the same after a restart, 1 to 16 bytes.
pub type Name = ArrayString<16>;

/// How far a member is with its own life, by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It does not serve yet.
    #[default]
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it has.
    Leaving,
}

/// Small facts that a member tells of itself; nobody else changes them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Facts {
    /// Its zone; empty for none.
    pub zone: ArrayString<12>,
    /// How far it is.
    pub stage: Stage,
    /// For parts that build on this one, in their own form.
    pub more: ArrayVec<u8, 16>,
}

/// What others hold of a member. The later one in this order wins among words on one life and round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// A probe by the member of this mark was not answered: it may be gone.
    Suspect(u32),
    /// Suspected for so long that it is taken as gone; alive again if it says so itself.
    Gone,
    /// It said that it leaves. Final for this life.
    Left,
}

impl Status {
    fn rank(self) -> u8 {
        match self {
            Status::Alive => 0,
            Status::Suspect(_) => 1,
            Status::Gone => 2,
            Status::Left => 3,
        }
    }
}

/// One word on a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Who it is.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// When this process of that name began, Unix time in milliseconds: a restart outlives its old news.
    pub life: u64,
    /// Counts the suspicions that it has refuted in this life.
    pub round: u32,
    /// What is held of it.
    pub status: Status,
    /// Counts the changes of its facts in this life.
    pub version: u32,
    /// Its facts.
    pub facts: Facts,
}

impl Record {
    /// Which word on one member is the newer, facts aside: a later life; within a life, that it left; then the
    /// later round; then the graver status. Guards against a member that left and comes back by old news.
    pub fn newer(&self, other: &Record) -> Ordering {
        let of = |r: &Record| (r.life, r.status == Status::Left, r.round, r.status.rank());
        of(self).cmp(&of(other))
    }

    /// Which word tells the later facts.
    pub fn facts_newer(&self, other: &Record) -> Ordering {
        (self.life, self.version).cmp(&(other.life, other.version))
    }

    /// Takes in another word on the same member. Each part goes by its own order, so that words may come in any
    /// order and any number of times. True if anything is new.
    pub fn merge(&mut self, word: &Record) -> bool {
        let facts = word.facts_newer(self) == Ordering::Greater;
        if facts {
            (self.version, self.facts) = (word.version, word.facts.clone());
        }
        let newer = word.newer(self) == Ordering::Greater;
        if newer {
            (self.address, self.life) = (word.address, word.life);
            (self.round, self.status) = (word.round, word.status);
        }
        facts || newer
    }

    /// Is it taken to run?
    pub fn runs(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect(_))
    }
}
