//! Records of members, and the order that decides which of two records is newer.

use arrayvec::{ArrayString, ArrayVec};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::net::SocketAddr;

/// A member's name: 1 to 16 bytes, which stay the same over restarts.
pub type Name = ArrayString<16>;

/// The stage of a member's lifecycle, which the member publishes itself.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Stage {
    /// The member does not serve requests yet.
    #[default]
    Starting,
    /// The member serves requests.
    Serving,
    /// The member finishes its open requests.
    Leaving,
}

/// Data that a member publishes about itself, and that no other member changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Metadata {
    /// The member's zone; empty if it has none.
    pub zone: ArrayString<12>,
    /// The stage of the member's lifecycle.
    pub stage: Stage,
    /// Opaque bytes for other components, which define the format.
    pub extension: ArrayVec<u8, 16>,
}

/// The status of a member. Within one generation and incarnation, a later variant overrides an
/// earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and may be dead. The value is the name hash of the member
    /// that probed it.
    Suspect(u32),
    /// The suspicion timed out. Only a refutation by the member itself makes it alive again.
    Dead,
    /// The member announced that it leaves. This status is final for its generation.
    Left,
}

impl Status {
    fn severity(self) -> u8 {
        match self {
            Status::Alive => 0,
            Status::Suspect(_) => 1,
            Status::Dead => 2,
            Status::Left => 3,
        }
    }
}

/// An incarnation of a member within a generation. Each suspicion refers to one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IncarnationId {
    generation: u64,
    incarnation: u32,
}

/// The state of a member as the members exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The name of the member.
    pub name: Name,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// The start time of the member's process, Unix time in milliseconds. After a restart, the new
    /// records override those of the previous process.
    pub generation: u64,
    /// Incremented by the member with each suspicion that it refutes in this generation.
    pub incarnation: u32,
    /// The status of the member.
    pub status: Status,
    /// Incremented by the member with each change of its metadata in this generation.
    pub metadata_version: u32,
    /// The metadata that the member published.
    pub metadata: Metadata,
}

impl Record {
    /// Compares the age of the statuses of two records of one member. The later generation is
    /// newer; within a generation, the status `Left` is newer than any other; then the later
    /// incarnation, then the more severe status. `Left` comes before the incarnation so that old
    /// updates do not bring back a member that left.
    pub fn cmp_status(&self, other: &Record) -> Ordering {
        let key = |r: &Record| {
            (
                r.generation,
                r.status == Status::Left,
                r.incarnation,
                r.status.severity(),
            )
        };
        key(self).cmp(&key(other))
    }

    /// Compares the age of the metadata of two records of one member.
    pub fn cmp_metadata(&self, other: &Record) -> Ordering {
        (self.generation, self.metadata_version).cmp(&(other.generation, other.metadata_version))
    }

    /// Merges another record of the same member, and returns whether it held anything new. Status
    /// and metadata are ordered independently, so that records can be merged in any order and any
    /// number of times.
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

    /// Whether the member runs as far as is known; suspects are included.
    pub fn is_running(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect(_))
    }

    /// Returns the generation and incarnation of the record.
    pub(crate) fn incarnation_id(&self) -> IncarnationId {
        IncarnationId {
            generation: self.generation,
            incarnation: self.incarnation,
        }
    }
}
