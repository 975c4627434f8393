//! What is remembered of addresses and customers, within a bound.
//!
//! Who has a connection open is never forgotten. Of the others, those that have been served stand on a list of
//! their own, and what comes and goes unserved is forgotten first: an attacker's hundred thousand addresses
//! push out each other. Within a list the one that has stood for longest goes, unless it was seen since: it then
//! stands once more (a second chance). Exact order by last use would touch the neighbours of every key that is
//! seen, which at a million keys are as many cache misses. Look-ups hash with a secret key (SipHash-1-3), so that
//! nobody can choose keys that collide.

use crate::lists::Lists;
use crate::rate::Arrival;
use hashbrown::HashTable;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::time::Duration;

const GUESTS: usize = 0;
const KNOWN: usize = 1;

/// A score that halves with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Score {
    value: f32,
    /// Seconds.
    at: f32,
}

impl Score {
    pub fn new(value: f32, now: Duration) -> Score {
        Score { value, at: now.as_secs_f32() }
    }

    pub fn at(&self, now: Duration, half_life: Duration) -> f32 {
        let age = (now.as_secs_f32() - self.at).max(0.0);
        self.value * (-age / half_life.as_secs_f32().max(1e-3)).exp2()
    }

    pub fn add(&mut self, amount: f32, now: Duration, half_life: Duration) {
        *self = Score::new(self.at(now, half_life) + amount, now);
    }
}

/// What is known of one key.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Record {
    /// Connections open.
    pub open: u32,
    pub arrival: Arrival,
    pub served: Score,
    pub faults: Score,
    /// It was seen since it was last put on its list.
    seen: bool,
}

/// Most entries that get a second chance, or are passed by for their open connections, when one is to go.
const CHANCES: usize = 64;

/// One key, on one cache line.
#[repr(align(64))]
struct Entry<K> {
    key: K,
    record: Record,
}

pub(crate) struct Book<K> {
    table: HashTable<u32>,
    secret: (u64, u64),
    entries: Vec<Entry<K>>,
    free: Vec<u32>,
    /// All keys, those that have stood for longest first.
    lists: Lists<2>,
    capacity: usize,
}

fn hash<K: Hash>(secret: (u64, u64), key: &K) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(secret.0, secret.1);
    key.hash(&mut hasher);
    hasher.finish()
}

impl<K: Hash + Eq + Copy> Book<K> {
    /// Remembers up to `capacity` keys beside those that have a connection open.
    pub fn new(capacity: usize, secret: (u64, u64)) -> Book<K> {
        Book {
            table: HashTable::new(),
            secret,
            entries: Vec::new(),
            free: Vec::new(),
            lists: Lists::default(),
            capacity,
        }
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    pub fn get(&self, at: u32) -> &Record {
        &self.entries[at as usize].record
    }

    pub fn get_mut(&mut self, at: u32) -> &mut Record {
        &mut self.entries[at as usize].record
    }

    /// The place of a key, if it is remembered.
    pub fn find(&self, key: &K) -> Option<u32> {
        let same = |at: &u32| self.entries[*at as usize].key == *key;
        self.table.find(hash(self.secret, key), same).copied()
    }

    /// The place of a key, made if there is none. It stays the key's until `open` has been raised and is 0
    /// again, or another key is looked up.
    pub fn place(&mut self, key: K) -> u32 {
        if let Some(at) = self.find(&key) {
            self.entries[at as usize].record.seen = true;
            return at;
        }
        self.forget_down_to(self.capacity.saturating_sub(1));
        let entry = Entry { key, record: Record::default() };
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
        self.lists.push(GUESTS, at);
        at
    }

    /// A connection of this key has opened: it is not forgotten before all have closed.
    pub fn opened(&mut self, at: u32) {
        self.entries[at as usize].record.open += 1;
    }

    /// One has closed; `known` says on which list the key goes with its last.
    pub fn closed(&mut self, at: u32, known: bool) {
        let record = &mut self.entries[at as usize].record;
        record.open = record.open.saturating_sub(1);
        if record.open == 0 {
            self.rest(at, known);
        }
    }

    /// The key has been seen without a connection that stays.
    pub fn rest(&mut self, at: u32, known: bool) {
        let list = if known { KNOWN } else { GUESTS };
        if self.entries[at as usize].record.open > 0 || self.lists.list_of(at) == Some(list) {
            return;
        }
        self.lists.push(list, at);
        // Guards against known clients of long ago that keep newcomers from being counted at all.
        if self.lists.len(KNOWN) > self.capacity.div_ceil(4) * 3 {
            if let Some(oldest) = self.lists.first(KNOWN) {
                self.lists.push(GUESTS, oldest);
            }
        }
        self.forget_down_to(self.capacity);
    }

    /// Remembers another number of keys from now on.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
        self.forget_down_to(capacity);
    }

    fn forget_down_to(&mut self, most: usize) {
        let mut passed = 0;
        while self.lists.len(GUESTS) + self.lists.len(KNOWN) > most {
            let Some(at) = self.lists.first(GUESTS).or(self.lists.first(KNOWN)) else { return };
            let record = &mut self.entries[at as usize].record;
            if record.open > 0 || std::mem::take(&mut record.seen) && passed < CHANCES {
                passed += 1;
                if passed > 2 * CHANCES {
                    return;
                }
                let list = self.lists.list_of(at).unwrap_or(GUESTS);
                self.lists.push(list, at);
                continue;
            }
            self.lists.remove(at);
            let key = self.entries[at as usize].key;
            if let Ok(entry) = self.table.find_entry(hash(self.secret, &key), |held| *held == at) {
                entry.remove();
            }
            self.free.push(at);
        }
    }

    /// Keys that stand on the list of the known, the latest first, and those with a connection open.
    pub fn known(&self) -> impl Iterator<Item = (K, &Record)> {
        let entry = |at: u32| (self.entries[at as usize].key, &self.entries[at as usize].record);
        let open = |at: &u32| self.entries[*at as usize].record.open > 0;
        let held = self.table.iter().copied().filter(open).map(entry);
        let resting = std::iter::successors(self.lists.last(KNOWN), |at| self.lists.before(*at));
        held.chain(resting.filter(move |at| !open(at)).map(entry))
    }

    /// Bytes that the book holds, allocations included.
    pub fn bytes(&self) -> usize {
        self.entries.capacity() * (size_of::<Entry<K>>() + 12) + self.table.capacity() * 5
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: Duration = Duration::from_secs(3600);

    #[test]
    fn a_hundred_thousand_strangers_push_out_each_other_and_no_known_key() {
        let mut book = Book::new(1000, (1, 2));
        for key in 0..500u64 {
            let at = book.place(key);
            book.get_mut(at).served.add(5.0, HOUR, HOUR);
            book.rest(at, true);
        }
        for key in 1_000..101_000 {
            let at = book.place(key);
            book.rest(at, false);
        }
        assert_eq!(book.len(), 1000);
        assert!((0..500).all(|key| book.find(&key).is_some()));
        assert!(book.find(&100_999).is_some() && book.find(&1_000).is_none());
    }

    #[test]
    fn who_has_a_connection_open_is_not_forgotten_and_all_are_bounded() {
        let mut book = Book::new(4, (3, 4));
        let open: Vec<u32> = (0..10u64).map(|key| book.place(key)).collect();
        assert_eq!(book.len(), 4);
        let last = *open.last().unwrap();
        book.opened(last);
        for key in 100..200 {
            book.place(key);
        }
        assert_eq!((book.find(&9), book.len()), (Some(last), 4));
        book.closed(last, false);
        book.resize(0);
        assert_eq!(book.len(), 0);
    }

    #[test]
    fn a_score_halves_with_time() {
        let mut score = Score::new(8.0, HOUR);
        assert!((score.at(HOUR * 3, HOUR) - 2.0).abs() < 0.01);
        score.add(1.0, HOUR * 4, HOUR);
        assert!((score.at(HOUR * 4, HOUR) - 2.0).abs() < 0.01);
    }
}
