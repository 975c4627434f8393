//! What an endpoint list changes.

use roseyard_decision::{EndpointEntry, EndpointId, EndpointListUpdate};
use std::collections::BTreeSet;

/// What an endpoint list has changed.
pub struct RegistryUpdate {
    /// The changes for the decision module, in its order.
    pub update: EndpointListUpdate,
    /// Endpoints that drain, are gone, have restarted or have another address: idle connections to
    /// them are of no more use.
    pub stale_endpoints: Vec<EndpointId>,
    /// Number of entries that could not be read, those of the message included.
    pub unreadable_count: usize,
}

/// What the driver has to know of an endpoint list that was applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedEndpointList {
    /// Endpoints whose idle connections are of no more use.
    pub stale_endpoints: Vec<EndpointId>,
    /// Number of entries that could not be read.
    pub unreadable_count: usize,
}

/// The changes that the entries of a list have made so far.
#[derive(Default)]
pub(super) struct PendingUpdate {
    pub(super) entries: Vec<EndpointEntry>,
    pub(super) stale_endpoints: Vec<EndpointId>,
    /// Endpoints that the list removes, and has not named as serving since.
    pub(super) removed: BTreeSet<EndpointId>,
}

impl PendingUpdate {
    /// The update for the decision module and the driver.
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
