//! The list of servers as discovery last told it.

use crate::directory::{Directory, DirectoryEffect, EndpointSelector};
use crate::list::{EndpointListMessage, EndpointRecord};
use ipnet::IpNet;
use roseyard_decision::{EndpointEntry, EndpointId, EndpointListUpdate, EndpointState, ServiceId};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A server of the list.
pub struct Endpoint {
    uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What discovery last said of it.
    pub state: EndpointState,
    started: Option<Duration>,
    /// Version of the latest word on it.
    revision: u64,
    /// What is known of it beside its service.
    entry: EndpointEntry,
    /// The service that holds it, if one does.
    service: Option<ServiceId>,
}

impl Endpoint {
    /// The service that holds it, if one does.
    pub fn service(&self) -> Option<ServiceId> {
        self.service
    }

    /// What the module is to know of it in this service.
    fn entry_in(&self, service: ServiceId, state: EndpointState) -> EndpointEntry {
        EndpointEntry {
            service,
            state,
            ..self.entry
        }
    }
}

/// Word of a server that is gone.
struct Departure {
    revision: u64,
    started: Option<Duration>,
}

/// Servers by the number that the module knows them by. A name that comes back after it was removed
/// gets a number of its own. A list of changes costs what it names; a whole list costs its length.
#[derive(Default)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    numbers: HashMap<String, EndpointId>,
    /// Servers by address: more than one may stand at an address, of which one is ready.
    places: BTreeSet<(SocketAddr, EndpointId)>,
    /// Servers that were told gone, the latest of them; and their names in that order.
    departures: HashMap<String, Departure>,
    departed: VecDeque<String>,
    ready: usize,
    last_number: u32,
    /// Version of the list.
    pub rev: u64,
}

/// So many of the servers that are gone are kept in mind: more than a zone loses while an agent is
/// behind.
const DEPARTURES_KEPT: usize = 8192;

/// FNV-1a: the same at every ingress, whatever order it heard of the servers in.
fn rank(uid: &str) -> u64 {
    uid.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// What a list changed.
pub struct RegistryUpdate {
    /// For the module.
    pub update: EndpointListUpdate,
    /// Servers that drain, are gone, have restarted or have moved: idle connections to them are of
    /// no more use.
    pub stale: Vec<EndpointId>,
    /// Entries that could not be read.
    pub bad: usize,
}

/// What the words of a list are read by.
pub struct EntryContext<'a, F> {
    /// Names of the zones, by number.
    pub zones: &'a [String],
    /// Which service a server belongs to.
    pub directory: &'a Directory,
    /// Turns a Unix time in milliseconds into one of the engine's; none for long ago.
    pub started: F,
}

/// What a list in work has found so far.
#[derive(Default)]
struct Found {
    entries: Vec<EndpointEntry>,
    stale: Vec<EndpointId>,
    /// Told gone, and not told to serve again since.
    gone: BTreeSet<EndpointId>,
}

impl EndpointRegistry {
    /// A server, if the list has named it.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// Servers that are ready.
    pub fn ready(&self) -> usize {
        self.ready
    }

    /// Takes a list in.
    pub fn apply<F>(
        &mut self,
        list: &EndpointListMessage,
        reading: &EntryContext<F>,
    ) -> RegistryUpdate
    where
        F: Fn(f64) -> Option<Duration>,
    {
        let mut found = Found::default();
        let mut named = HashSet::new();
        let mut bad = list.unreadable;
        for target in &list.targets {
            if self.outdated(target, list.rev, (reading.started)(target.boot_ms)) {
                continue;
            }
            match self.take(target, list.rev, reading, &mut found) {
                Some(id) if list.all => _ = named.insert(id),
                Some(_) => {}
                None => bad += 1,
            }
        }
        if list.all {
            self.end_unnamed(&named, list.rev, &mut found);
        }
        for id in std::mem::take(&mut found.gone) {
            self.remove(id, list.rev);
        }
        self.rev = list.rev;
        let Found { entries, stale, .. } = found;
        let update = if list.all {
            EndpointListUpdate::Full(entries)
        } else {
            EndpointListUpdate::Changes(entries)
        };
        RegistryUpdate { update, stale, bad }
    }

    /// Guards against an agent that is behind: an older word that a server serves does not bring
    /// back one that was told to leave since, nor the time of its start before the last. One that
    /// has started since counts.
    fn outdated(&self, target: &EndpointRecord, revision: u64, started: Option<Duration>) -> bool {
        if target.state != "SERVING" {
            return false;
        }
        let later = |told: u64, since: Option<Duration>| revision < told && started <= since;
        let held = self
            .numbers
            .get(&target.uid)
            .and_then(|id| self.endpoints.get(id));
        let departure = self.departures.get(&target.uid);
        held.is_some_and(|s| later(s.revision, s.started))
            || departure.is_some_and(|d| later(d.revision, d.started))
    }

    /// Takes an entry in; none if it cannot be read.
    fn take<F>(
        &mut self,
        target: &EndpointRecord,
        revision: u64,
        reading: &EntryContext<F>,
        found: &mut Found,
    ) -> Option<EndpointId>
    where
        F: Fn(f64) -> Option<Duration>,
    {
        let state = match target.state.as_str() {
            "SERVING" => EndpointState::Ready,
            "DRAINING" => EndpointState::Draining,
            "DELETED" => EndpointState::Removed,
            _ => return None,
        };
        let held = self
            .numbers
            .get(&target.uid)
            .and_then(|id| self.endpoints.get(id));
        let before = held.map(|s| (s.address, s.started, s.service));
        // Where one that leaves listens is known: word of its leaving counts whatever else cannot
        // be read.
        let known = before
            .map(|(address, ..)| address)
            .filter(|_| state != EndpointState::Ready);
        let address: SocketAddr = target.address.parse().ok().or(known)?;
        let started = (reading.started)(target.boot_ms);
        let id = self.number(&target.uid);
        let service = reading.directory.service_of_endpoint(&target.uid, address);
        let entry = EndpointEntry {
            endpoint: id,
            service: ServiceId::default(),
            zone: reading
                .zones
                .iter()
                .position(|z| *z == target.az)
                .unwrap_or(0) as u16,
            cell: target.pod_group,
            state,
            weight: target.capacity_hint,
            rank: rank(&target.uid),
            started_at: started,
        };
        let uid = target.uid.clone();
        let revision = self
            .endpoints
            .get(&id)
            .map_or(revision, |s| s.revision.max(revision));
        let endpoint = Endpoint {
            uid,
            address,
            state,
            started,
            revision,
            entry,
            service,
        };
        if state == EndpointState::Removed {
            found.gone.insert(id);
        } else {
            found.gone.remove(&id);
        }
        let same = before.is_none_or(|(at, since, _)| since == started && at == address);
        if state != EndpointState::Ready || !same {
            found.stale.push(id);
        }
        if let Some(left) = before
            .and_then(|(.., service)| service)
            .filter(|left| Some(*left) != service)
        {
            found
                .entries
                .push(endpoint.entry_in(left, EndpointState::Removed));
        }
        if state == EndpointState::Ready && before.map(|(at, ..)| at) != Some(address) {
            self.supersede(id, address, found);
        }
        found
            .entries
            .extend(service.map(|service| endpoint.entry_in(service, state)));
        self.put(id, endpoint);
        Some(id)
    }

    /// The number of a name.
    fn number(&mut self, uid: &str) -> EndpointId {
        if let Some(id) = self.numbers.get(uid) {
            return *id;
        }
        self.last_number += 1;
        let id = EndpointId(self.last_number);
        self.numbers.insert(uid.to_owned(), id);
        id
    }

    fn put(&mut self, id: EndpointId, endpoint: Endpoint) {
        self.ready += usize::from(endpoint.state == EndpointState::Ready);
        self.places.insert((endpoint.address, id));
        if let Some(before) = self.endpoints.insert(id, endpoint) {
            self.ready -= usize::from(before.state == EndpointState::Ready);
            if self
                .endpoints
                .get(&id)
                .is_some_and(|now| now.address != before.address)
            {
                self.places.remove(&(before.address, id));
            }
        }
    }

    /// Guards against a new server at the address of one that is gone but was not told gone: the
    /// old one's connections, load and health are not the new one's.
    fn supersede(&mut self, by: EndpointId, address: SocketAddr, found: &mut Found) {
        let at_address = self
            .places
            .range((address, EndpointId(0))..=(address, EndpointId(u32::MAX)));
        let others: Vec<EndpointId> = at_address
            .map(|(_, id)| *id)
            .filter(|id| *id != by)
            .collect();
        for id in others {
            let Some(old) = self.endpoints.get(&id) else {
                continue;
            };
            found.entries.extend(
                old.service
                    .map(|service| old.entry_in(service, EndpointState::Removed)),
            );
            found.stale.push(id);
            found.gone.insert(id);
        }
    }

    /// A whole list ends what it does not name.
    fn end_unnamed(&mut self, named: &HashSet<EndpointId>, revision: u64, found: &mut Found) {
        let ended: Vec<EndpointId> = self
            .endpoints
            .keys()
            .copied()
            .filter(|id| !named.contains(id))
            .collect();
        for id in ended {
            let Some(endpoint) = self
                .endpoints
                .get(&id)
                .filter(|_| !found.gone.contains(&id))
            else {
                continue;
            };
            if endpoint.revision <= revision {
                found.stale.push(id);
                found.gone.insert(id);
            } else {
                // Guards against an agent that is behind, or has nothing yet: what it lacks is
                // newer than its list, is kept, and is told to the module with the rest.
                found.entries.extend(
                    endpoint
                        .service
                        .map(|service| endpoint.entry_in(service, endpoint.state)),
                );
            }
        }
    }

    /// Forgets a server that is gone, but for its name, which an agent that is behind may still
    /// tell.
    fn remove(&mut self, id: EndpointId, revision: u64) {
        let Some(endpoint) = self.endpoints.remove(&id) else {
            return;
        };
        self.ready -= usize::from(endpoint.state == EndpointState::Ready);
        self.places.remove(&(endpoint.address, id));
        self.numbers.remove(&endpoint.uid);
        let departure = Departure {
            revision: endpoint.revision.max(revision),
            started: endpoint.started,
        };
        if self
            .departures
            .insert(endpoint.uid.clone(), departure)
            .is_none()
        {
            self.departed.push_back(endpoint.uid);
        }
        while self.departed.len() > DEPARTURES_KEPT {
            if let Some(oldest) = self.departed.pop_front() {
                self.departures.remove(&oldest);
            }
        }
    }

    /// The directory has changed: what the module is to be told of the servers that have moved to
    /// another service.
    pub fn reassign(
        &mut self,
        effect: &DirectoryEffect,
        directory: &Directory,
    ) -> Vec<EndpointEntry> {
        let mut entries = Vec::new();
        for id in self.concerned(effect) {
            let Some(endpoint) = self.endpoints.get_mut(&id) else {
                continue;
            };
            let service = directory.service_of_endpoint(&endpoint.uid, endpoint.address);
            let left = std::mem::replace(&mut endpoint.service, service);
            if left == service {
                continue;
            }
            entries.extend(left.map(|left| endpoint.entry_in(left, EndpointState::Removed)));
            entries.extend(service.map(|service| endpoint.entry_in(service, endpoint.state)));
        }
        entries
    }

    /// The servers that a change of the directory may have moved.
    fn concerned(&self, effect: &DirectoryEffect) -> Vec<EndpointId> {
        match effect {
            DirectoryEffect::Unchanged
            | DirectoryEffect::Added(_)
            | DirectoryEffect::Removed(_) => Vec::new(),
            DirectoryEffect::Reassigned(EndpointSelector::Uid(uid)) => {
                self.numbers.get(&**uid).copied().into_iter().collect()
            }
            DirectoryEffect::Reassigned(EndpointSelector::Network(network)) => {
                self.in_network(*network)
            }
            DirectoryEffect::DefaultReassigned | DirectoryEffect::AllReassigned => {
                self.endpoints.keys().copied().collect()
            }
        }
    }

    fn in_network(&self, network: IpNet) -> Vec<EndpointId> {
        let first = (SocketAddr::new(network.network(), 0), EndpointId(0));
        let last = (
            SocketAddr::new(last_address(network), u16::MAX),
            EndpointId(u32::MAX),
        );
        self.places.range(first..=last).map(|(_, id)| *id).collect()
    }
}

/// The last address of a network.
fn last_address(network: IpNet) -> IpAddr {
    match network {
        IpNet::V4(network) => network.broadcast().into(),
        IpNet::V6(network) => network.broadcast().into(),
    }
}
