//! The endpoints of the platform's list, and what each new list changes.
//!
//! - `endpoint`: one endpoint;
//! - `resolver`: the names and times in a record;
//! - `update`: what a list changes;
//! - `address_index`: endpoints by address;
//! - `tombstones`: endpoints that are gone;
//! - `reassignment`: endpoints that change their service.

mod address_index;
mod endpoint;
mod reassignment;
mod resolver;
mod tombstones;
mod update;

pub use endpoint::Endpoint;
pub use resolver::RecordResolver;
pub use update::{AppliedEndpointList, RegistryUpdate};

use crate::endpoint_list_message::{EndpointListMessage, EndpointRecord, EndpointRecordState};
use address_index::AddressIndex;
use resolver::endpoint_state;
use roseyard_decision::{EndpointId, EndpointState};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tombstones::{Tombstone, Tombstones};
use update::PendingUpdate;

/// Endpoints by the id that the decision module knows them by. A uid that comes back after it was
/// removed gets a new id. A list of changes costs its own length; a full list costs the length of
/// the registry.
#[derive(Default)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    ids_by_uid: HashMap<String, EndpointId>,
    by_address: AddressIndex,
    tombstones: Tombstones,
    ready_count: usize,
    last_id: u32,
    revision: u64,
}

impl EndpointRegistry {
    /// An endpoint; none: no list has named it, or it is gone.
    #[must_use]
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// Number of endpoints that accept requests.
    #[must_use]
    pub fn ready_endpoint_count(&self) -> usize {
        self.ready_count
    }

    /// Revision of the list that was applied last; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a list. An entry that cannot be read is counted and changes nothing.
    pub fn apply<F>(
        &mut self,
        list: &EndpointListMessage,
        resolver: &RecordResolver<F>,
    ) -> RegistryUpdate
    where
        F: Fn(f64) -> Option<Duration>,
    {
        let mut pending = PendingUpdate::default();
        let mut named = HashSet::new();
        let mut unreadable_count = list.unreadable_count;
        for record in &list.endpoints {
            if self.is_outdated(record, list.revision, resolver.started_at(record)) {
                continue;
            }
            match self.apply_record(record, list.revision, resolver, &mut pending) {
                Some(id) if list.is_full => _ = named.insert(id),
                Some(_) => {}
                None => unreadable_count += 1,
            }
        }
        if list.is_full {
            self.remove_unnamed(&named, list.revision, &mut pending);
        }
        for id in std::mem::take(&mut pending.removed) {
            self.remove(id, list.revision);
        }
        self.revision = list.revision;
        pending.finish(list.is_full, unreadable_count)
    }

    /// Whether a record that names an endpoint as serving is older than what is known of it. Such a
    /// record, of an agent that is behind, neither brings back an endpoint that has left since nor
    /// its start before the last. One that has started since is not outdated.
    fn is_outdated(
        &self,
        record: &EndpointRecord,
        revision: u64,
        started_at: Option<Duration>,
    ) -> bool {
        if record.state != EndpointRecordState::Serving {
            return false;
        }
        let is_older_than = |known_revision: u64, known_start: Option<Duration>| {
            revision < known_revision && started_at <= known_start
        };
        let known = self.get_by_uid(&record.uid);
        let tombstone = self.tombstones.get(&record.uid);
        known.is_some_and(|known| is_older_than(known.revision, known.started_at()))
            || tombstone
                .is_some_and(|tombstone| is_older_than(tombstone.revision, tombstone.started_at))
    }

    /// Applies one record; none if it cannot be read.
    fn apply_record<F>(
        &mut self,
        record: &EndpointRecord,
        revision: u64,
        resolver: &RecordResolver<F>,
        pending: &mut PendingUpdate,
    ) -> Option<EndpointId>
    where
        F: Fn(f64) -> Option<Duration>,
    {
        let state = endpoint_state(record.state)?;
        let address = self.address_of(record, state)?;
        let started_at = resolver.started_at(record);
        let id = self.id_of(&record.uid);
        let previous = self.endpoints.get(&id);
        let endpoint = Endpoint {
            uid: record.uid.clone(),
            address,
            revision: previous.map_or(revision, |previous| previous.revision.max(revision)),
            entry: resolver.entry(record, id, state, started_at),
            service: resolver.service(&record.uid, address),
        };
        let has_moved = previous.is_none_or(|previous| previous.address != address);
        let is_same_process = previous.is_none_or(|previous| {
            previous.started_at() == started_at && previous.address == address
        });
        let left_service = previous
            .and_then(Endpoint::service)
            .filter(|left| Some(*left) != endpoint.service);
        pending
            .entries
            .extend(left_service.map(|left| endpoint.entry_in(left, EndpointState::Removed)));
        if state == EndpointState::Removed {
            pending.removed.insert(id);
        } else {
            pending.removed.remove(&id);
        }
        if state != EndpointState::Ready || !is_same_process {
            pending.stale_endpoints.push(id);
        }
        if state == EndpointState::Ready && has_moved {
            self.supersede(id, address, pending);
        }
        pending.entries.extend(endpoint.current_entry());
        self.put(id, endpoint);
        Some(id)
    }

    /// The address in a record. For an endpoint that leaves, the known address stands in for one
    /// that cannot be read: its leaving counts whatever else is unreadable.
    fn address_of(&self, record: &EndpointRecord, state: EndpointState) -> Option<SocketAddr> {
        if let Ok(address) = record.address.parse() {
            return Some(address);
        }
        if state == EndpointState::Ready {
            return None;
        }
        self.get_by_uid(&record.uid).map(|known| known.address)
    }

    fn get_by_uid(&self, uid: &str) -> Option<&Endpoint> {
        let id = self.ids_by_uid.get(uid)?;
        self.endpoints.get(id)
    }

    /// The id of a uid, a new one if it has none.
    fn id_of(&mut self, uid: &str) -> EndpointId {
        if let Some(id) = self.ids_by_uid.get(uid) {
            return *id;
        }
        self.last_id += 1;
        let id = EndpointId(self.last_id);
        self.ids_by_uid.insert(uid.to_owned(), id);
        id
    }

    fn put(&mut self, id: EndpointId, endpoint: Endpoint) {
        let address = endpoint.address;
        self.ready_count += usize::from(endpoint.is_ready());
        self.by_address.insert(address, id);
        if let Some(previous) = self.endpoints.insert(id, endpoint) {
            self.ready_count -= usize::from(previous.is_ready());
            if previous.address != address {
                self.by_address.remove(previous.address, id);
            }
        }
    }

    /// Removes the other endpoints at this address. They are gone though no list said so: their
    /// connections, load and health are not those of the endpoint that has taken the address.
    fn supersede(&self, by: EndpointId, address: SocketAddr, pending: &mut PendingUpdate) {
        for id in self.by_address.at(address).filter(|id| *id != by) {
            let Some(superseded) = self.endpoints.get(&id) else {
                continue;
            };
            pending.entries.extend(superseded.removal_entry());
            pending.stale_endpoints.push(id);
            pending.removed.insert(id);
        }
    }

    /// Removes the endpoints that a full list does not name. Those that were named by a later
    /// revision are kept, since the list is of an agent that is behind, and are passed on to the
    /// decision module with the others.
    fn remove_unnamed(
        &mut self,
        named: &HashSet<EndpointId>,
        revision: u64,
        pending: &mut PendingUpdate,
    ) {
        for (id, endpoint) in &self.endpoints {
            if named.contains(id) || pending.removed.contains(id) {
                continue;
            }
            if endpoint.revision <= revision {
                pending.stale_endpoints.push(*id);
                pending.removed.insert(*id);
            } else {
                pending.entries.extend(endpoint.current_entry());
            }
        }
    }

    /// Removes an endpoint and keeps a tombstone, since an agent that is behind may still name it.
    fn remove(&mut self, id: EndpointId, revision: u64) {
        let Some(endpoint) = self.endpoints.remove(&id) else {
            return;
        };
        self.ready_count -= usize::from(endpoint.is_ready());
        self.by_address.remove(endpoint.address, id);
        self.ids_by_uid.remove(&endpoint.uid);
        let tombstone = Tombstone {
            revision: endpoint.revision.max(revision),
            started_at: endpoint.started_at(),
        };
        self.tombstones.insert(endpoint.uid, tombstone);
    }
}
