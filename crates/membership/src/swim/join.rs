//! Joining: seeds are asked until one answers, and a name that a live process holds is refused to
//! another.

use super::Swim;
use crate::event::Action;
use crate::record::{Name, Record};
use crate::wire::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time between two rounds of asking, in probe intervals.
const MAX_BACKOFF_INTERVALS: u32 = 8;

/// How far this member is with joining.
#[derive(Clone, Copy, Debug)]
pub(super) struct JoinState {
    pub joined: bool,
    /// Where a process listens that holds this one's name, while this one is kept out for that.
    pub name_conflict: Option<SocketAddr>,
    backoff: Duration,
}

impl JoinState {
    pub(super) fn new(backoff: Duration) -> JoinState {
        JoinState {
            joined: false,
            name_conflict: None,
            backoff,
        }
    }
}

impl Swim {
    /// Is this member to ask the seeds?
    pub(super) fn wants_to_join(&self) -> bool {
        !self.leaving
            && (!self.join.joined || self.join.name_conflict.is_some() || self.is_alone())
            && !self.settings.seeds.is_empty()
    }

    fn is_alone(&self) -> bool {
        self.members.running().next().is_none()
    }

    /// Asks all seeds. One that stays alone asks more and more rarely, and never stops.
    pub(super) fn ask_to_join(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let longest = self.settings.probe_interval * MAX_BACKOFF_INTERVALS;
        self.join.backoff = (self.join.backoff * 2).min(longest);
        self.timers.join = now + self.join.backoff.mul_f64(0.5 + 0.5 * self.rng.f64());
        for seed in self.settings.seeds.clone() {
            self.send(seed, &Message::Join, actions);
        }
    }

    /// Another asks to join: it is told all.
    pub(super) fn on_join(&mut self, source: SocketAddr, actions: &mut Vec<Action>) {
        if !self.join.joined {
            self.join.joined = true;
            actions.push(Action::Joined);
        }
        self.send_pages(source, Name::new(), actions);
    }

    /// A page of records has come: this member is let in.
    pub(super) fn on_page(&mut self, source: SocketAddr, after: Name, actions: &mut Vec<Action>) {
        if !self.join.joined || self.join.name_conflict.take().is_some() {
            self.join.joined = true;
            self.join.backoff = self.settings.probe_interval;
            actions.push(Action::Joined);
        }
        self.continue_sync(source, after, actions);
    }

    /// This member's name is held by another, by word of one that it asked.
    pub(super) fn on_name_conflict(&mut self, holder: SocketAddr, actions: &mut Vec<Action>) {
        // An answer from before this member was let in is out of date.
        if !self.join.joined {
            self.set_name_conflict(holder, actions);
        }
    }

    pub(super) fn set_name_conflict(&mut self, holder: SocketAddr, actions: &mut Vec<Action>) {
        if self.join.name_conflict != Some(holder) {
            self.join.name_conflict = Some(holder);
            actions.push(Action::NameConflict { holder });
        }
    }

    /// A datagram of a process of this member's own name: itself, by a seed that is its own
    /// address, or another.
    pub(super) fn on_namesake(
        &mut self,
        source: SocketAddr,
        generation: u64,
        message: &Message,
        actions: &mut Vec<Action>,
    ) {
        let is_newer = generation > self.local.generation;
        if *message == Message::Join && is_newer && self.join.name_conflict.is_none() {
            self.send(source, &Message::NameConflict(self.local.address), actions);
        }
    }

    /// The address that holds the name of this record: of a live member of that name elsewhere. At
    /// the same address it is a restart, since two processes cannot listen there.
    pub(super) fn name_holder(&self, claimant: &Record) -> Option<SocketAddr> {
        let held = &self.members.get(&claimant.name)?.record;
        let is_other = held.generation != claimant.generation && held.address != claimant.address;
        (is_other && held.is_running()).then_some(held.address)
    }
}
