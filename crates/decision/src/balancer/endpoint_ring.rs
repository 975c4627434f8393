//! All ready endpoints of a service according to discovery's endpoint list, including those that
//! the ingress keeps no state for.

use crate::event::{EndpointEntry, EndpointState};
use crate::ids::EndpointId;
use std::collections::BTreeMap;

/// The ready endpoints of a service, from which the order on the ring is derived.
#[derive(Default)]
pub(crate) struct EndpointRing {
    ready: BTreeMap<EndpointId, EndpointEntry>,
    /// Whether entries have changed since the last call of [`EndpointRing::take_changed`].
    changed: bool,
}

impl EndpointRing {
    /// Adds or updates an entry. The entry of an endpoint that is not ready is removed.
    pub(crate) fn update(&mut self, entry: &EndpointEntry) {
        self.changed = true;
        if entry.state == EndpointState::Ready {
            self.ready.insert(entry.endpoint, *entry);
        } else {
            self.ready.remove(&entry.endpoint);
        }
    }

    /// Removes all entries. Called before the entries of a complete list are added.
    pub(crate) fn clear(&mut self) {
        self.changed = true;
        self.ready.clear();
    }

    /// Returns the number of ready endpoints.
    pub(crate) fn len(&self) -> usize {
        self.ready.len()
    }

    /// Returns all entries in ring order, which is the same at every ingress, or `None` if no entry
    /// has changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Option<Vec<EndpointEntry>> {
        std::mem::take(&mut self.changed).then(|| {
            let mut ring: Vec<EndpointEntry> = self.ready.values().copied().collect();
            ring.sort_by_key(|entry| entry.rank);
            ring
        })
    }
}
