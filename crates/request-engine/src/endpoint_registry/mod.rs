//! The registry of the endpoints in the platform's list. It computes the changes that each new list
//! makes.
//!
//! - `endpoint`: an endpoint of the registry;
//! - `resolver`: converts the names and times in a record;
//! - `update`: the changes that a list makes;
//! - `address_index`: finds endpoints by address;
//! - `tombstones`: remembers removed endpoints;
//! - `reassignment`: moves endpoints to another service after a change of the directory.

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

/// Stores the endpoints by id. A uid that is added again after its removal gets a new id. The cost
/// of applying an incremental list is proportional to the length of the list; that of a full list,
/// to the size of the registry.
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
    /// Returns an endpoint; `None` if no list has contained it or it was removed.
    #[must_use]
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// Returns the number of endpoints that accept requests.
    #[must_use]
    pub fn ready_endpoint_count(&self) -> usize {
        self.ready_count
    }

    /// Returns the revision of the most recently applied list; 0 before the first list.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a list and returns the changes. Unreadable entries are counted and otherwise
    /// ignored.
    pub fn apply<F>(
        &mut self,
        list: &EndpointListMessage,
        resolver: &RecordResolver<F>,
    ) -> RegistryUpdate
    where
        F: Fn(f64) -> Option<Duration>,
    {
        let mut pending = PendingUpdate::default();
        let mut listed = HashSet::new();
        let mut unreadable_count = list.unreadable_count;
        for record in &list.endpoints {
            if self.is_outdated(record, list.revision, resolver.started_at(record)) {
                continue;
            }
            match self.apply_record(record, list.revision, resolver, &mut pending) {
                Some(id) if list.is_full => _ = listed.insert(id),
                Some(_) => {}
                None => unreadable_count += 1,
            }
        }
        if list.is_full {
            self.remove_unlisted(&listed, list.revision, &mut pending);
        }
        for id in std::mem::take(&mut pending.removed) {
            self.remove(id, list.revision);
        }
        self.revision = list.revision;
        pending.finish(list.is_full, unreadable_count)
    }

    /// Whether a record of a serving endpoint is older than the last known state of the endpoint.
    /// Such records come from a discovery agent that lags behind. They must neither restore an
    /// endpoint that has since been removed nor revert one that has since restarted. A record with
    /// a later start time than the known one is not outdated.
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

    /// Applies a record and returns the id of its endpoint; `None` if the record is unreadable.
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
        let id = self.get_or_assign_id(&record.uid);
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
        let previous_service = previous
            .and_then(Endpoint::service)
            .filter(|service_id| Some(*service_id) != endpoint.service);
        pending.entries.extend(
            previous_service
                .map(|service_id| endpoint.entry_in(service_id, EndpointState::Removed)),
        );
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
        self.insert_endpoint(id, endpoint);
        Some(id)
    }

    /// Returns the address in a record. If it is malformed, an endpoint that is draining or removed
    /// keeps its known address, so that the malformed address does not hide the change of state.
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

    /// Returns the id for a uid, and assigns one if the uid is new.
    fn get_or_assign_id(&mut self, uid: &str) -> EndpointId {
        if let Some(id) = self.ids_by_uid.get(uid) {
            return *id;
        }
        self.last_id += 1;
        let id = EndpointId(self.last_id);
        self.ids_by_uid.insert(uid.to_owned(), id);
        id
    }

    fn insert_endpoint(&mut self, id: EndpointId, endpoint: Endpoint) {
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

    /// Marks the other endpoints at this address for removal. They no longer exist, even if no list
    /// has removed them, since the endpoint `by` now uses their address. Their connections, load
    /// and health must not be attributed to it.
    fn supersede(&self, by: EndpointId, address: SocketAddr, pending: &mut PendingUpdate) {
        for id in self.by_address.at_address(address).filter(|id| *id != by) {
            let Some(superseded) = self.endpoints.get(&id) else {
                continue;
            };
            pending.entries.extend(superseded.removal_entry());
            pending.stale_endpoints.push(id);
            pending.removed.insert(id);
        }
    }

    /// Marks the endpoints that a full list does not contain for removal. An endpoint that is known
    /// from a later revision is kept, since the list then comes from a discovery agent that lags
    /// behind. The entry of such an endpoint is added to the update for the decision module.
    fn remove_unlisted(
        &mut self,
        listed: &HashSet<EndpointId>,
        revision: u64,
        pending: &mut PendingUpdate,
    ) {
        for (id, endpoint) in &self.endpoints {
            if listed.contains(id) || pending.removed.contains(id) {
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

    /// Removes an endpoint and keeps a tombstone, since a discovery agent that lags behind may
    /// still list the endpoint.
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
