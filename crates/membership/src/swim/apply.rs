//! Merging of updates, which are records of members that arrive with any message.

use super::members::Member;
use super::Swim;
use crate::event::Action;
use crate::record::{Record, Status};
use crate::view::MemberState;
use std::time::Duration;

impl Swim {
    /// Merges a record, queues it for gossip if it holds anything new, and reports a change of
    /// state.
    pub(super) fn apply(&mut self, update: &Record, now: Duration, actions: &mut Vec<Action>) {
        if update.name == self.local.name {
            return self.apply_to_self(update, actions);
        }
        if self.claims_name_in_use(update) {
            return;
        }
        let Some(member) = self.members.get_mut(&update.name) else {
            return self.add_member(update, now, actions);
        };
        let from = member.state();
        let changed = member.merge(update, now);
        let to = member.state();
        if changed {
            self.updates.enqueue(update.name);
        }
        if from != to {
            actions.push(Action::StateChanged {
                name: update.name,
                from,
                to,
            });
        }
    }

    /// Whether the record is of a newer process whose name another running process uses. The record
    /// is ignored until that process is dead or has left.
    fn claims_name_in_use(&self, update: &Record) -> bool {
        let known = self.members.get(&update.name);
        let is_newer = known.is_some_and(|member| update.generation > member.record.generation);
        is_newer && self.name_holder(update).is_some()
    }

    fn add_member(&mut self, update: &Record, now: Duration, actions: &mut Vec<Action>) {
        if self.members.len() >= self.settings.max_members {
            self.counts.rejected_records += 1;
            return;
        }
        let member = Member::new(update.clone(), now);
        let to = member.state();
        self.members.insert(member);
        self.updates.enqueue(update.name);
        self.probe_order.insert(update.name, &mut self.rng);
        actions.push(Action::StateChanged {
            name: update.name,
            from: MemberState::NeverSeen,
            to,
        });
    }

    /// Handles a record of this member itself.
    fn apply_to_self(&mut self, update: &Record, actions: &mut Vec<Action>) {
        if update.generation > self.local.generation {
            return self.on_newer_generation(update, actions);
        }
        let is_current = update.generation == self.local.generation;
        let is_disputed = is_current
            && update.status != Status::Alive
            && update.incarnation >= self.local.incarnation;
        if is_disputed && !self.leaving {
            self.refute(update);
        }
        if is_disputed || update.cmp_status(&self.local).is_lt() {
            self.updates.enqueue(self.local.name);
        }
    }

    /// Handles a record of this member's name with a later generation than its own.
    fn on_newer_generation(&mut self, update: &Record, actions: &mut Vec<Action>) {
        if update.address != self.local.address {
            // The others saw this member dead, and another process has joined under its name.
            return self.set_name_conflict(update.address, actions);
        }
        // The clock was set back before a restart. The generation has to exceed the one that the
        // others know.
        self.local.generation = update.generation + 1;
        self.updates.enqueue(self.local.name);
    }

    /// Refutes a suspicion or a report of death by moving to a later incarnation.
    fn refute(&mut self, update: &Record) {
        self.local.incarnation = update.incarnation + 1;
        self.counts.refutations += 1;
        self.health.degrade(1);
    }
}
