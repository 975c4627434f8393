//! The changes that an endpoint list makes.

use roseyard_decision::{EndpointEntry, EndpointId, EndpointListUpdate};
use std::collections::BTreeSet;

/// The changes that an endpoint list has made to the registry.
pub struct RegistryUpdate {
    /// The update for the decision module.
    pub update: EndpointListUpdate,
    /// The endpoints that are draining, were removed, have restarted or have changed their address.
    /// Idle connections to them must no longer be used.
    pub stale_endpoints: Vec<EndpointId>,
    /// The number of unreadable entries, including those that could not be decoded.
    pub unreadable_count: usize,
}

/// The information for the driver about an endpoint list that was applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedEndpointList {
    /// The endpoints whose idle connections must no longer be used.
    pub stale_endpoints: Vec<EndpointId>,
    /// The number of unreadable entries, which were ignored.
    pub unreadable_count: usize,
}

/// The changes of the entries of a list that have been processed so far.
#[derive(Default)]
pub(super) struct PendingUpdate {
    pub(super) entries: Vec<EndpointEntry>,
    pub(super) stale_endpoints: Vec<EndpointId>,
    /// The endpoints to remove after all entries have been processed. A later entry of the list
    /// that restores an endpoint takes it out of this set.
    pub(super) removed: BTreeSet<EndpointId>,
}

impl PendingUpdate {
    /// Returns the update for the decision module and the driver.
    pub(super) fn finish(self, is_full: bool, unreadable_count: usize) -> RegistryUpdate {
        let update = if is_full {
            EndpointListUpdate::Full(self.entries)
        } else {
            EndpointListUpdate::Changes(self.entries)
        };
        RegistryUpdate {
            update,
            stale_endpoints: self.stale_endpoints,
            unreadable_count,
        }
    }
}
