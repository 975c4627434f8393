//! The table of open connections, and the idle ones in the order of eviction.

use super::histories::AddressEntries;
use crate::event::ConnectionId;
use crate::lists::Lists;
use crate::reputation::{Reputation, REPUTATIONS};
use std::time::Duration;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// It has no request open.
    Idle,
    /// It has requests open; it counts among the busy newcomers if it was one at the first.
    Busy { is_newcomer: bool },
}

/// What is known of an open connection.
pub(super) struct Connection {
    pub id: ConnectionId,
    /// The entries of its address, where addresses count.
    pub address: Option<AddressEntries>,
    /// The entry of the first customer that it named, where customers vouch, and whether this one
    /// does.
    pub customer: Option<u32>,
    pub is_vouched: bool,
    pub asked: u32,
    pub served: u32,
    pub faults: u32,
    pub is_listed: bool,
    pub is_ending: bool,
    pub activity: Activity,
    pub idle_since: Duration,
}

impl Connection {
    pub(super) fn new(
        id: ConnectionId,
        address: Option<AddressEntries>,
        is_listed: bool,
        now: Duration,
    ) -> Connection {
        Connection {
            id,
            address,
            customer: None,
            is_vouched: false,
            asked: 0,
            served: 0,
            faults: 0,
            is_listed,
            is_ending: false,
            activity: Activity::Idle,
            idle_since: now,
        }
    }

    /// Does it count among the newcomers with requests open?
    pub(super) fn is_busy_newcomer(&self) -> bool {
        self.activity == Activity::Busy { is_newcomer: true }
    }
}

/// Open connections by their slot.
#[derive(Default)]
pub(super) struct ConnectionTable {
    slots: Vec<Option<Connection>>,
    len: usize,
    /// Slots of idle connections by reputation, the longest idle first.
    idle: Lists<{ REPUTATIONS.len() }>,
}

impl ConnectionTable {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.at(id.slot()).filter(|connection| connection.id == id)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        let slot = self.slots.get_mut(id.slot() as usize)?;
        slot.as_mut().filter(|connection| connection.id == id)
    }

    fn at(&self, slot: u32) -> Option<&Connection> {
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

    /// Lines an idle connection up behind those of its reputation.
    pub(super) fn push_idle(&mut self, id: ConnectionId, reputation: Reputation) {
        self.idle.push(reputation as usize, id.slot());
    }

    /// The connection has requests open from now on.
    pub(super) fn remove_idle(&mut self, id: ConnectionId) {
        self.idle.remove(id.slot());
    }

    /// Idle connections of a reputation.
    pub(super) fn idle_len(&self, reputation: Reputation) -> usize {
        self.idle.len(reputation as usize)
    }

    /// The one of a reputation that has been idle for longest.
    pub(super) fn longest_idle_of(&self, reputation: Reputation) -> Option<&Connection> {
        self.at(self.idle.first(reputation as usize)?)
    }

    /// The first in the order of eviction, however short it has been idle: for bounds that were
    /// lowered.
    pub(super) fn first_to_evict(&self) -> Option<ConnectionId> {
        let first = REPUTATIONS
            .into_iter()
            .find_map(|reputation| self.longest_idle_of(reputation))?;
        Some(first.id)
    }

    /// All idle connections.
    pub(super) fn idle_in_eviction_order(&self) -> Vec<ConnectionId> {
        let idle_of = |reputation: Reputation| {
            std::iter::successors(self.idle.first(reputation as usize), |slot| {
                self.idle.after(*slot)
            })
        };
        let slots = REPUTATIONS.into_iter().flat_map(idle_of);
        slots
            .filter_map(|slot| self.at(slot))
            .map(|connection| connection.id)
            .collect()
    }

    /// The entries of addresses are no longer there.
    pub(super) fn forget_addresses(&mut self) {
        for connection in self.slots.iter_mut().flatten() {
            connection.address = None;
        }
    }
}
