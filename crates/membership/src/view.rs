//! What a caller sees: states of members, the quorum and counters.

use crate::record::{Record, Status};
use std::time::Duration;

/// The state of a member as seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// No record of it was ever received: nothing is known of it, not even that it is dead.
    NeverSeen,
    /// It answers, by the latest record.
    Alive,
    /// It did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// Its suspicion timed out. It may still run, behind a network partition.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl From<Status> for MemberState {
    fn from(status: Status) -> MemberState {
        match status {
            Status::Alive => MemberState::Alive,
            Status::Suspect(_) => MemberState::Suspect,
            Status::Dead => MemberState::Dead,
            Status::Left => MemberState::Left,
        }
    }
}

impl MemberState {
    /// The text for log lines and status output.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::NeverSeen => "never seen",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspected",
            MemberState::Dead => "gone",
            MemberState::Left => "left",
        }
    }
}

/// A member as seen from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its state.
    pub state: MemberState,
    /// The latest record of it, if there is one.
    pub record: Option<Record>,
    /// Time since its own latest datagram, or since the first record of it if it sent none.
    pub age: Option<Duration>,
}

/// How many of the expected members this ingress sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Members that are alive, this one included; suspects do not count.
    pub seen: usize,
    /// Members that there should be, this one included.
    pub expected: usize,
}

impl Quorum {
    /// Does this ingress see more than half of them? No two sides of a partition do at once.
    pub fn has_majority(&self) -> bool {
        2 * self.seen > self.expected
    }
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Probes started.
    pub probes: u64,
    /// Probes that nobody answered.
    pub failed_probes: u64,
    /// Suspicions of this ingress that it has refuted.
    pub refutations: u64,
    /// Stalls of this process that were detected.
    pub stalls: u64,
    /// Records that were dropped at the maximum of members.
    pub rejected_records: u64,
}
