//! Admission of new connections: the limits by address, and the capacity.

use super::client_histories::AddressEntries;
use super::connection_table::Connection;
use super::AdmissionController;
use crate::event::{Action, ConnectionId, RejectionReason};
use crate::reputation::Reputation;
use std::net::IpAddr;
use std::time::Duration;

/// The amount by which a connection that exceeds the rate of its address increases the address's
/// number of faults.
const CONNECT_RATE_FAULT_AMOUNT: f32 = 0.25;

/// A limit because of which a new connection is rejected.
struct ExceededLimit {
    reason: RejectionReason,
    /// The time after which the limit would admit the connection; zero if it is not known.
    wait: Duration,
}

/// A connection that was just accepted.
#[derive(Clone, Copy)]
struct NewConnection {
    id: ConnectionId,
    address: Option<AddressEntries>,
    /// The reputation that decides which connections may be evicted for this one: new, known or
    /// allowlisted.
    reputation: Reputation,
}

impl AdmissionController {
    pub(super) fn on_connected(
        &mut self,
        now: Duration,
        id: ConnectionId,
        peer_address: IpAddr,
        actions: &mut Vec<Action>,
    ) {
        // If the caller reuses the id of an open connection, that connection must be removed from
        // the counts.
        self.remove(id, now);
        let new = self.identify(id, peer_address, now);
        let exceeded = new
            .address
            .and_then(|address| self.exceeded_limit(address, now));
        if let Some(exceeded) = exceeded {
            return self.reject(new, exceeded, actions);
        }
        if !self.ensure_capacity(new.reputation, now, actions) {
            let at_capacity = ExceededLimit {
                reason: RejectionReason::AtCapacity,
                wait: Duration::ZERO,
            };
            return self.reject(new, at_capacity, actions);
        }
        if let Some(address) = new.address {
            self.histories.connection_opened(address);
        }
        let is_allowlisted = new.reputation == Reputation::Allowlisted;
        self.connections
            .insert(Connection::new(id, new.address, is_allowlisted, now));
        self.queue_idle(id, now, actions);
    }

    /// Looks up the history of the client's address, if limits apply to the address.
    fn identify(&mut self, id: ConnectionId, peer_address: IpAddr, now: Duration) -> NewConnection {
        if self.policy.allowlist.contains(peer_address) {
            return NewConnection {
                id,
                address: None,
                reputation: Reputation::Allowlisted,
            };
        }
        if !self.policy.identify_clients_by_address {
            return NewConnection {
                id,
                address: None,
                reputation: Reputation::New,
            };
        }
        let address = self.histories.address_entries(&self.policy, peer_address);
        let is_known = self.policy.is_known(self.histories.client(address), now);
        let reputation = if is_known {
            Reputation::Known
        } else {
            Reputation::New
        };
        NewConnection {
            id,
            address: Some(address),
            reputation,
        }
    }

    /// Returns the first limit that one more connection of the address would exceed. The caps are
    /// checked before the rates, and the limits of the client before those of its network.
    fn exceeded_limit(&mut self, address: AddressEntries, now: Duration) -> Option<ExceededLimit> {
        if let Some(reason) = self.reached_cap(address) {
            return Some(ExceededLimit {
                reason,
                wait: Duration::ZERO,
            });
        }
        let policy = &self.policy;
        let client = self.histories.clients.get_mut(address.client);
        if let Some(Err(wait)) = policy
            .client_connect_rate
            .map(|rate| client.connect_limiter.take(now, rate))
        {
            client
                .faults
                .add(CONNECT_RATE_FAULT_AMOUNT, now, policy.suspect_half_life);
            return Some(ExceededLimit {
                reason: RejectionReason::ClientRate,
                wait,
            });
        }
        let network = self.histories.networks.get_mut(address.network);
        if let Some(Err(wait)) = policy
            .network_connect_rate
            .map(|rate| network.connect_limiter.take(now, rate))
        {
            return Some(ExceededLimit {
                reason: RejectionReason::NetworkRate,
                wait,
            });
        }
        None
    }

    /// Returns the cap that the address or its network has reached, so that it may open no further
    /// connection.
    fn reached_cap(&self, address: AddressEntries) -> Option<RejectionReason> {
        let is_reached = |cap: Option<u32>, open: u32| cap.is_some_and(|cap| open >= cap);
        let client = self.histories.client(address);
        if is_reached(self.policy.max_per_client, client.open_connections) {
            return Some(RejectionReason::ClientCap);
        }
        let network = self.histories.network(address);
        is_reached(self.policy.max_per_network, network.open_connections)
            .then_some(RejectionReason::NetworkCap)
    }

    /// Returns the cap that the address of an open connection, or its network, exceeds. This
    /// happens only after a cap was lowered.
    pub(super) fn exceeded_cap(&self, id: ConnectionId) -> Option<RejectionReason> {
        let address = self.connections.get(id)?.address?;
        let is_exceeded = |cap: Option<u32>, open: u32| cap.is_some_and(|cap| open > cap);
        let client = self.histories.client(address);
        if is_exceeded(self.policy.max_per_client, client.open_connections) {
            return Some(RejectionReason::ClientCap);
        }
        let network = self.histories.network(address);
        is_exceeded(self.policy.max_per_network, network.open_connections)
            .then_some(RejectionReason::NetworkCap)
    }

    /// Ensures that there is capacity for one more connection, for which an idle one is evicted if
    /// necessary. Returns false if none may be evicted.
    fn ensure_capacity(
        &mut self,
        reputation: Reputation,
        now: Duration,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.open_connections() < self.policy.capacity {
            return true;
        }
        let Some(evicted) = self.eviction_candidate(reputation, now) else {
            return false;
        };
        self.close(evicted, RejectionReason::Evicted, now, actions);
        true
    }

    fn reject(&mut self, new: NewConnection, exceeded: ExceededLimit, actions: &mut Vec<Action>) {
        let ExceededLimit { reason, wait } = exceeded;
        self.rejection_counts.connections[reason as usize] += 1;
        if let Some(address) = new.address {
            let is_known = new.reputation == Reputation::Known;
            self.histories.connection_rejected(address, is_known);
        }
        actions.push(Action::RejectConnection {
            connection: new.id,
            retry_after: wait.max(self.policy.retry_after),
            reason,
        });
    }
}
