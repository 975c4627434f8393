//! Indirect probes: pings that this member relays for others (ping-req).

use super::health::MAX_HEALTH_SCORE;
use super::Swim;
use crate::event::Action;
use crate::record::Name;
use crate::wire::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of open relayed pings. Further requests are ignored.
const MAX_RELAYED_PINGS: usize = 256;
/// The time after which the requester gets a nack, as a ratio of the probe timeout.
const NACK_TIMEOUT_RATIO: f64 = 0.8;

/// A ping that another member has requested.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedPing {
    pub requester: SocketAddr,
    /// The sequence number of the request.
    pub sequence: u32,
    nack_at: Duration,
    is_nack_sent: bool,
}

/// The relayed pings without an ack, by the sequence numbers with which they were sent.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayTable {
    pings: BTreeMap<u32, RelayedPing>,
}

impl RelayTable {
    fn is_full(&self) -> bool {
        self.pings.len() >= MAX_RELAYED_PINGS
    }

    fn insert(&mut self, own_sequence: u32, relay: RelayedPing) {
        self.pings.insert(own_sequence, relay);
    }

    /// Removes and returns the relayed ping that was sent with this sequence number.
    pub(super) fn remove(&mut self, sequence: u32) -> Option<RelayedPing> {
        self.pings.remove(&sequence)
    }

    /// Returns the relayed pings for which a nack is due, and marks them as answered by a nack.
    fn take_due_for_nack(&mut self, now: Duration) -> Vec<RelayedPing> {
        let due = self
            .pings
            .values_mut()
            .filter(|relay| now >= relay.nack_at && !relay.is_nack_sent);
        due.map(|relay| {
            relay.is_nack_sent = true;
            *relay
        })
        .collect()
    }

    /// Drops the relayed pings whose nack was due at least `retention` ago.
    fn expire(&mut self, now: Duration, retention: Duration) {
        self.pings
            .retain(|_, relay| now < relay.nack_at + retention);
    }
}

impl Swim {
    /// Handles a ping-req: pings the target on behalf of the member at `requester`.
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
            RelayedPing {
                requester,
                sequence,
                nack_at,
                is_nack_sent: false,
            },
        );
        let to = self.address(&target).unwrap_or(address);
        self.send_with_suspicion(to, &Message::Ping(own_sequence), Some(target), actions);
    }

    /// Sends the nacks that are due, and drops the relayed pings whose acks the requester no longer
    /// awaits.
    pub(super) fn expire_relays(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.relays
            .expire(now, self.settings.probe_interval * MAX_HEALTH_SCORE);
        for relay in self.relays.take_due_for_nack(now) {
            self.send(relay.requester, &Message::Nack(relay.sequence), actions);
        }
    }
}
