//! Pings that are relayed for others (ping-req).

use super::health::MAX_SCORE;
use super::Swim;
use crate::event::Action;
use crate::record::Name;
use crate::wire::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Relayed pings that are open at most; further requests are ignored.
const MAX_RELAYS: usize = 256;
/// Time after which a requester gets a nack, as a ratio of the probe timeout.
const NACK_TIMEOUT_RATIO: f64 = 0.8;

/// A ping that another member requested.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    pub requester: SocketAddr,
    /// The requester's sequence number.
    pub sequence: u32,
    nack_at: Duration,
    nacked: bool,
}

/// Relayed pings that are not answered, by the sequence numbers that they were sent with.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayTable {
    relays: BTreeMap<u32, Relay>,
}

impl RelayTable {
    fn is_full(&self) -> bool {
        self.relays.len() >= MAX_RELAYS
    }

    fn insert(&mut self, own_sequence: u32, relay: Relay) {
        self.relays.insert(own_sequence, relay);
    }

    /// Removes the relayed ping of this sequence number.
    pub(super) fn remove(&mut self, sequence: u32) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// The relayed pings whose requesters now get a nack.
    fn take_due_for_nack(&mut self, now: Duration) -> Vec<Relay> {
        let due = self
            .relays
            .values_mut()
            .filter(|relay| now >= relay.nack_at && !relay.nacked);
        due.map(|relay| {
            relay.nacked = true;
            *relay
        })
        .collect()
    }

    /// Drops the relayed pings whose nack was due a `lifetime` ago.
    fn expire(&mut self, now: Duration, lifetime: Duration) {
        self.relays
            .retain(|_, relay| now < relay.nack_at + lifetime);
    }
}

impl Swim {
    /// Pings the target for the member at `requester`.
    pub(super) fn on_ping_req(
        &mut self,
        requester: SocketAddr,
        sequence: u32,
        target: Name,
        address: SocketAddr,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if self.relays.is_full() || target == self.local.name {
            return;
        }
        let own_sequence = self.next_sequence();
        let nack_at = now + self.settings.probe_timeout.mul_f64(NACK_TIMEOUT_RATIO);
        self.relays.insert(
            own_sequence,
            Relay {
                requester,
                sequence,
                nack_at,
                nacked: false,
            },
        );
        let to = self.address(&target).unwrap_or(address);
        self.send_about(to, &Message::Ping(own_sequence), Some(target), actions);
    }

    /// Sends the nacks that are due, and drops relayed pings that the requester no longer awaits.
    pub(super) fn expire_relays(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.relays
            .expire(now, self.settings.probe_interval * MAX_SCORE);
        for relay in self.relays.take_due_for_nack(now) {
            self.send(relay.requester, &Message::Nack(relay.sequence), actions);
        }
    }
}
