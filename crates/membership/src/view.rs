//! The caller's view of the cluster: states of members, the quorum, and counters.

use crate::record::{Record, Status};
use std::time::Duration;

/// The state of a member as seen by this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// No record of the member was received, so that it is not known whether it runs.
    NeverSeen,
    /// The member answers probes according to its latest record.
    Alive,
    /// The member did not answer a probe, and has not refuted the suspicion yet.
    Suspect,
    /// The suspicion timed out. The member may still run on the other side of a network partition.
    Dead,
    /// The member announced that it leaves.
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
    /// Returns the text for log lines and status output.
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

/// A member as seen by this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The state of the member.
    pub state: MemberState,
    /// The latest record of the member; `None` if it was never seen.
    pub record: Option<Record>,
    /// The time since the member's latest datagram, or since the first record of it was received if
    /// it sent none; `None` if it was never seen.
    pub age: Option<Duration>,
}

/// How many of the expected members this ingress sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Number of members that are alive, including this one but not suspects.
    pub seen: usize,
    /// Number of members that the cluster should have, including this one.
    pub expected: usize,
}

impl Quorum {
    /// Whether this ingress sees more than half of the expected members. Once failures are
    /// detected, this holds on at most one side of a partition.
    pub fn has_majority(&self) -> bool {
        2 * self.seen > self.expected
    }
}

/// Counters of protocol events since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of probes that were started.
    pub probes: u64,
    /// Number of probes that ended without an ack, direct or relayed.
    pub failed_probes: u64,
    /// Number of suspicions and death reports about this member that it refuted.
    pub refutations: u64,
    /// Number of detected stalls of this process, in which a deadline was missed by at least the
    /// probe timeout.
    pub stalls: u64,
    /// Number of records that were dropped because `max_members` was reached.
    pub rejected_records: u64,
}
