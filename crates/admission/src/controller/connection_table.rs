//! The table of open connections, with queues of the idle ones in eviction order.

use super::client_histories::AddressEntries;
use crate::event::ConnectionId;
use crate::linked_lists::LinkedLists;
use crate::reputation::{Reputation, REPUTATIONS};
use std::time::Duration;

/// Whether a connection has open requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// The connection has no open request.
    Idle,
    /// The connection has open requests. `as_new_client` tells whether it belonged to a new client
    /// when the first of them was admitted.
    Busy { as_new_client: bool },
}

/// An open connection.
pub(super) struct Connection {
    pub id: ConnectionId,
    /// The history entries of its address; `None` if no limits apply to the address.
    pub address: Option<AddressEntries>,
    /// The history entry of the first customer that it named; `None` if it has named none, or if
    /// the policy trusts no customers.
    pub customer: Option<u32>,
    /// Whether it is trusted because its customer is known.
    pub is_trusted_by_customer: bool,
    /// The number of requests and other commands so far.
    pub command_count: u32,
    /// The number of served requests so far.
    pub served_count: u32,
    /// The number of protocol errors so far.
    pub fault_count: u32,
    /// Whether its address was on the allowlist when it was accepted.
    pub is_allowlisted: bool,
    pub is_half_closed: bool,
    pub activity: Activity,
    /// When it was accepted or last became idle.
    pub idle_since: Duration,
}

impl Connection {
    /// Creates an idle connection that was accepted at `now`.
    pub(super) fn new(
        id: ConnectionId,
        address: Option<AddressEntries>,
        is_allowlisted: bool,
        now: Duration,
    ) -> Connection {
        Connection {
            id,
            address,
            customer: None,
            is_trusted_by_customer: false,
            command_count: 0,
            served_count: 0,
            fault_count: 0,
            is_allowlisted,
            is_half_closed: false,
            activity: Activity::Idle,
            idle_since: now,
        }
    }

    /// Whether it counts as a new client's connection with open requests.
    pub(super) fn is_busy_new_client(&self) -> bool {
        self.activity
            == Activity::Busy {
                as_new_client: true,
            }
    }
}

/// The open connections by slot.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: Vec<Option<Connection>>,
    len: usize,
    /// The slots of idle connections, in one list per reputation, the longest idle first.
    idle: LinkedLists<{ REPUTATIONS.len() }>,
}

impl ConnectionTable {
    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.get_slot(id.slot())
            .filter(|connection| connection.id == id)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let slot = self.slots.get_mut(id.slot() as usize)?;
        slot.as_mut().filter(|connection| connection.id == id)
    }

    fn get_slot(&self, slot: u32) -> Option<&Connection> {
        self.slots.get(slot as usize)?.as_ref()
    }

    pub(super) fn insert(&mut self, connection: Connection) {
        let slot = connection.id.slot() as usize;
        if slot >= self.slots.len() {
            self.slots.resize_with(slot + 1, || None);
        }
        self.slots[slot] = Some(connection);
        self.len += 1;
    }

    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let slot = self.slots.get_mut(id.slot() as usize)?;
        let connection = slot.take_if(|connection| connection.id == id)?;
        self.idle.remove(id.slot());
        self.len -= 1;
        Some(connection)
    }

    /// Appends an idle connection to the queue of its reputation.
    pub(super) fn push_idle(&mut self, id: ConnectionId, reputation: Reputation) {
        self.idle.push_back(reputation as usize, id.slot());
    }

    /// Removes a connection from the queue of idle ones. Called when it gets an open request.
    pub(super) fn remove_idle(&mut self, id: ConnectionId) {
        self.idle.remove(id.slot());
    }

    /// Returns the number of idle connections of this reputation.
    pub(super) fn idle_len(&self, reputation: Reputation) -> usize {
        self.idle.len(reputation as usize)
    }

    /// Returns the connection of this reputation that has been idle for longest.
    pub(super) fn longest_idle_of(&self, reputation: Reputation) -> Option<&Connection> {
        self.get_slot(self.idle.first(reputation as usize)?)
    }

    /// Returns the first idle connection in eviction order, regardless of its idle time.
    pub(super) fn first_to_evict(&self) -> Option<ConnectionId> {
        let first = REPUTATIONS
            .into_iter()
            .find_map(|reputation| self.longest_idle_of(reputation))?;
        Some(first.id)
    }

    /// Returns all idle connections in eviction order.
    pub(super) fn idle_in_eviction_order(&self) -> Vec<ConnectionId> {
        let idle_slots_of = |reputation: Reputation| {
            std::iter::successors(self.idle.first(reputation as usize), |slot| {
                self.idle.next(*slot)
            })
        };
        let slots = REPUTATIONS.into_iter().flat_map(idle_slots_of);
        slots
            .filter_map(|slot| self.get_slot(slot))
            .map(|connection| connection.id)
            .collect()
    }

    /// Removes the references to the histories of addresses from all connections. Called before the
    /// histories are dropped.
    pub(super) fn forget_addresses(&mut self) {
        for connection in self.slots.iter_mut().flatten() {
            connection.address = None;
        }
    }
}
