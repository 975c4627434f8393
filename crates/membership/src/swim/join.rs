//! Joining: a member sends requests to all seeds until another member answers. A request is refused
//! while another running process uses the same name.

use super::Swim;
use crate::event::Action;
use crate::record::{Name, Record};
use crate::wire::Message;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum backoff between two rounds of requests to join, in probe intervals.
const MAX_BACKOFF_INTERVALS: u32 = 8;
/// The time to the next round is the backoff times a random ratio from this minimum to the minimum
/// plus [`BACKOFF_JITTER_RATIO_RANGE`].
const MIN_BACKOFF_JITTER_RATIO: f64 = 0.5;
const BACKOFF_JITTER_RATIO_RANGE: f64 = 0.5;

/// Whether this member has joined, and the retries of its requests to join.
#[derive(Clone, Copy, Debug)]
pub(super) struct JoinState {
    pub joined: bool,
    /// The address of another process that uses this member's name, while that prevents this member
    /// from joining.
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
    /// Whether this member has to send requests to join.
    pub(super) fn should_join(&self) -> bool {
        !self.leaving
            && (!self.join.joined
                || self.join.name_conflict.is_some()
                || self.knows_no_running_member())
            && !self.settings.seeds.is_empty()
    }

    fn knows_no_running_member(&self) -> bool {
        self.members.running().next().is_none()
    }

    /// Sends a request to join to all seeds, and schedules the next one after an exponential
    /// backoff. The number of requests is unlimited.
    pub(super) fn send_join_requests(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let max_backoff = self.settings.probe_interval * MAX_BACKOFF_INTERVALS;
        self.join.backoff = (self.join.backoff * 2).min(max_backoff);
        self.timers.join = now
            + self
                .join
                .backoff
                .mul_f64(MIN_BACKOFF_JITTER_RATIO + BACKOFF_JITTER_RATIO_RANGE * self.rng.f64());
        for seed in self.settings.seeds.clone() {
            self.send(seed, &Message::Join, actions);
        }
    }

    /// Handles another member's request to join by sending all records to it.
    pub(super) fn on_join(&mut self, source: SocketAddr, actions: &mut Vec<Action>) {
        if !self.join.joined {
            self.join.joined = true;
            actions.push(Action::Joined);
        }
        self.send_pages(source, Name::new(), actions);
    }

    /// Handles a page of records, which shows that this member has joined.
    pub(super) fn on_page(&mut self, source: SocketAddr, after: Name, actions: &mut Vec<Action>) {
        if !self.join.joined || self.join.name_conflict.take().is_some() {
            self.join.joined = true;
            self.join.backoff = self.settings.probe_interval;
            actions.push(Action::Joined);
        }
        self.continue_sync(source, after, actions);
    }

    /// Handles a seed's answer that another process uses this member's name.
    pub(super) fn on_name_conflict(&mut self, holder: SocketAddr, actions: &mut Vec<Action>) {
        // Once this member has joined, the answer belongs to an earlier request and is outdated.
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

    /// Handles a datagram whose sender has this member's own name. The sender is this member itself
    /// if one of the seeds is its own address, and another process otherwise. A request to join by
    /// a newer process is refused.
    pub(super) fn on_own_name(
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

    /// Returns the address of the running member that uses the name of this record, if it is
    /// another process. A record with the same address belongs to a restart, as two processes
    /// cannot listen at one address.
    pub(super) fn name_holder(&self, claimant: &Record) -> Option<SocketAddr> {
        let known = &self.members.get(&claimant.name)?.record;
        let is_other = known.generation != claimant.generation && known.address != claimant.address;
        (is_other && known.is_running()).then_some(known.address)
    }
}
