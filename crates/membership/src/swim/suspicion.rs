//! Suspicions: their timeout, reminders to suspects, and forgetting members that are no more.

use super::members::MAX_SUSPECTERS;
use super::Swim;
use crate::event::Action;
use crate::record::{Name, Record, Status};
use crate::wire::Message;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Probe intervals for which the record of a dead or departed member is kept, so that old updates
/// do not bring it back.
const FORGET_AFTER_INTERVALS: u32 = 600;

/// What tells suspecters apart in a record, in four bytes.
pub(super) fn name_hash(name: &Name) -> u32 {
    let mut hasher = SipHasher13::new();
    name.hash(&mut hasher);
    hasher.finish() as u32
}

/// The timeout of a suspicion that so many members share: from the longest down to the least, by
/// the logarithm of the confirmations (the Lifeguard paper's form).
fn timeout(least: Duration, max_multiplier: u32, suspecters: usize) -> Duration {
    let longest = least * max_multiplier;
    let confirmations = suspecters.saturating_sub(1) as f64;
    let part = (confirmations + 1.0).ln() / (MAX_SUSPECTERS as f64).ln();
    longest
        .saturating_sub((longest - least).mul_f64(part))
        .max(least)
}

impl Swim {
    /// Takes members as dead whose suspicion has timed out.
    pub(super) fn expire_suspicions(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let least = self.least_suspicion_timeout();
        let max_multiplier = self.settings.suspicion_max_multiplier.max(1);
        let expired: Vec<Record> = self
            .members
            .iter()
            .filter(|member| member.is_suspect())
            .filter(|member| {
                let suspected_for = now.saturating_sub(member.state_since);
                suspected_for >= timeout(least, max_multiplier, member.suspecters())
            })
            .map(|member| Record {
                status: Status::Dead,
                ..member.record.clone()
            })
            .collect();
        for record in expired {
            self.apply(&record, now, actions);
        }
    }

    fn least_suspicion_timeout(&self) -> Duration {
        let members = self.members.running().count() + 1;
        let logarithm = (members as f64).log10().max(1.0);
        (self.settings.probe_interval * self.settings.suspicion_multiplier).mul_f64(logarithm)
    }

    /// Tells suspects that they are suspected, and each time one other member, which will tell them
    /// too. Guards against a suspicion that its subject never hears of: the cut that caused it may
    /// swallow its updates, which are sent only so often.
    pub(super) fn remind_suspects(&mut self, actions: &mut Vec<Action>) {
        let suspects: Vec<Name> = self
            .members
            .iter()
            .filter(|member| member.is_suspect())
            .map(|member| member.record.name)
            .collect();
        for _ in 0..suspects.len().min(self.settings.gossip_fanout) {
            let name = suspects[self.rng.usize(0..suspects.len())];
            let Some(to) = self.address(&name) else {
                continue;
            };
            self.send_about(to, &Message::Gossip, Some(name), actions);
            for to in self.random_addresses(1, |record| record.status == Status::Alive) {
                self.send_about(to, &Message::Gossip, Some(name), actions);
            }
        }
    }

    /// Forgets members that have been dead or left for long.
    pub(super) fn forget_departed(&mut self, now: Duration) {
        let forget_after = self.settings.probe_interval * FORGET_AFTER_INTERVALS;
        let forgotten: Vec<Name> = self
            .members
            .iter()
            .filter(|member| !member.record.is_running())
            .filter(|member| now.saturating_sub(member.state_since) >= forget_after)
            .map(|member| member.record.name)
            .collect();
        for name in forgotten {
            self.members.remove(&name);
            self.updates.remove(&name);
        }
    }
}
