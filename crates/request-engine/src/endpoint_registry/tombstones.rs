//! Endpoints that are gone, for lists that are older than their removal.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Most tombstones; beyond it the oldest is dropped. More than a zone loses while an agent of
/// discovery is behind.
const MAX_TOMBSTONES: usize = 8192;

/// What is kept of an endpoint that is gone.
pub(super) struct Tombstone {
    /// Revision of the list that removed it, or of the last one that named it if that is later.
    pub(super) revision: u64,
    /// When it had started; none: long ago.
    pub(super) started_at: Option<Duration>,
}

/// The latest endpoints that are gone, by uid.
#[derive(Default)]
pub(super) struct Tombstones {
    by_uid: HashMap<String, Tombstone>,
    /// Uids, the oldest tombstone first.
    tombstone_order: VecDeque<String>,
}

impl Tombstones {
    pub(super) fn get(&self, uid: &str) -> Option<&Tombstone> {
        self.by_uid.get(uid)
    }

    /// Adds a tombstone, or replaces the one of this uid, which keeps its age.
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
