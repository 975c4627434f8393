//! A bounded cache of what is remembered of addresses and customers: a segmented LRU with second
//! chances.
//!
//! A key that has a connection open is never evicted. Of the others, those that have been served
//! are in the protected segment, and what comes and goes unserved, in the probationary one, is
//! evicted first: an attacker's hundred thousand addresses push out each other. Within a segment
//! the oldest goes, unless it was seen since: it then gets a second chance. Exact order by last use
//! would touch the neighbours of every key that is seen, which at a million keys are as many cache
//! misses. Look-ups hash with a secret key (SipHash-1-3), so that nobody can choose keys that
//! collide.

use crate::lists::Lists;
use crate::rate::Gcra;
use hashbrown::HashTable;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::time::Duration;

const PROBATIONARY: usize = 0;
const PROTECTED: usize = 1;

/// A score that halves with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingScore {
    value: f32,
    /// Seconds.
    at: f32,
}

impl DecayingScore {
    pub(crate) fn new(value: f32, now: Duration) -> DecayingScore {
        DecayingScore {
            value,
            at: now.as_secs_f32(),
        }
    }

    pub(crate) fn at(&self, now: Duration, half_life: Duration) -> f32 {
        let age = (now.as_secs_f32() - self.at).max(0.0);
        self.value * (-age / half_life.as_secs_f32().max(1e-3)).exp2()
    }

    pub(crate) fn add(&mut self, amount: f32, now: Duration, half_life: Duration) {
        *self = DecayingScore::new(self.at(now, half_life) + amount, now);
    }
}

/// What is known of one key.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct History {
    /// Connections open.
    pub open: u32,
    /// New connections.
    pub connects: Gcra,
    /// Requests that were served.
    pub served: DecayingScore,
    /// What speaks against it.
    pub faults: DecayingScore,
    /// It was seen since it was last put into its segment.
    seen: bool,
}

/// Entries that get a second chance, or are passed by for their open connections, at most when one
/// is to go.
const MAX_PASSED: usize = 64;

/// One key, on one cache line.
#[repr(align(64))]
struct Entry<K> {
    key: K,
    history: History,
}

/// Histories by key.
pub(crate) struct HistoryCache<K> {
    table: HashTable<u32>,
    secret: (u64, u64),
    entries: Vec<Entry<K>>,
    free: Vec<u32>,
    /// All entries by segment, the oldest first.
    segments: Lists<2>,
    capacity: usize,
}

fn hash<K: Hash>(secret: (u64, u64), key: &K) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(secret.0, secret.1);
    key.hash(&mut hasher);
    hasher.finish()
}

impl<K: Hash + Eq + Copy> HistoryCache<K> {
    /// Remembers up to `capacity` keys beside those that have a connection open.
    pub(crate) fn new(capacity: usize, secret: (u64, u64)) -> HistoryCache<K> {
        HistoryCache {
            table: HashTable::new(),
            secret,
            entries: Vec::new(),
            free: Vec::new(),
            segments: Lists::default(),
            capacity,
        }
    }

    /// Keys held.
    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    pub(crate) fn get(&self, at: u32) -> &History {
        &self.entries[at as usize].history
    }

    pub(crate) fn get_mut(&mut self, at: u32) -> &mut History {
        &mut self.entries[at as usize].history
    }

    /// The entry of a key, if it is remembered.
    pub(crate) fn find(&self, key: &K) -> Option<u32> {
        let same = |at: &u32| self.entries[*at as usize].key == *key;
        self.table.find(hash(self.secret, key), same).copied()
    }

    /// The entry of a key, made if there is none. It stays the key's until `open` has been raised
    /// and is 0 again, or another key is looked up.
    pub(crate) fn find_or_insert(&mut self, key: K) -> u32 {
        if let Some(at) = self.find(&key) {
            self.entries[at as usize].history.seen = true;
            return at;
        }
        self.evict_down_to(self.capacity.saturating_sub(1));
        let entry = Entry {
            key,
            history: History::default(),
        };
        let at = match self.free.pop() {
            Some(at) => {
                self.entries[at as usize] = entry;
                at
            }
            None => {
                self.entries.push(entry);
                self.entries.len() as u32 - 1
            }
        };
        let (entries, secret) = (&self.entries, self.secret);
        let rehash = |at: &u32| hash(secret, &entries[*at as usize].key);
        self.table.insert_unique(hash(secret, &key), at, rehash);
        self.segments.push(PROBATIONARY, at);
        at
    }

    /// A connection of this key has opened: it is not evicted before all have closed.
    pub(crate) fn connection_opened(&mut self, at: u32) {
        self.entries[at as usize].history.open += 1;
    }

    /// A connection has closed; `protect` says into which segment the key goes with its last.
    pub(crate) fn connection_closed(&mut self, at: u32, protect: bool) {
        let history = &mut self.entries[at as usize].history;
        history.open = history.open.saturating_sub(1);
        if history.open == 0 {
            self.settle(at, protect);
        }
    }

    /// The key has been seen without a connection that stays.
    pub(crate) fn settle(&mut self, at: u32, protect: bool) {
        let segment = if protect { PROTECTED } else { PROBATIONARY };
        if self.entries[at as usize].history.open > 0 || self.segments.list_of(at) == Some(segment)
        {
            return;
        }
        self.segments.push(segment, at);
        self.demote_oldest();
        self.evict_down_to(self.capacity);
    }

    /// Guards against known clients of long ago that keep newcomers from being counted at all.
    fn demote_oldest(&mut self) {
        if self.segments.len(PROTECTED) > self.capacity.div_ceil(4) * 3 {
            if let Some(oldest) = self.segments.first(PROTECTED) {
                self.segments.push(PROBATIONARY, oldest);
            }
        }
    }

    /// Changes the capacity.
    pub(crate) fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
        self.evict_down_to(capacity);
    }

    fn evict_down_to(&mut self, target: usize) {
        let mut passed = 0;
        while self.segments.len(PROBATIONARY) + self.segments.len(PROTECTED) > target {
            let Some(at) = self
                .segments
                .first(PROBATIONARY)
                .or(self.segments.first(PROTECTED))
            else {
                return;
            };
            if !self.is_passed_by(at, passed) {
                self.evict(at);
                continue;
            }
            passed += 1;
            if passed > 2 * MAX_PASSED {
                return;
            }
            let segment = self.segments.list_of(at).unwrap_or(PROBATIONARY);
            self.segments.push(segment, at);
        }
    }

    /// Is an entry not to go yet, after so many others? It uses up its second chance.
    fn is_passed_by(&mut self, at: u32, passed: usize) -> bool {
        let history = &mut self.entries[at as usize].history;
        history.open > 0 || std::mem::take(&mut history.seen) && passed < MAX_PASSED
    }

    fn evict(&mut self, at: u32) {
        self.segments.remove(at);
        let key = self.entries[at as usize].key;
        if let Ok(entry) = self
            .table
            .find_entry(hash(self.secret, &key), |held| *held == at)
        {
            entry.remove();
        }
        self.free.push(at);
    }

    /// Keys with a connection open, then those of the protected segment, the latest first.
    pub(crate) fn protected(&self) -> impl Iterator<Item = (K, &History)> {
        let entry = |at: u32| {
            (
                self.entries[at as usize].key,
                &self.entries[at as usize].history,
            )
        };
        let open = |at: &u32| self.entries[*at as usize].history.open > 0;
        let held = self.table.iter().copied().filter(open).map(entry);
        let resting = std::iter::successors(self.segments.last(PROTECTED), |at| {
            self.segments.before(*at)
        });
        held.chain(resting.filter(move |at| !open(at)).map(entry))
    }

    /// Bytes that the cache holds, allocations included.
    pub(crate) fn bytes(&self) -> usize {
        self.entries.capacity() * (size_of::<Entry<K>>() + 12) + self.table.capacity() * 5
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: Duration = Duration::from_secs(3600);

    #[test]
    fn a_hundred_thousand_strangers_push_out_each_other_and_no_known_key() {
        let mut cache = HistoryCache::new(1000, (1, 2));
        for key in 0..500u64 {
            let at = cache.find_or_insert(key);
            cache.get_mut(at).served.add(5.0, HOUR, HOUR);
            cache.settle(at, true);
        }
        for key in 1_000..101_000 {
            let at = cache.find_or_insert(key);
            cache.settle(at, false);
        }
        assert_eq!(cache.len(), 1000);
        assert!((0..500).all(|key| cache.find(&key).is_some()));
        assert!(cache.find(&100_999).is_some() && cache.find(&1_000).is_none());
    }

    #[test]
    fn who_has_a_connection_open_is_not_forgotten_and_all_are_bounded() {
        let mut cache = HistoryCache::new(4, (3, 4));
        let open: Vec<u32> = (0..10u64).map(|key| cache.find_or_insert(key)).collect();
        assert_eq!(cache.len(), 4);
        let last = *open.last().unwrap();
        cache.connection_opened(last);
        for key in 100..200 {
            cache.find_or_insert(key);
        }
        assert_eq!((cache.find(&9), cache.len()), (Some(last), 4));
        cache.connection_closed(last, false);
        cache.resize(0);
        assert_eq!(cache.len(), 0);
    }

    #[test]
    fn a_score_halves_with_time() {
        let mut score = DecayingScore::new(8.0, HOUR);
        assert!((score.at(HOUR * 3, HOUR) - 2.0).abs() < 0.01);
        score.add(1.0, HOUR * 4, HOUR);
        assert!((score.at(HOUR * 4, HOUR) - 2.0).abs() < 0.01);
    }
}
