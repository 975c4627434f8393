//! A bounded cache of client histories: a segmented LRU cache (Karedla et al., 1994) with second
//! chances as in the CLOCK algorithm.
//!
//! A key with an open connection is never evicted. The keys of known clients without a connection
//! are in the protected segment, all others in the probationary segment, which is evicted first.
//! The addresses of a flood therefore evict one another and not known clients.
//!
//! Each segment evicts its oldest entry first. An entry whose key was looked up again gets a second
//! chance: it moves to the end of its segment instead. A strict LRU order would write to the
//! neighbouring entries on every lookup and cause processor cache misses.
//!
//! Keys are hashed with a secret (SipHash-1-3), so that clients cannot choose colliding keys.

use crate::decaying_score::DecayingScore;
use crate::gcra::Gcra;
use crate::linked_lists::LinkedLists;
use hashbrown::HashTable;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// The list of entries whose keys are not those of known clients.
const PROBATIONARY_SEGMENT: usize = 0;
/// The list of entries whose keys are those of known clients.
const PROTECTED_SEGMENT: usize = 1;

/// The maximum number of second chances per call of [`HistoryCache::evict_down_to`].
const MAX_SECOND_CHANCES: usize = 64;
/// The maximum number of entries that one call of [`HistoryCache::evict_down_to`] skips because of
/// second chances or open connections. Bounds the time of a call.
const MAX_SKIPPED_ENTRIES: usize = 2 * MAX_SECOND_CHANCES;

/// The size of one node of [`LinkedLists`].
const LIST_NODE_BYTES: usize = 12;
/// The size of one slot of the hash table: an index and a control byte.
const TABLE_SLOT_BYTES: usize = 5;

/// The history of one client address, network or customer, from which its reputation follows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClientHistory {
    /// The number of open connections.
    pub open_connections: u32,
    /// The rate limiter of new connections.
    pub connect_limiter: Gcra,
    /// The decaying number of served requests.
    pub served: DecayingScore,
    /// The decaying number of faults, such as protocol errors.
    pub faults: DecayingScore,
    /// Whether the key was looked up since its entry was created or got its last second chance.
    referenced: bool,
}

/// A key and its history, aligned to a processor cache line.
#[repr(align(64))]
struct Entry<K> {
    key: K,
    history: ClientHistory,
}

/// A bounded cache of client histories by key.
pub(crate) struct HistoryCache<K> {
    /// The index in `entries` of each key.
    table: HashTable<u32>,
    hash_secret: (u64, u64),
    entries: Vec<Entry<K>>,
    free_entries: Vec<u32>,
    /// The entries in use by segment, oldest first.
    segments: LinkedLists<2>,
    capacity: usize,
}

fn hash<K: Hash>(secret: (u64, u64), key: &K) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(secret.0, secret.1);
    key.hash(&mut hasher);
    hasher.finish()
}

impl<K: Hash + Eq + Copy> HistoryCache<K> {
    /// Creates an empty cache for up to `capacity` keys, in addition to those with open
    /// connections.
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

    /// Returns the number of keys, including those with open connections.
    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns the history at an index from [`Self::find`] or [`Self::find_or_insert`].
    pub(crate) fn get(&self, index: u32) -> &ClientHistory {
        &self.entries[index as usize].history
    }

    /// Returns the history at an index from [`Self::find`] or [`Self::find_or_insert`], for
    /// changes.
    pub(crate) fn get_mut(&mut self, index: u32) -> &mut ClientHistory {
        &mut self.entries[index as usize].history
    }

    /// Returns the index of a key; `None` if it is not in the cache. Does not count as a lookup for
    /// the second chance.
    pub(crate) fn find(&self, key: &K) -> Option<u32> {
        let is_same = |index: &u32| self.entries[*index as usize].key == *key;
        self.table
            .find(hash(self.hash_secret, key), is_same)
            .copied()
    }

    /// Returns the index of a key, which is inserted if it is missing. The index is valid while the
    /// key has open connections; otherwise until the next insertion, resize or segment change.
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
        self.segments.push_back(PROBATIONARY_SEGMENT, index);
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

    /// Counts a new connection of the key. The key is not evicted until it is closed.
    pub(crate) fn connection_opened(&mut self, index: u32) {
        self.entries[index as usize].history.open_connections += 1;
    }

    /// Counts a connection of the key as closed. When the last connection is closed, assigns the
    /// key to a segment as [`Self::assign_segment`] does.
    pub(crate) fn connection_closed(&mut self, index: u32, is_known: bool) {
        let history = &mut self.entries[index as usize].history;
        history.open_connections = history.open_connections.saturating_sub(1);
        if history.open_connections == 0 {
            self.assign_segment(index, is_known);
        }
    }

    /// Moves a key without open connections to the protected segment if `is_known`, or else to the
    /// probationary segment.
    pub(crate) fn assign_segment(&mut self, index: u32, is_known: bool) {
        let segment = if is_known {
            PROTECTED_SEGMENT
        } else {
            PROBATIONARY_SEGMENT
        };
        let has_connections = self.get(index).open_connections > 0;
        if has_connections || self.segments.list_of(index) == Some(segment) {
            return;
        }
        self.segments.push_back(segment, index);
        self.demote_oldest();
        self.evict_down_to(self.capacity);
    }

    /// Limits the protected segment to three quarters of the capacity, so that clients that became
    /// known long ago do not occupy the whole cache.
    fn demote_oldest(&mut self) {
        if self.segments.len(PROTECTED_SEGMENT) > self.capacity.div_ceil(4) * 3 {
            if let Some(oldest) = self.segments.first(PROTECTED_SEGMENT) {
                self.segments.push_back(PROBATIONARY_SEGMENT, oldest);
            }
        }
    }

    /// Changes the capacity, and evicts the entries that exceed it.
    pub(crate) fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
        self.evict_down_to(capacity);
    }

    /// Evicts entries until the segments hold at most `target` entries, or until more than
    /// [`MAX_SKIPPED_ENTRIES`] were skipped.
    fn evict_down_to(&mut self, target: usize) {
        let mut skipped = 0;
        while self.segments.len(PROBATIONARY_SEGMENT) + self.segments.len(PROTECTED_SEGMENT)
            > target
        {
            let Some(index) = self
                .segments
                .first(PROBATIONARY_SEGMENT)
                .or(self.segments.first(PROTECTED_SEGMENT))
            else {
                return;
            };
            if !self.should_keep(index, skipped) {
                self.evict(index);
                continue;
            }
            skipped += 1;
            if skipped > MAX_SKIPPED_ENTRIES {
                return;
            }
            let segment = self.segments.list_of(index).unwrap_or(PROBATIONARY_SEGMENT);
            self.segments.push_back(segment, index);
        }
    }

    /// Whether an entry must not be evicted now, because it has open connections or a second
    /// chance. Uses up the second chance.
    fn should_keep(&mut self, index: u32, skipped: usize) -> bool {
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

    /// Iterates over the keys with open connections, and then over those without in the protected
    /// segment, most recent first.
    pub(crate) fn open_and_protected(&self) -> impl Iterator<Item = (K, &ClientHistory)> {
        let entry = |index: u32| {
            let entry = &self.entries[index as usize];
            (entry.key, &entry.history)
        };
        let is_open = |index: &u32| self.get(*index).open_connections > 0;
        let open = self.table.iter().copied().filter(is_open);
        let protected = std::iter::successors(self.segments.last(PROTECTED_SEGMENT), |index| {
            self.segments.previous(*index)
        });
        let closed = protected.filter(move |index| !is_open(index));
        open.chain(closed).map(entry)
    }

    /// Returns the memory that the cache has allocated, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.entries.capacity() * (size_of::<Entry<K>>() + LIST_NODE_BYTES)
            + self.table.capacity() * TABLE_SLOT_BYTES
    }
}
