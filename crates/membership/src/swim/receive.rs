//! Handling of received datagrams: first the sender is checked, then its updates are applied, then
//! its message is handled.

use super::Swim;
use crate::event::{Action, Received};
use crate::wire::Message;
use std::net::SocketAddr;
use std::time::Duration;

impl Swim {
    pub(super) fn on_received(
        &mut self,
        received: Received,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if received.sender == self.local.name {
            return self.on_own_name(
                received.source,
                received.generation,
                &received.message,
                actions,
            );
        }
        if !self.accept_sender(&received, now, actions) {
            return;
        }
        let refutations = self.counts.refutations;
        for update in &received.updates {
            self.apply(update, now, actions);
        }
        if self.counts.refutations > refutations {
            // The member that sent the suspicion gets the refutation first.
            self.send(received.source, &Message::Gossip, actions);
        }
        self.on_message(received.source, received.message, now, actions);
    }

    /// Records when a known member's datagram was received. Returns whether the datagram has to be
    /// handled. A request to join is ignored if it lacks the sender's own record, and refused while
    /// another process uses its name.
    fn accept_sender(
        &mut self,
        received: &Received,
        now: Duration,
        actions: &mut Vec<Action>,
    ) -> bool {
        let sender = received.sender;
        let generation = received.generation;
        let known = self
            .members
            .get_mut(&sender)
            .filter(|member| member.record.generation == generation);
        if let Some(member) = known {
            member.last_received_at = now;
            return true;
        }
        if received.message != Message::Join {
            return true;
        }
        let own = received
            .updates
            .iter()
            .find(|record| record.name == sender && record.generation == generation);
        let Some(own) = own else { return false };
        let Some(holder) = self.name_holder(own) else {
            return true;
        };
        self.send(received.source, &Message::NameConflict(holder), actions);
        false
    }

    fn on_message(
        &mut self,
        source: SocketAddr,
        message: Message,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let concerns_join = matches!(message, Message::NameConflict(_) | Message::Page(_));
        if self.join.name_conflict.is_some() && !concerns_join {
            return;
        }
        match message {
            Message::Ping(sequence) => self.send(source, &Message::Ack(sequence), actions),
            Message::Ack(sequence) => self.on_ack(sequence, now, actions),
            Message::Nack(sequence) => self.on_nack(sequence),
            Message::PingReq {
                sequence,
                target,
                address,
            } => self.on_ping_req(source, sequence, target, address, now, actions),
            Message::Join => self.on_join(source, actions),
            Message::Gossip => {}
            Message::Sync {
                digest,
                after,
                is_reply,
            } => self.on_sync(source, digest, after, is_reply, actions),
            Message::Page(after) => self.on_page(source, after, actions),
            Message::NameConflict(holder) => self.on_name_conflict(holder, actions),
        }
    }
}
