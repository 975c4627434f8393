//! Suspicion timeouts, reminders to suspects, and the removal of members that are dead or have
//! left.

use super::members::MAX_SUSPECTERS;
use super::Swim;
use crate::event::Action;
use crate::record::{Name, Record, Status};
use crate::wire::Message;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Number of probe intervals for which the record of a member that is dead or has left is kept, so
/// that old updates do not bring the member back.
const RETENTION_INTERVALS: u32 = 600;

/// Returns the hash that identifies a suspecter in a record.
pub(super) fn name_hash(name: &Name) -> u32 {
    let mut hasher = SipHasher13::new();
    name.hash(&mut hasher);
    hasher.finish() as u32
}

/// Returns the timeout of a suspicion with this many suspecters. It falls from the longest to the
/// shortest with the logarithm of the number of confirmations, as in the Lifeguard paper.
fn suspicion_timeout(shortest: Duration, max_multiplier: u32, suspecter_count: usize) -> Duration {
    let longest = shortest * max_multiplier;
    let confirmations = suspecter_count.saturating_sub(1) as f64;
    let ratio = (confirmations + 1.0).ln() / (MAX_SUSPECTERS as f64).ln();
    longest
        .saturating_sub((longest - shortest).mul_f64(ratio))
        .max(shortest)
}

impl Swim {
    /// Declares members dead if the suspicion of them has timed out.
    pub(super) fn expire_suspicions(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let shortest = self.min_suspicion_timeout();
        let max_multiplier = self.settings.suspicion_max_multiplier.max(1);
        let expired: Vec<Record> = self
            .members
            .iter()
            .filter(|member| member.is_suspect())
            .filter(|member| {
                let suspected_for = now.saturating_sub(member.state_since);
                suspected_for
                    >= suspicion_timeout(shortest, max_multiplier, member.suspecter_count())
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

    fn min_suspicion_timeout(&self) -> Duration {
        let members = self.members.running().count() + 1;
        let logarithm = (members as f64).log10().max(1.0);
        (self.settings.probe_interval * self.settings.suspicion_multiplier).mul_f64(logarithm)
    }

    /// Sends the records of random suspects to the suspects themselves, and to one other member
    /// each, which then sends reminders too. Updates are sent only a limited number of times, so a
    /// suspect would never learn of the suspicion if the partition that caused it dropped all of
    /// them.
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
            self.send_with_suspicion(to, &Message::Gossip, Some(name), actions);
            for to in self.random_addresses(1, |record| record.status == Status::Alive) {
                self.send_with_suspicion(to, &Message::Gossip, Some(name), actions);
            }
        }
    }

    /// Removes the records of members that have been dead, or have left, for longer than the
    /// retention time.
    pub(super) fn remove_expired_members(&mut self, now: Duration) {
        let retention = self.settings.probe_interval * RETENTION_INTERVALS;
        let expired_names: Vec<Name> = self
            .members
            .iter()
            .filter(|member| !member.record.is_running())
            .filter(|member| now.saturating_sub(member.state_since) >= retention)
            .map(|member| member.record.name)
            .collect();
        for name in expired_names {
            self.members.remove(&name);
            self.updates.remove(&name);
        }
    }
}
