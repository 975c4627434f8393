//! What is remembered of client addresses, their neighbourhoods and customers.

use crate::history::{DecayingScore, History, HistoryCache};
use crate::policy::AdmissionPolicy;
use crate::snapshot::{ClientRecord, Snapshot};
use std::hash::Hash;
use std::net::IpAddr;
use std::time::Duration;

/// What has faded below this score is not kept over a restart.
const LEAST_KEPT_SCORE: f32 = 0.5;
/// Bound on what a snapshot may say of one client.
const MAX_RECALLED_SCORE: f32 = 1e6;

/// The entries of an address in the caches.
#[derive(Clone, Copy, Debug)]
pub(super) struct AddressEntries {
    pub client: u32,
    pub neighbourhood: u32,
}

/// How much is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheSizes {
    /// Client addresses.
    pub clients: usize,
    /// Neighbourhoods of addresses.
    pub neighbourhoods: usize,
    /// Customers.
    pub customers: usize,
    /// Bytes that all of them take.
    pub bytes: usize,
}

/// The three caches.
pub(super) struct Histories {
    pub clients: HistoryCache<u128>,
    pub neighbourhoods: HistoryCache<u128>,
    pub customers: HistoryCache<u64>,
    secret: u64,
}

/// A hash secret for each cache.
fn hash_secret(secret: u64, cache: u64) -> (u64, u64) {
    (
        secret,
        secret.rotate_left(29) ^ cache.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    )
}

impl Histories {
    /// Empty caches of this capacity each.
    pub(super) fn new(capacity: usize, secret: u64) -> Histories {
        Histories {
            clients: HistoryCache::new(capacity, hash_secret(secret, 1)),
            neighbourhoods: HistoryCache::new(capacity, hash_secret(secret, 2)),
            customers: HistoryCache::new(capacity, hash_secret(secret, 3)),
            secret,
        }
    }

    /// Drops what is remembered of addresses, with their counts of connections.
    pub(super) fn forget_addresses(&mut self, capacity: usize) {
        self.clients = HistoryCache::new(capacity, hash_secret(self.secret, 1));
        self.neighbourhoods = HistoryCache::new(capacity, hash_secret(self.secret, 2));
    }

    pub(super) fn resize(&mut self, capacity: usize) {
        self.clients.resize(capacity);
        self.neighbourhoods.resize(capacity);
        self.customers.resize(capacity);
    }

    pub(super) fn sizes(&self) -> CacheSizes {
        CacheSizes {
            clients: self.clients.len(),
            neighbourhoods: self.neighbourhoods.len(),
            customers: self.customers.len(),
            bytes: self.clients.bytes() + self.neighbourhoods.bytes() + self.customers.bytes(),
        }
    }

    /// The entries of a peer's address, made if there are none.
    pub(super) fn address_entries(
        &mut self,
        policy: &AdmissionPolicy,
        peer: IpAddr,
    ) -> AddressEntries {
        AddressEntries {
            client: self.clients.find_or_insert(policy.prefixes.client(peer)),
            neighbourhood: self
                .neighbourhoods
                .find_or_insert(policy.prefixes.neighbourhood(peer)),
        }
    }

    pub(super) fn client(&self, address: AddressEntries) -> &History {
        self.clients.get(address.client)
    }

    pub(super) fn neighbourhood(&self, address: AddressEntries) -> &History {
        self.neighbourhoods.get(address.neighbourhood)
    }

    pub(super) fn connection_opened(&mut self, address: AddressEntries) {
        self.clients.connection_opened(address.client);
        self.neighbourhoods.connection_opened(address.neighbourhood);
    }

    pub(super) fn connection_closed(&mut self, address: AddressEntries, is_known: bool) {
        self.clients.connection_closed(address.client, is_known);
        self.neighbourhoods
            .connection_closed(address.neighbourhood, false);
    }

    /// The address was seen, and its connection was not taken.
    pub(super) fn connection_refused(&mut self, address: AddressEntries, is_known: bool) {
        self.clients.settle(address.client, is_known);
        self.neighbourhoods.settle(address.neighbourhood, false);
    }

    pub(super) fn snapshot(&self, most: usize, now: Duration, half_life: Duration) -> Snapshot {
        Snapshot {
            clients: worth_keeping(&self.clients, now, half_life)
                .take(most)
                .collect(),
            customers: worth_keeping(&self.customers, now, half_life)
                .take(most)
                .collect(),
        }
    }

    /// Takes in what a snapshot of this age holds.
    pub(super) fn restore(
        &mut self,
        snapshot: &Snapshot,
        age: Duration,
        now: Duration,
        policy: &AdmissionPolicy,
    ) {
        recall_into(&mut self.clients, &snapshot.clients, age, now, policy);
        recall_into(&mut self.customers, &snapshot.customers, age, now, policy);
    }
}

fn worth_keeping<K: Hash + Eq + Copy>(
    cache: &HistoryCache<K>,
    now: Duration,
    half_life: Duration,
) -> impl Iterator<Item = ClientRecord<K>> + '_ {
    let scored = cache
        .protected()
        .map(move |(key, history)| (key, history.served.at(now, half_life)));
    let kept = scored.filter(|(_, served)| *served >= LEAST_KEPT_SCORE);
    kept.map(|(key, served)| ClientRecord { key, served })
}

fn recall_into<K: Hash + Eq + Copy>(
    cache: &mut HistoryCache<K>,
    max_remembered: &[ClientRecord<K>],
    age: Duration,
    now: Duration,
    policy: &AdmissionPolicy,
) {
    // The latest stand first: they are put in last, as the latest.
    for entry in max_remembered.iter().rev() {
        let written =
            DecayingScore::new(entry.served.clamp(0.0, MAX_RECALLED_SCORE), Duration::ZERO);
        let served = written.at(age, policy.known_half_life);
        let at = cache.find_or_insert(entry.key);
        cache.get_mut(at).served = DecayingScore::new(served, now);
        cache.settle(at, served >= policy.known_after);
    }
}
