//! Updates: records of members are merged, whichever message they were received with.

use super::members::Member;
use super::Swim;
use crate::event::Action;
use crate::record::{Record, Status};
use crate::view::MemberState;
use std::time::Duration;

impl Swim {
    /// Merges a record.
    pub(super) fn apply(&mut self, update: &Record, now: Duration, actions: &mut Vec<Action>) {
        if update.name == self.local.name {
            return self.apply_to_self(update, actions);
        }
        if self.is_premature_claim(update) {
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

    /// Is this a newer process that claims a name while another one uses it? That one has to be
    /// dead or have left first.
    fn is_premature_claim(&self, update: &Record) -> bool {
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

    /// Others have a record of this name with a later generation than this process.
    fn on_newer_generation(&mut self, update: &Record, actions: &mut Vec<Action>) {
        if update.address != self.local.address {
            // They hold this member dead, and another process joined under its name.
            return self.set_name_conflict(update.address, actions);
        }
        // The clock went back over a restart: this generation must override the one that they know.
        self.local.generation = update.generation + 1;
        self.updates.enqueue(self.local.name);
    }

    /// Refutes a suspicion, or a report of death, by a later incarnation.
    fn refute(&mut self, update: &Record) {
        self.local.incarnation = update.incarnation + 1;
        self.counts.refutations += 1;
        self.health.degrade(1);
    }
}
