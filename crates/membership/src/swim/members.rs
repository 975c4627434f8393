//! The table of the other members.

use crate::record::{Name, Record, Status};
use crate::view::MemberState;
use arrayvec::ArrayVec;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of suspecters that are counted for a member. With this many, the suspicion
/// has its shortest timeout.
pub(super) const MAX_SUSPECTERS: usize = 3;

/// The state of another member.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub record: Record,
    /// When the member's latest datagram was received, or the first record of it if it sent none.
    pub last_received_at: Duration,
    /// When the member entered its current state or incarnation.
    pub state_since: Duration,
    /// Name hashes of the members that suspect this one in its current incarnation.
    suspecters: ArrayVec<u32, MAX_SUSPECTERS>,
}

impl Member {
    /// Creates a member from the first record of it.
    pub(super) fn new(record: Record, now: Duration) -> Member {
        let mut member = Member {
            record,
            last_received_at: now,
            state_since: now,
            suspecters: ArrayVec::new(),
        };
        member.on_state_entered(now);
        member
    }

    pub(super) fn state(&self) -> MemberState {
        self.record.status.into()
    }

    pub(super) fn is_suspect(&self) -> bool {
        matches!(self.record.status, Status::Suspect(_))
    }

    /// Returns the known number of members that suspect this one, up to [`MAX_SUSPECTERS`].
    pub(super) fn suspecter_count(&self) -> usize {
        self.suspecters.len()
    }

    /// Merges another record of the member, and returns whether it held anything new, which then
    /// has to be gossiped.
    pub(super) fn merge(&mut self, update: &Record, now: Duration) -> bool {
        let state = self.state();
        let incarnation = self.record.incarnation_id();
        let confirmed = self.confirm_suspicion(update);
        let changed = self.record.merge(update);
        if self.state() != state || self.record.incarnation_id() != incarnation {
            self.on_state_entered(now);
        }
        changed || confirmed
    }

    /// Counts the suspicion of the same incarnation by another member, and returns whether it is
    /// new.
    fn confirm_suspicion(&mut self, update: &Record) -> bool {
        let Status::Suspect(suspecter) = update.status else {
            return false;
        };
        if !self.is_suspect() || self.record.incarnation_id() != update.incarnation_id() {
            return false;
        }
        let confirmed =
            !self.suspecters.contains(&suspecter) && self.suspecters.try_push(suspecter).is_ok();
        if confirmed {
            // The record is gossiped with the new suspecter, so that other members count it too.
            self.record.status = update.status;
        }
        confirmed
    }

    /// Called when the state or incarnation changes: restarts the suspicion timeout and the list of
    /// suspecters.
    fn on_state_entered(&mut self, now: Duration) {
        self.state_since = now;
        self.suspecters.clear();
        if let Status::Suspect(suspecter) = self.record.status {
            self.suspecters.push(suspecter);
        }
    }
}

/// All other members that this one has records of, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<Name, Member>,
}

impl MemberTable {
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn get(&self, name: &Name) -> Option<&Member> {
        self.members.get(name)
    }

    pub(super) fn get_mut(&mut self, name: &Name) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    pub(super) fn insert(&mut self, member: Member) {
        self.members.insert(member.record.name, member);
    }

    pub(super) fn remove(&mut self, name: &Name) {
        self.members.remove(name);
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &Name> {
        self.members.keys()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|member| &member.record)
    }

    /// Returns the records of the members that run as far as is known; suspects are included.
    pub(super) fn running(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.is_running())
    }

    /// Returns the records of the names that follow this one, in the order of names.
    pub(super) fn records_after(&self, name: Name) -> impl Iterator<Item = &Record> {
        self.members
            .range(name..)
            .map(|(_, member)| &member.record)
            .filter(move |record| record.name != name)
    }

    /// Moves all times forward by the duration of a stall of this process.
    pub(super) fn postpone(&mut self, stall: Duration) {
        for member in self.members.values_mut() {
            member.state_since += stall;
            member.last_received_at += stall;
        }
    }
}
