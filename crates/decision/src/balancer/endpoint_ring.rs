//! All ready endpoints of a service by discovery's list, however few of them the ingress keeps
//! state for.

use crate::event::{EndpointEntry, EndpointState};
use crate::ids::EndpointId;
use std::collections::BTreeMap;

/// The listed endpoints, and whether they have changed since the ring was last taken.
#[derive(Default)]
pub(crate) struct EndpointRing {
    ready: BTreeMap<EndpointId, EndpointEntry>,
    changed: bool,
}

impl EndpointRing {
    /// Takes in one entry: an endpoint that is not ready is not listed.
    pub(crate) fn update(&mut self, entry: &EndpointEntry) {
        self.changed = true;
        if entry.state == EndpointState::Ready {
            self.ready.insert(entry.endpoint, *entry);
        } else {
            self.ready.remove(&entry.endpoint);
        }
    }

    /// Removes all entries: a complete list follows.
    pub(crate) fn clear(&mut self) {
        self.changed = true;
        self.ready.clear();
    }

    pub(crate) fn len(&self) -> usize {
        self.ready.len()
    }

    /// All entries in the order that every ingress agrees on, if they have changed since the last
    /// call.
    pub(crate) fn take_changed(&mut self) -> Option<Vec<EndpointEntry>> {
        std::mem::take(&mut self.changed).then(|| {
            let mut ring: Vec<EndpointEntry> = self.ready.values().copied().collect();
            ring.sort_by_key(|entry| entry.rank);
            ring
        })
    }
}
