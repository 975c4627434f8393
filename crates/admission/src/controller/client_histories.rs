//! The histories of client addresses, networks and customers.

use crate::decaying_score::DecayingScore;
use crate::history_cache::{ClientHistory, HistoryCache};
use crate::policy::AdmissionPolicy;
use crate::snapshot::{ClientRecord, Snapshot};
use std::hash::Hash;
use std::net::IpAddr;
use std::time::Duration;

/// The decayed number of served requests below which a client is not stored in a snapshot.
const MIN_STORED_SERVED_REQUESTS: f32 = 0.5;
/// The maximum number of served requests that a record of a snapshot is restored with.
const MAX_RESTORED_SERVED_REQUESTS: f32 = 1e6;

/// The indexes of an address and its network in the caches.
#[derive(Clone, Copy, Debug)]
pub(super) struct AddressEntries {
    pub client: u32,
    pub network: u32,
}

/// The number of histories that are kept, and the memory that they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheSizes {
    /// The number of client addresses.
    pub clients: usize,
    /// The number of networks.
    pub networks: usize,
    /// The number of customers.
    pub customers: usize,
    /// The memory of all three caches, in bytes.
    pub bytes: usize,
}

/// The caches of the histories of client addresses, networks and customers.
pub(super) struct ClientHistories {
    pub clients: HistoryCache<u128>,
    pub networks: HistoryCache<u128>,
    pub customers: HistoryCache<u64>,
    secret: u64,
}

/// Derives the hash secret of a cache from the controller's secret.
fn hash_secret(secret: u64, cache_number: u64) -> (u64, u64) {
    (
        secret,
        secret.rotate_left(29) ^ cache_number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    )
}

impl ClientHistories {
    /// Creates empty caches with this capacity each.
    pub(super) fn new(capacity: usize, secret: u64) -> ClientHistories {
        ClientHistories {
            clients: HistoryCache::new(capacity, hash_secret(secret, 1)),
            networks: HistoryCache::new(capacity, hash_secret(secret, 2)),
            customers: HistoryCache::new(capacity, hash_secret(secret, 3)),
            secret,
        }
    }

    /// Drops the histories of addresses and networks, including their counts of open connections.
    pub(super) fn forget_addresses(&mut self, capacity: usize) {
        self.clients = HistoryCache::new(capacity, hash_secret(self.secret, 1));
        self.networks = HistoryCache::new(capacity, hash_secret(self.secret, 2));
    }

    /// Changes the capacity of each cache.
    pub(super) fn resize(&mut self, capacity: usize) {
        self.clients.resize(capacity);
        self.networks.resize(capacity);
        self.customers.resize(capacity);
    }

    pub(super) fn sizes(&self) -> CacheSizes {
        CacheSizes {
            clients: self.clients.len(),
            networks: self.networks.len(),
            customers: self.customers.len(),
            bytes: self.clients.bytes() + self.networks.bytes() + self.customers.bytes(),
        }
    }

    /// Returns the entries of an address and its network, which are inserted if they are missing.
    pub(super) fn address_entries(
        &mut self,
        policy: &AdmissionPolicy,
        address: IpAddr,
    ) -> AddressEntries {
        let prefix_lengths = &policy.prefix_lengths;
        AddressEntries {
            client: self
                .clients
                .find_or_insert(prefix_lengths.client_key(address)),
            network: self
                .networks
                .find_or_insert(prefix_lengths.network_key(address)),
        }
    }

    pub(super) fn client(&self, address: AddressEntries) -> &ClientHistory {
        self.clients.get(address.client)
    }

    pub(super) fn network(&self, address: AddressEntries) -> &ClientHistory {
        self.networks.get(address.network)
    }

    pub(super) fn connection_opened(&mut self, address: AddressEntries) {
        self.clients.connection_opened(address.client);
        self.networks.connection_opened(address.network);
    }

    pub(super) fn connection_closed(&mut self, address: AddressEntries, is_known: bool) {
        self.clients.connection_closed(address.client, is_known);
        self.networks.connection_closed(address.network, false);
    }

    /// Assigns the entries of an address to their segments. Called when its connection is rejected,
    /// as no closing will follow that assigns them.
    pub(super) fn connection_rejected(&mut self, address: AddressEntries, is_known: bool) {
        self.clients.assign_segment(address.client, is_known);
        self.networks.assign_segment(address.network, false);
    }

    /// Returns a snapshot of up to `max_records` addresses, and as many customers, that had
    /// requests served.
    pub(super) fn snapshot(
        &self,
        max_records: usize,
        now: Duration,
        half_life: Duration,
    ) -> Snapshot {
        Snapshot {
            clients: records_to_store(&self.clients, now, half_life)
                .take(max_records)
                .collect(),
            customers: records_to_store(&self.customers, now, half_life)
                .take(max_records)
                .collect(),
        }
    }

    /// Adds the records of a snapshot that was written `age` ago.
    pub(super) fn restore(
        &mut self,
        snapshot: &Snapshot,
        age: Duration,
        now: Duration,
        policy: &AdmissionPolicy,
    ) {
        restore_records(&mut self.clients, &snapshot.clients, age, now, policy);
        restore_records(&mut self.customers, &snapshot.customers, age, now, policy);
    }
}

fn records_to_store<K: Hash + Eq + Copy>(
    cache: &HistoryCache<K>,
    now: Duration,
    half_life: Duration,
) -> impl Iterator<Item = ClientRecord<K>> + '_ {
    cache
        .open_and_protected()
        .map(move |(key, history)| ClientRecord {
            key,
            served: history.served.at(now, half_life),
        })
        .filter(|record| record.served >= MIN_STORED_SERVED_REQUESTS)
}

fn restore_records<K: Hash + Eq + Copy>(
    cache: &mut HistoryCache<K>,
    records: &[ClientRecord<K>],
    age: Duration,
    now: Duration,
    policy: &AdmissionPolicy,
) {
    // The records are ordered from the most recent to the oldest. The most recent are inserted
    // last, so that they are evicted last.
    for record in records.iter().rev() {
        let served_when_written = record.served.clamp(0.0, MAX_RESTORED_SERVED_REQUESTS);
        let served =
            DecayingScore::new(served_when_written, Duration::ZERO).at(age, policy.known_half_life);
        let index = cache.find_or_insert(record.key);
        cache.get_mut(index).served = DecayingScore::new(served, now);
        cache.assign_segment(index, served >= policy.known_after_served_requests);
    }
}
