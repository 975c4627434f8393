//! Tombstones of removed endpoints, which allow outdated lists to be recognised.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The maximum number of tombstones; if it is exceeded, the oldest one is dropped. A zone loses
/// fewer endpoints than this while a discovery agent lags behind.
const MAX_TOMBSTONES: usize = 8192;

/// The information that is kept about a removed endpoint.
pub(super) struct Tombstone {
    /// The revision of the list that removed the endpoint, or that of the last list that contained
    /// it, whichever is later.
    pub(super) revision: u64,
    /// The time at which the endpoint had started; `None` if unknown or too long ago.
    pub(super) started_at: Option<Duration>,
}

/// The most recently removed endpoints, by uid.
#[derive(Default)]
pub(super) struct Tombstones {
    by_uid: HashMap<String, Tombstone>,
    /// The uids, ordered by the age of their tombstones, oldest first.
    tombstone_order: VecDeque<String>,
}

impl Tombstones {
    pub(super) fn get(&self, uid: &str) -> Option<&Tombstone> {
        self.by_uid.get(uid)
    }

    /// Adds a tombstone. If the uid already has one, the new tombstone replaces it and keeps its
    /// age.
    pub(super) fn insert(&mut self, uid: String, tombstone: Tombstone) {
        if self.by_uid.insert(uid.clone(), tombstone).is_none() {
            self.tombstone_order.push_back(uid);
        }
        while self.tombstone_order.len() > MAX_TOMBSTONES {
            if let Some(oldest) = self.tombstone_order.pop_front() {
                self.by_uid.remove(&oldest);
            }
        }
    }
}
