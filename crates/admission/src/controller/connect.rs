//! New connections: caps, rates and room.

use super::connections::Connection;
use super::histories::AddressEntries;
use super::AdmissionController;
use crate::event::{Action, ConnectionId, RejectionReason};
use crate::reputation::Reputation;
use std::net::IpAddr;
use std::time::Duration;

/// What an attempt beyond the rate of its address adds to the address's faults.
const HAMMERING_FAULT: f32 = 0.25;

/// A limit that a new connection is beyond.
struct Exceeded {
    why: RejectionReason,
    wait: Duration,
}

/// A connection that has just come.
#[derive(Clone, Copy)]
struct Newcomer {
    conn: ConnectionId,
    address: Option<AddressEntries>,
    reputation: Reputation,
}

impl AdmissionController {
    pub(super) fn on_connected(
        &mut self,
        now: Duration,
        conn: ConnectionId,
        peer: IpAddr,
        out: &mut Vec<Action>,
    ) {
        // Guards against a caller that names two connections alike: the first one's counts would
        // stay for ever.
        self.remove(conn, now);
        let newcomer = self.identify(conn, peer, now);
        if let Some(exceeded) = newcomer
            .address
            .and_then(|address| self.exceeded_limit(address, now))
        {
            return self.turn_away(newcomer, exceeded, out);
        }
        if !self.make_room(newcomer.reputation, now, out) {
            let full = Exceeded {
                why: RejectionReason::AtCapacity,
                wait: Duration::ZERO,
            };
            return self.turn_away(newcomer, full, out);
        }
        if let Some(address) = newcomer.address {
            self.histories.connection_opened(address);
        }
        let is_listed = newcomer.reputation == Reputation::AddressList;
        self.connections
            .insert(Connection::new(conn, newcomer.address, is_listed, now));
        self.line_up(conn, now, out);
    }

    fn identify(&mut self, conn: ConnectionId, peer: IpAddr, now: Duration) -> Newcomer {
        if self.policy.listed.contains(peer) {
            return Newcomer {
                conn,
                address: None,
                reputation: Reputation::AddressList,
            };
        }
        if !self.policy.by_address {
            return Newcomer {
                conn,
                address: None,
                reputation: Reputation::Newcomer,
            };
        }
        let address = self.histories.address_entries(&self.policy, peer);
        let is_known = self.policy.is_known(self.histories.client(address), now);
        let reputation = if is_known {
            Reputation::Known
        } else {
            Reputation::Newcomer
        };
        Newcomer {
            conn,
            address: Some(address),
            reputation,
        }
    }

    /// The first cap that the address or its neighbourhood is at, or rate that it is beyond; caps
    /// go first.
    fn exceeded_limit(&mut self, address: AddressEntries, now: Duration) -> Option<Exceeded> {
        let policy = &self.policy;
        let (client, neighbourhood) = (
            self.histories.client(address),
            self.histories.neighbourhood(address),
        );
        if policy.per_client.is_some_and(|cap| client.open >= cap) {
            return Some(Exceeded {
                why: RejectionReason::ClientCap,
                wait: Duration::ZERO,
            });
        }
        if policy
            .per_neighbourhood
            .is_some_and(|cap| neighbourhood.open >= cap)
        {
            return Some(Exceeded {
                why: RejectionReason::NeighbourhoodCap,
                wait: Duration::ZERO,
            });
        }
        let client = self.histories.clients.get_mut(address.client);
        if let Some(Err(wait)) = policy
            .rate_client
            .map(|rate| client.connects.take(now, rate))
        {
            // Hammering speaks against an address, a full one that comes again does not.
            client
                .faults
                .add(HAMMERING_FAULT, now, policy.suspect_half_life);
            return Some(Exceeded {
                why: RejectionReason::ClientRate,
                wait,
            });
        }
        let neighbourhood = self.histories.neighbourhoods.get_mut(address.neighbourhood);
        if let Some(Err(wait)) = policy
            .rate_neighbourhood
            .map(|rate| neighbourhood.connects.take(now, rate))
        {
            return Some(Exceeded {
                why: RejectionReason::NeighbourhoodRate,
                wait,
            });
        }
        None
    }

    /// Is there a place, or can one be had by eviction? Then it is free afterwards.
    fn make_room(&mut self, reputation: Reputation, now: Duration, out: &mut Vec<Action>) -> bool {
        if self.held() < self.policy.capacity {
            return true;
        }
        let Some(victim) = self.victim(reputation, now) else {
            return false;
        };
        self.close(victim, RejectionReason::Displaced, now, out);
        true
    }

    fn turn_away(&mut self, newcomer: Newcomer, exceeded: Exceeded, out: &mut Vec<Action>) {
        let Exceeded { why, wait } = exceeded;
        self.counts[why as usize] += 1;
        if let Some(address) = newcomer.address {
            self.histories
                .connection_refused(address, newcomer.reputation == Reputation::Known);
        }
        out.push(Action::RejectConnection {
            conn: newcomer.conn,
            after: wait.max(self.policy.retry_after),
            why,
        });
    }

    /// The cap that a connection's address is beyond, after one was lowered.
    pub(super) fn exceeded_cap(&self, conn: ConnectionId) -> Option<RejectionReason> {
        let address = self.connections.get(conn)?.address?;
        let is_beyond = |cap: Option<u32>, open: u32| cap.is_some_and(|cap| open > cap);
        if is_beyond(self.policy.per_client, self.histories.client(address).open) {
            return Some(RejectionReason::ClientCap);
        }
        let open = self.histories.neighbourhood(address).open;
        is_beyond(self.policy.per_neighbourhood, open).then_some(RejectionReason::NeighbourhoodCap)
    }
}
