//! Pings that are relayed for others (ping-req).

use super::health::MAX_SCORE;
use super::Swim;
use crate::event::Action;
use crate::record::Name;
use crate::wire::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Relayed pings at once: guards against memory that grows with what others ask.
const MAX_RELAYS: usize = 256;
/// The requester is told that nothing was heard after this part of the probe timeout.
const NACK_AFTER: f64 = 0.8;

/// A ping that another member has asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    pub requester: SocketAddr,
    /// The requester's sequence number.
    pub sequence: u32,
    nack_at: Duration,
    nacked: bool,
}

/// Relayed pings that are not answered, by the sequence number that they were sent under.
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

    /// Takes out the relayed ping of this sequence number.
    pub(super) fn remove(&mut self, sequence: u32) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// Those that are now to be nacked.
    fn take_late(&mut self, now: Duration) -> Vec<Relay> {
        let late = self
            .relays
            .values_mut()
            .filter(|relay| now >= relay.nack_at && !relay.nacked);
        late.map(|relay| {
            relay.nacked = true;
            *relay
        })
        .collect()
    }

    /// Drops those whose nack is so long ago that no ack is worth passing on.
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
        let nack_at = now + self.settings.probe_timeout.mul_f64(NACK_AFTER);
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

    /// Tells requesters that nothing was heard so far, and drops what is long over.
    pub(super) fn expire_relays(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.relays
            .expire(now, self.settings.probe_interval * MAX_SCORE);
        for relay in self.relays.take_late(now) {
            self.send(relay.requester, &Message::Nack(relay.sequence), actions);
        }
    }
}
