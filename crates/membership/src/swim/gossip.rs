//! Dissemination: updates are piggybacked on all messages, and also sent in periodic rounds of
//! gossip. Each update is sent a limited number of times.

use super::Swim;
use crate::event::Action;
use crate::record::{Name, Record};
use crate::wire::{Body, Message};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An update is sent this many times the decimal logarithm (rounded up, at least one) of the number
/// of members.
const RETRANSMIT_MULTIPLIER: u32 = 4;

/// The members whose records have to be sent, ordered by the number of transmissions so far.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    /// The number of transmissions so far, and the name of the member.
    queue: BTreeSet<(u32, Name)>,
}

impl UpdateQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues a member's record with no transmissions so far.
    pub(super) fn enqueue(&mut self, name: Name) {
        self.remove(&name);
        self.queue.insert((0, name));
    }

    pub(super) fn remove(&mut self, name: &Name) {
        self.queue.retain(|(_, queued)| queued != name);
    }

    /// Appends queued records to a body until one does not fit. A record leaves the queue after
    /// `max_transmissions`.
    fn piggyback<'a>(
        &mut self,
        body: &mut Body,
        max_transmissions: u32,
        record_of: impl Fn(&Name) -> Option<&'a Record>,
    ) {
        let mut sent = Vec::new();
        for (transmissions, name) in &self.queue {
            if !record_of(name).is_some_and(|record| body.try_push(record)) {
                break;
            }
            sent.push((*transmissions, *name));
        }
        for (transmissions, name) in sent {
            self.queue.remove(&(transmissions, name));
            if transmissions + 1 < max_transmissions {
                self.queue.insert((transmissions + 1, name));
            }
        }
    }
}

impl Swim {
    /// Sends queued updates, if there are any, to random members.
    pub(super) fn gossip(&mut self, actions: &mut Vec<Action>) {
        if self.updates.is_empty() {
            return;
        }
        for to in self.random_addresses(self.settings.gossip_fanout, Record::is_running) {
            self.send(to, &Message::Gossip, actions);
        }
    }

    /// Sends a message with as many piggybacked updates as fit.
    pub(super) fn send(&mut self, to: SocketAddr, message: &Message, actions: &mut Vec<Action>) {
        self.send_with_suspicion(to, message, None, actions);
    }

    /// Sends a message like [`Swim::send`], with the record of `subject` first if that member is a
    /// suspect, so that it learns of the suspicion and can refute it.
    pub(super) fn send_with_suspicion(
        &mut self,
        to: SocketAddr,
        message: &Message,
        subject: Option<Name>,
        actions: &mut Vec<Action>,
    ) {
        let mut body = Body::new(message);
        let subject = subject.and_then(|name| self.members.get(&name));
        if let Some(member) = subject.filter(|member| member.is_suspect()) {
            let _ = body.try_push(&member.record);
        }
        if *message == Message::Join {
            // The receiver compares this record with its own to detect a name conflict.
            let _ = body.try_push(&self.local);
        }
        if self.join.name_conflict.is_none() {
            self.piggyback_updates(&mut body);
        }
        actions.push(Action::Send {
            to,
            body: body.into_bytes(),
        });
    }

    fn piggyback_updates(&mut self, body: &mut Body) {
        let member_count = (self.members.len() + 1) as f64;
        let max_transmissions = RETRANSMIT_MULTIPLIER * member_count.log10().ceil().max(1.0) as u32;
        let local = &self.local;
        let members = &self.members;
        self.updates.piggyback(body, max_transmissions, |name| {
            if *name == local.name {
                return Some(local);
            }
            members.get(name).map(|member| &member.record)
        });
    }
}
