//! All servers of a service that discovery names as ready, however few of them the gateway keeps a
//! state for.

use crate::event::{EndpointEntry, EndpointState};
use crate::ids::EndpointId;
use std::collections::BTreeMap;

/// The servers, and whether they have changed since the ring was taken.
#[derive(Default)]
pub(crate) struct Roster {
    ready: BTreeMap<EndpointId, EndpointEntry>,
    changed: bool,
}

impl Roster {
    /// Takes one entry in: a server that is not ready is not listed.
    pub(crate) fn update(&mut self, entry: &EndpointEntry) {
        self.changed = true;
        if entry.state == EndpointState::Ready {
            self.ready.insert(entry.endpoint, *entry);
        } else {
            self.ready.remove(&entry.endpoint);
        }
    }

    /// Forgets all of them: a whole list follows.
    pub(crate) fn clear(&mut self) {
        self.changed = true;
        self.ready.clear();
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.ready.len()
    }

    /// All of them in the order that every gateway agrees on, if they have changed since the last
    /// call.
    pub(crate) fn take_changed_ring(&mut self) -> Option<Vec<EndpointEntry>> {
        std::mem::take(&mut self.changed).then(|| {
            let mut ring: Vec<EndpointEntry> = self.ready.values().copied().collect();
            ring.sort_by_key(|entry| entry.rank);
            ring
        })
    }
}
