//! The table of the other members.

use crate::record::{Name, Record, Status};
use crate::view::MemberState;
use arrayvec::ArrayVec;
use std::collections::BTreeMap;
use std::time::Duration;

/// Members whose suspicion of another counts; with so many the suspicion has its least timeout.
pub(super) const MAX_SUSPECTERS: usize = 3;

/// Another member, as it is known here.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub record: Record,
    /// When its own latest datagram came, or else the first word of it.
    pub last_heard: Duration,
    /// Since when it has been in its state.
    pub state_since: Duration,
    /// Name hashes of those that have suspected it in this incarnation.
    suspected_by: ArrayVec<u32, MAX_SUSPECTERS>,
}

impl Member {
    /// One that is heard of for the first time.
    pub(super) fn new(record: Record, now: Duration) -> Member {
        let mut member = Member {
            record,
            last_heard: now,
            state_since: now,
            suspected_by: ArrayVec::new(),
        };
        member.enter_state(now);
        member
    }

    pub(super) fn state(&self) -> MemberState {
        self.record.status.into()
    }

    pub(super) fn is_suspect(&self) -> bool {
        matches!(self.record.status, Status::Suspect(_))
    }

    /// Members that suspect it, by what has come here.
    pub(super) fn suspecters(&self) -> usize {
        self.suspected_by.len()
    }

    /// Takes in another record of it; true if it says anything new that is to be passed on.
    pub(super) fn merge(&mut self, update: &Record, now: Duration) -> bool {
        let (state, incarnation) = (self.state(), self.record.incarnation_id());
        let confirmed = self.confirm_suspicion(update);
        let changed = self.record.merge(update);
        if self.state() != state || self.record.incarnation_id() != incarnation {
            self.enter_state(now);
        }
        changed || confirmed
    }

    /// Another's suspicion of the same incarnation confirms the one that is held.
    fn confirm_suspicion(&mut self, update: &Record) -> bool {
        let Status::Suspect(suspecter) = update.status else {
            return false;
        };
        if !self.is_suspect() || self.record.incarnation_id() != update.incarnation_id() {
            return false;
        }
        let confirmed = !self.suspected_by.contains(&suspecter)
            && self.suspected_by.try_push(suspecter).is_ok();
        if confirmed {
            // Passed on under the new suspecter, so that others count it too.
            self.record.status = update.status;
        }
        confirmed
    }

    /// Its state or incarnation is another than before: a suspicion begins anew.
    fn enter_state(&mut self, now: Duration) {
        self.state_since = now;
        self.suspected_by.clear();
        if let Status::Suspect(suspecter) = self.record.status {
            self.suspected_by.push(suspecter);
        }
    }
}

/// All other members that are remembered, by name.
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

    /// Records of those that are taken to run.
    pub(super) fn running(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.is_running())
    }

    /// Records of the names that follow this one.
    pub(super) fn records_after(&self, name: Name) -> impl Iterator<Item = &Record> {
        self.members
            .range(name..)
            .map(|(_, member)| &member.record)
            .filter(move |record| record.name != name)
    }

    /// Moves all times on by a stall of this process.
    pub(super) fn postpone(&mut self, stall: Duration) {
        for member in self.members.values_mut() {
            member.state_since += stall;
            member.last_heard += stall;
        }
    }
}
