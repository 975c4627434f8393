//! A bounded cache of client histories: a segmented LRU (Karedla et al., 1994) with second chances
//! as in CLOCK.
//!
//! A key with an open connection is never evicted. Of the other keys, those that became known are
//! in the protected segment and the rest in the probationary one, which is evicted first: the
//! addresses of a flood evict one another. Within a segment the oldest entry goes, unless its key
//! was looked up since it was placed there; such an entry goes to the end of its segment once. A
//! full LRU order would write to the neighbouring entries on every look-up, at the price of cache
//! misses. Keys are hashed with a secret (SipHash-1-3), so that nobody can choose keys that
//! collide.

use crate::decaying_score::DecayingScore;
use crate::gcra::Gcra;
use crate::linked_lists::LinkedLists;
use hashbrown::HashTable;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// List of entries whose keys are not known clients.
const PROBATIONARY: usize = 0;
/// List of entries whose keys are known clients.
const PROTECTED: usize = 1;

/// Entries that one eviction gives a second chance at most.
const MAX_SECOND_CHANCES: usize = 64;
/// Entries that one eviction skips at most, for second chances or open connections.
const MAX_SKIPPED_ENTRIES: usize = 2 * MAX_SECOND_CHANCES;

/// Bytes of one node of the segments' lists.
const LIST_NODE_BYTES: usize = 12;
/// Bytes of one slot of the hash table: an index and a control byte.
const TABLE_SLOT_BYTES: usize = 5;

/// The history of one client address, network or customer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClientHistory {
    /// Connections that are open.
    pub open_connections: u32,
    /// Rate limiter of new connections.
    pub connect_limiter: Gcra,
    /// Requests that were served.
    pub served: DecayingScore,
    /// Faults, such as protocol errors.
    pub faults: DecayingScore,
    /// Was the key looked up since its entry was last put into a segment?
    referenced: bool,
}

/// One key, on one cache line.
#[repr(align(64))]
struct Entry<K> {
    key: K,
    history: ClientHistory,
}

/// Client histories by key.
pub(crate) struct HistoryCache<K> {
    /// Indexes of `entries` by the hash of their keys.
    table: HashTable<u32>,
    hash_secret: (u64, u64),
    entries: Vec<Entry<K>>,
    free_entries: Vec<u32>,
    /// All entries in use by segment, the oldest first.
    segments: LinkedLists<2>,
    capacity: usize,
}

fn hash<K: Hash>(secret: (u64, u64), key: &K) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(secret.0, secret.1);
    key.hash(&mut hasher);
    hasher.finish()
}

impl<K: Hash + Eq + Copy> HistoryCache<K> {
    /// An empty cache of up to `capacity` keys, beside those that have a connection open.
    pub(crate) fn new(capacity: usize, hash_secret: (u64, u64)) -> HistoryCache<K> {
        HistoryCache {
            table: HashTable::new(),
            hash_secret,
            entries: Vec::new(),
            free_entries: Vec::new(),
            segments: LinkedLists::default(),
            capacity,
        }
    }

    /// The number of keys.
    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    /// The history at an index from [`Self::find`] or [`Self::find_or_insert`].
    pub(crate) fn get(&self, index: u32) -> &ClientHistory {
        &self.entries[index as usize].history
    }

    /// As [`Self::get`], to be changed.
    pub(crate) fn get_mut(&mut self, index: u32) -> &mut ClientHistory {
        &mut self.entries[index as usize].history
    }

    /// The index of a key, if it is in the cache.
    pub(crate) fn find(&self, key: &K) -> Option<u32> {
        let is_same = |index: &u32| self.entries[*index as usize].key == *key;
        self.table
            .find(hash(self.hash_secret, key), is_same)
            .copied()
    }

    /// The index of a key, which is inserted if it is missing. The index stays valid while the key
    /// has a connection open; without one, until the next key is inserted.
    pub(crate) fn find_or_insert(&mut self, key: K) -> u32 {
        if let Some(index) = self.find(&key) {
            self.entries[index as usize].history.referenced = true;
            return index;
        }
        self.evict_down_to(self.capacity.saturating_sub(1));
        let index = self.allocate(Entry {
            key,
            history: ClientHistory::default(),
        });
        let entries = &self.entries;
        let secret = self.hash_secret;
        let rehash = |index: &u32| hash(secret, &entries[*index as usize].key);
        self.table.insert_unique(hash(secret, &key), index, rehash);
        self.segments.push_back(PROBATIONARY, index);
        index
    }

    fn allocate(&mut self, entry: Entry<K>) -> u32 {
        match self.free_entries.pop() {
            Some(index) => {
                self.entries[index as usize] = entry;
                index
            }
            None => {
                self.entries.push(entry);
                self.entries.len() as u32 - 1
            }
        }
    }

    /// Counts an open connection of this key, which prevents its eviction.
    pub(crate) fn connection_opened(&mut self, index: u32) {
        self.entries[index as usize].history.open_connections += 1;
    }

    /// Counts a connection of this key as closed. With the last one the key goes to the protected
    /// segment if `is_known`, else to the probationary one.
    pub(crate) fn connection_closed(&mut self, index: u32, is_known: bool) {
        let history = &mut self.entries[index as usize].history;
        history.open_connections = history.open_connections.saturating_sub(1);
        if history.open_connections == 0 {
            self.assign_segment(index, is_known);
        }
    }

    /// Puts a key without open connections into the protected segment if `is_known`, else into the
    /// probationary one.
    pub(crate) fn assign_segment(&mut self, index: u32, is_known: bool) {
        let segment = if is_known { PROTECTED } else { PROBATIONARY };
        let has_connections = self.get(index).open_connections > 0;
        if has_connections || self.segments.list_of(index) == Some(segment) {
            return;
        }
        self.segments.push_back(segment, index);
        self.demote_oldest();
        self.evict_down_to(self.capacity);
    }

    /// Keeps the protected segment at three quarters of the capacity. Prevents known clients of
    /// long ago from leaving no entries for new ones.
    fn demote_oldest(&mut self) {
        if self.segments.len(PROTECTED) > self.capacity.div_ceil(4) * 3 {
            if let Some(oldest) = self.segments.first(PROTECTED) {
                self.segments.push_back(PROBATIONARY, oldest);
            }
        }
    }

    /// Changes the capacity; evicts what is beyond it.
    pub(crate) fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
        self.evict_down_to(capacity);
    }

    /// Evicts entries down to `target`, or until [`MAX_SKIPPED_ENTRIES`] could not be evicted.
    fn evict_down_to(&mut self, target: usize) {
        let mut skipped = 0;
        while self.segments.len(PROBATIONARY) + self.segments.len(PROTECTED) > target {
            let Some(index) = self
                .segments
                .first(PROBATIONARY)
                .or(self.segments.first(PROTECTED))
            else {
                return;
            };
            if !self.is_kept(index, skipped) {
                self.evict(index);
                continue;
            }
            skipped += 1;
            if skipped > MAX_SKIPPED_ENTRIES {
                return;
            }
            let segment = self.segments.list_of(index).unwrap_or(PROBATIONARY);
            self.segments.push_back(segment, index);
        }
    }

    /// Is an entry kept for an open connection or by its second chance, which it uses up?
    fn is_kept(&mut self, index: u32, skipped: usize) -> bool {
        let history = &mut self.entries[index as usize].history;
        history.open_connections > 0
            || std::mem::take(&mut history.referenced) && skipped < MAX_SECOND_CHANCES
    }

    fn evict(&mut self, index: u32) {
        self.segments.remove(index);
        let key = self.entries[index as usize].key;
        let key_hash = hash(self.hash_secret, &key);
        if let Ok(entry) = self.table.find_entry(key_hash, |other| *other == index) {
            entry.remove();
        }
        self.free_entries.push(index);
    }

    /// Keys with a connection open, then those of the protected segment, the latest first.
    pub(crate) fn open_and_protected(&self) -> impl Iterator<Item = (K, &ClientHistory)> {
        let entry = |index: u32| {
            let entry = &self.entries[index as usize];
            (entry.key, &entry.history)
        };
        let is_open = |index: &u32| self.get(*index).open_connections > 0;
        let open = self.table.iter().copied().filter(is_open);
        let protected = std::iter::successors(self.segments.last(PROTECTED), |index| {
            self.segments.previous(*index)
        });
        let closed = protected.filter(move |index| !is_open(index));
        open.chain(closed).map(entry)
    }

    /// Memory of the cache in bytes, allocations included.
    pub(crate) fn bytes(&self) -> usize {
        self.entries.capacity() * (size_of::<Entry<K>>() + LIST_NODE_BYTES)
            + self.table.capacity() * TABLE_SLOT_BYTES
    }
}
