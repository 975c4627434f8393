//! Joining: requests go to all seeds until one answers. A name that a live process uses is refused
//! to another one.

use super::Swim;
use crate::event::Action;
use crate::record::{Name, Record};
use crate::wire::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest backoff between two rounds of requests to join, in probe intervals.
const MAX_BACKOFF_INTERVALS: u32 = 8;
/// Time to the next round, as a ratio of the backoff: the minimum, and the range above it.
const BACKOFF_JITTER_MIN: f64 = 0.5;
const BACKOFF_JITTER_RANGE: f64 = 0.5;

/// The state of joining.
#[derive(Clone, Copy, Debug)]
pub(super) struct JoinState {
    pub joined: bool,
    /// Where a process listens that uses this one's name, while this one cannot join for that.
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
    /// Is this member to send requests to join?
    pub(super) fn should_join(&self) -> bool {
        !self.leaving
            && (!self.join.joined
                || self.join.name_conflict.is_some()
                || self.has_no_running_member())
            && !self.settings.seeds.is_empty()
    }

    fn has_no_running_member(&self) -> bool {
        self.members.running().next().is_none()
    }

    /// Sends a request to join to all seeds, with an exponential backoff that has no end.
    pub(super) fn send_join_requests(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let longest = self.settings.probe_interval * MAX_BACKOFF_INTERVALS;
        self.join.backoff = (self.join.backoff * 2).min(longest);
        self.timers.join = now
            + self
                .join
                .backoff
                .mul_f64(BACKOFF_JITTER_MIN + BACKOFF_JITTER_RANGE * self.rng.f64());
        for seed in self.settings.seeds.clone() {
            self.send(seed, &Message::Join, actions);
        }
    }

    /// Another member requests to join: all records are sent to it.
    pub(super) fn on_join(&mut self, source: SocketAddr, actions: &mut Vec<Action>) {
        if !self.join.joined {
            self.join.joined = true;
            actions.push(Action::Joined);
        }
        self.send_pages(source, Name::new(), actions);
    }

    /// A page of records was received: this member has joined.
    pub(super) fn on_page(&mut self, source: SocketAddr, after: Name, actions: &mut Vec<Action>) {
        if !self.join.joined || self.join.name_conflict.take().is_some() {
            self.join.joined = true;
            self.join.backoff = self.settings.probe_interval;
            actions.push(Action::Joined);
        }
        self.continue_sync(source, after, actions);
    }

    /// A seed answers that this member's name is in use by another process.
    pub(super) fn on_name_conflict(&mut self, holder: SocketAddr, actions: &mut Vec<Action>) {
        // An answer to a request from before this member joined is out of date.
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

    /// A datagram of a process of this member's own name: of itself, if a seed is its own address,
    /// or of another one.
    pub(super) fn on_same_name(
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

    /// The address of a live member that uses the name of this record at another address. At the
    /// same address it is a restart, as two processes cannot listen there.
    pub(super) fn name_holder(&self, claimant: &Record) -> Option<SocketAddr> {
        let known = &self.members.get(&claimant.name)?.record;
        let is_other = known.generation != claimant.generation && known.address != claimant.address;
        (is_other && known.is_running()).then_some(known.address)
    }
}
