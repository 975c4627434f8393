//! Records of members, and which of two records of a member is the newer one.

use arrayvec::{ArrayString, ArrayVec};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::net::SocketAddr;

/// A member's name: the same after a restart, 1 to 16 bytes.
pub type Name = ArrayString<16>;

/// The stage of a member's lifecycle, set by the member itself.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Stage {
    /// It does not serve yet.
    #[default]
    Starting,
    /// It serves.
    Serving,
    /// It finishes its open requests.
    Leaving,
}

/// What a member publishes of itself; only it changes its metadata.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Metadata {
    /// Its zone; empty for none.
    pub zone: ArrayString<12>,
    /// The stage of its lifecycle.
    pub stage: Stage,
    /// Bytes of other components, in their own format.
    pub extension: ArrayVec<u8, 16>,
}

/// The status of a member. The later one in this order wins within one generation and incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// A probe by the member of this name hash was not answered: it may be dead.
    Suspect(u32),
    /// Its suspicion timed out; it becomes alive again only by its own refutation.
    Dead,
    /// It announced that it leaves. Final for this generation.
    Left,
}

impl Status {
    fn rank(self) -> u8 {
        match self {
            Status::Alive => 0,
            Status::Suspect(_) => 1,
            Status::Dead => 2,
            Status::Left => 3,
        }
    }
}

/// What a suspicion belongs to: one incarnation of one generation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IncarnationId {
    generation: u64,
    incarnation: u32,
}

/// A record of a member, as members exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// When this process of that name began, Unix time in milliseconds: a restart overrides its old
    /// records.
    pub generation: u64,
    /// Counts the suspicions that it has refuted in this generation.
    pub incarnation: u32,
    /// Its status.
    pub status: Status,
    /// Counts the changes of its metadata in this generation.
    pub metadata_version: u32,
    /// Its metadata.
    pub metadata: Metadata,
}

impl Record {
    /// Which record of one member has the newer status: a later generation; within a generation,
    /// that it left; then the later incarnation; then the graver status. Prevents old updates from
    /// bringing back a member that left.
    pub fn cmp_status(&self, other: &Record) -> Ordering {
        let key = |r: &Record| {
            (
                r.generation,
                r.status == Status::Left,
                r.incarnation,
                r.status.rank(),
            )
        };
        key(self).cmp(&key(other))
    }

    /// Which record has the newer metadata.
    pub fn cmp_metadata(&self, other: &Record) -> Ordering {
        (self.generation, self.metadata_version).cmp(&(other.generation, other.metadata_version))
    }

    /// Merges another record of the same member. Status and metadata go by their own order, so that
    /// records may come in any order and any number of times. True if anything is new.
    pub fn merge(&mut self, update: &Record) -> bool {
        let newer_metadata = update.cmp_metadata(self) == Ordering::Greater;
        if newer_metadata {
            self.metadata_version = update.metadata_version;
            self.metadata = update.metadata.clone();
        }
        let newer_status = update.cmp_status(self) == Ordering::Greater;
        if newer_status {
            self.address = update.address;
            self.generation = update.generation;
            self.incarnation = update.incarnation;
            self.status = update.status;
        }
        newer_metadata || newer_status
    }

    /// Does the member run, as far as is known?
    pub fn is_running(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect(_))
    }

    /// The incarnation that the record is of.
    pub(crate) fn incarnation_id(&self) -> IncarnationId {
        IncarnationId {
            generation: self.generation,
            incarnation: self.incarnation,
        }
    }
}
