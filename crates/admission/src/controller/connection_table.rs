//! The table of open connections, with the idle ones in the order of eviction.

use super::client_histories::AddressEntries;
use crate::event::ConnectionId;
use crate::linked_lists::LinkedLists;
use crate::reputation::{Reputation, REPUTATIONS};
use std::time::Duration;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// It has no request open.
    Idle,
    /// It has requests open; `as_new_client` if it was a new client's when the first was opened.
    Busy { as_new_client: bool },
}

/// An open connection.
pub(super) struct Connection {
    pub id: ConnectionId,
    /// The history entries of its address, if limits go by address.
    pub address: Option<AddressEntries>,
    /// The history entry of the first customer that it named, if customers are trusted.
    pub customer: Option<u32>,
    /// Was it trusted for its customer?
    pub is_trusted_by_customer: bool,
    /// Requests and other commands so far.
    pub command_count: u32,
    /// Requests served so far.
    pub served_count: u32,
    /// Protocol errors so far.
    pub fault_count: u32,
    /// Is its address on the allowlist?
    pub is_allowlisted: bool,
    pub is_half_closed: bool,
    pub activity: Activity,
    /// When it became idle last.
    pub idle_since: Duration,
}

impl Connection {
    /// A connection that was just accepted, and is idle.
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

    /// Does it count among the new clients with requests open?
    pub(super) fn is_busy_new_client(&self) -> bool {
        self.activity
            == Activity::Busy {
                as_new_client: true,
            }
    }
}

/// Open connections by their slot.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: Vec<Option<Connection>>,
    len: usize,
    /// Slots of idle connections by reputation, the longest idle first.
    idle: LinkedLists<{ REPUTATIONS.len() }>,
}

impl ConnectionTable {
    /// The number of open connections.
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

    /// Queues an idle connection behind those of its reputation.
    pub(super) fn push_idle(&mut self, id: ConnectionId, reputation: Reputation) {
        self.idle.push_back(reputation as usize, id.slot());
    }

    /// Removes a connection from the idle ones, as it has requests open.
    pub(super) fn remove_idle(&mut self, id: ConnectionId) {
        self.idle.remove(id.slot());
    }

    /// The number of idle connections of a reputation.
    pub(super) fn idle_len(&self, reputation: Reputation) -> usize {
        self.idle.len(reputation as usize)
    }

    /// The connection of a reputation that has been idle for longest.
    pub(super) fn longest_idle_of(&self, reputation: Reputation) -> Option<&Connection> {
        self.get_slot(self.idle.first(reputation as usize)?)
    }

    /// The first idle connection in the order of eviction, whatever its idle time.
    pub(super) fn first_to_evict(&self) -> Option<ConnectionId> {
        let first = REPUTATIONS
            .into_iter()
            .find_map(|reputation| self.longest_idle_of(reputation))?;
        Some(first.id)
    }

    /// All idle connections, in the order of eviction.
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

    /// Drops the history entries of all addresses.
    pub(super) fn forget_addresses(&mut self) {
        for connection in self.slots.iter_mut().flatten() {
            connection.address = None;
        }
    }
}
