//! One real member among simulated peers that answer its pings in the real wire format.

use super::peers::{authenticator, number_at, record, swim, Datagram, GENERATION, NETWORK_LATENCY};
use crate::scale::measure::timed;
use roseyard_membership::{wire, Action, Authenticator, Event, Name, Swim};
use std::collections::BTreeMap;
use std::time::Duration;

/// The number of updates in a sample.
const UPDATES: usize = 40;
/// The fleet size that the authenticator of a simulated peer is created for; peers only send, so a
/// small one is sufficient.
const PEER_FLEET_SIZE: usize = 4;
/// The protocol period; one of the peers pings the member in each period.
const PERIOD: Duration = Duration::from_secs(1);
/// The index of the peer that sends pages and updates.
const SENDER: usize = 1;

pub(super) struct SingleMember {
    now: Duration,
    swim: Swim,
    authenticator: Authenticator,
    peers: Vec<Authenticator>,
    /// Replies of the peers by arrival time, then by sending order.
    replies: BTreeMap<(Duration, u64), Datagram>,
    serial: u64,
}

/// The cost of receiving the records of all members when joining.
pub(super) struct JoinCost {
    pub bytes: usize,
    pub processor_time: Duration,
}

impl SingleMember {
    /// Creates member 0 of a fleet of `members`.
    pub(super) fn new(members: usize, seed: u64) -> SingleMember {
        let peer = |number| authenticator(number, PEER_FLEET_SIZE);
        SingleMember {
            now: Duration::ZERO,
            swim: swim(0, members, seed),
            authenticator: authenticator(0, members),
            peers: (0..members).map(peer).collect(),
            replies: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Receives the records of all members, as the pages that a joining member receives.
    pub(super) fn receive_all_records(&mut self, members: usize) -> JoinCost {
        let mut cost = JoinCost {
            bytes: 0,
            processor_time: Duration::ZERO,
        };
        let mut next = 1;
        self.handle(Event::Timeout);
        while next < members {
            let mut body = wire::Body::new(&wire::Message::Page(Name::new()));
            while next < members && body.try_push(&record(next, GENERATION)) {
                next += 1;
            }
            let datagram = self.datagram_from(SENDER, &body.into_bytes());
            cost.bytes += datagram.bytes.len();
            let (_, took) = timed(|| self.deliver(&datagram));
            cost.processor_time += took;
        }
        cost
    }

    /// Returns a sealed datagram from a peer to the member.
    fn datagram_from(&mut self, peer: usize, body: &[u8]) -> Datagram {
        Datagram {
            to: 0,
            from: peer,
            bytes: self.peers[peer].seal(GENERATION, body),
        }
    }

    fn deliver(&mut self, datagram: &Datagram) {
        if let Some(event) = datagram.open(&mut self.authenticator) {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.swim.handle(self.now, event, &mut actions);
        for action in actions {
            let Action::Send { to, body } = action else {
                continue;
            };
            // Each message is sealed, including those without a reply, because the measured cost
            // includes sealing.
            let sealed = self.authenticator.seal(GENERATION, &body);
            let message = wire::decode(&body).map(|contents| contents.message);
            let Some(wire::Message::Ping(number)) = message else {
                continue;
            };
            std::hint::black_box(sealed);
            let ack = wire::Body::new(&wire::Message::Ack(number)).into_bytes();
            let reply = self.datagram_from(number_at(to), &ack);
            self.serial += 1;
            let arrival = (self.now + NETWORK_LATENCY, self.serial);
            self.replies.insert(arrival, reply);
        }
    }

    /// Runs for this duration. One of the peers pings the member in each period, like in a fleet
    /// whose members each ping one other.
    pub(super) fn run(&mut self, length: Duration) {
        let until = self.now + length;
        let mut ping_at = self.now;
        while self.now < until {
            let reply = self.replies.keys().next().copied();
            let due = self.swim.next_timeout().unwrap_or(until);
            let next = reply
                .map_or(due, |(at, _)| at.min(due))
                .min(ping_at)
                .min(until);
            self.now = self.now.max(next);
            let arrived = reply.filter(|(at, _)| *at <= self.now);
            if let Some(datagram) = arrived.and_then(|key| self.replies.remove(&key)) {
                self.deliver(&datagram);
            } else if ping_at <= self.now {
                ping_at += PERIOD;
                self.receive_ping();
            } else {
                self.handle(Event::Timeout);
            }
        }
    }

    fn receive_ping(&mut self) {
        self.serial += 1;
        let peer = 1 + self.serial as usize % (self.peers.len() - 1).max(1);
        let ping = wire::Body::new(&wire::Message::Ping(self.serial as u32)).into_bytes();
        let datagram = self.datagram_from(peer, &ping);
        self.deliver(&datagram);
    }

    /// Returns the mean processor time to handle an update, in microseconds. Each update is gossip
    /// from a peer about the restart of another peer.
    pub(super) fn update_us(&mut self, members: usize, round: usize) -> f64 {
        let mut spent = Duration::ZERO;
        for number in 0..UPDATES {
            let serial = round * UPDATES + number;
            let subject = 2 + serial % members.saturating_sub(2).max(1);
            let mut body = wire::Body::new(&wire::Message::Gossip);
            let _ = body.try_push(&record(subject, GENERATION + 1 + serial as u64));
            let datagram = self.datagram_from(SENDER, &body.into_bytes());
            let (_, took) = timed(|| self.deliver(&datagram));
            spent += took;
        }
        spent.as_secs_f64() * 1e6 / UPDATES as f64
    }
}
