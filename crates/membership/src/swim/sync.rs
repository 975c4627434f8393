//! Anti-entropy: the digests of all records are compared with one member at a time, and the records
//! are exchanged where the digests differ. It also heals partitions.

use super::Swim;
use crate::event::Action;
use crate::record::{Name, Record, Status};
use crate::wire::{Body, Message};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Pages sent in answer to one request; the requester continues from the last one.
const MAX_PAGES: usize = 8;
/// Records that are collected for a page; more than fit on one.
const RECORDS_PER_PAGE: usize = 16;

/// The digest of one record. A suspicion counts as alive, as it lasts only for a short time.
fn record_digest(record: &Record) -> u64 {
    let status = match record.status {
        Status::Alive | Status::Suspect(_) => 0u8,
        Status::Dead => 1,
        Status::Left => 2,
    };
    let mut hasher = SipHasher13::new();
    (
        record.name,
        record.generation,
        record.incarnation,
        status,
        record.metadata_version,
    )
        .hash(&mut hasher);
    hasher.finish()
}

impl Swim {
    /// The digest of all records, this member's own included; equal on members with the same
    /// records.
    pub fn digest(&self) -> u64 {
        self.members
            .records()
            .fold(record_digest(&self.local), |digest, record| {
                digest ^ record_digest(record)
            })
    }

    /// A round of anti-entropy.
    pub(super) fn sync(&mut self, actions: &mut Vec<Action>) {
        let request = Message::Sync {
            digest: self.digest(),
            after: Name::new(),
            is_reply: false,
        };
        for to in self.random_addresses(1, Record::is_running) {
            self.send(to, &request, actions);
        }
        self.heal_partition(actions);
    }

    /// Prevents the sides of a partition from holding each other dead for ever: in each round one
    /// dead member gets a request to join, and so does a seed, through which unknown members are
    /// found.
    fn heal_partition(&mut self, actions: &mut Vec<Action>) {
        for to in self.random_addresses(1, |record| record.status == Status::Dead) {
            self.send(to, &Message::Join, actions);
        }
        let complete = self.members.running().count() + 1 >= self.settings.expected_members;
        let seeds = self.settings.seeds.len();
        if !complete && seeds > 0 {
            let seed = self.settings.seeds[self.rng.usize(0..seeds)];
            self.send(seed, &Message::Join, actions);
        }
    }

    /// Answers another member's digest, if it differs, with the records, and requests the other's.
    pub(super) fn on_sync(
        &mut self,
        source: SocketAddr,
        digest: u64,
        after: Name,
        is_reply: bool,
        actions: &mut Vec<Action>,
    ) {
        if digest == self.digest() {
            return;
        }
        self.send_pages(source, after, actions);
        if !is_reply && after.is_empty() {
            let request = Message::Sync {
                digest: self.digest(),
                after: Name::new(),
                is_reply: true,
            };
            self.send(source, &request, actions);
        }
    }

    /// Requests the pages that follow the one that ended at this name.
    pub(super) fn continue_sync(
        &mut self,
        source: SocketAddr,
        after: Name,
        actions: &mut Vec<Action>,
    ) {
        if !after.is_empty() {
            self.send(
                source,
                &Message::Sync {
                    digest: 0,
                    after,
                    is_reply: true,
                },
                actions,
            );
        }
    }

    /// Sends the records of the names after this one, in up to [`MAX_PAGES`] pages.
    pub(super) fn send_pages(&self, to: SocketAddr, after: Name, actions: &mut Vec<Action>) {
        let records = self.records_to_send(after);
        let mut rest = &records[..];
        for page in 1..=MAX_PAGES {
            let (body, sent) = fill_page(&Message::Page(Name::new()), rest);
            let Some(last) = sent.checked_sub(1).map(|index| &rest[index]) else {
                return;
            };
            let complete = sent == rest.len();
            let truncated = page == MAX_PAGES && !complete && last.name != self.local.name;
            let body = if truncated {
                last_page(&rest[..sent])
            } else {
                body
            };
            actions.push(Action::Send {
                to,
                body: body.into_bytes(),
            });
            if complete {
                return;
            }
            rest = &rest[sent..];
        }
    }

    /// More records than the pages hold, so that it is known whether more pages follow.
    fn records_to_send(&self, after: Name) -> Vec<Record> {
        let local = after.is_empty().then_some(&self.local);
        let others = self
            .members
            .records_after(after)
            .take(MAX_PAGES * RECORDS_PER_PAGE);
        local.into_iter().chain(others).cloned().collect()
    }
}

/// A body with as many of the records as fit, and their number.
fn fill_page(message: &Message, records: &[Record]) -> (Body, usize) {
    let mut body = Body::new(message);
    let sent = records
        .iter()
        .take_while(|record| body.try_push(record))
        .count();
    (body, sent)
}

/// The last page, if more records follow: it names the one after which to continue. As that name
/// takes space too, the last record goes to the next page.
fn last_page(records: &[Record]) -> Body {
    let records = &records[..(records.len() - 1).max(1)];
    let after = records.last().map_or(Name::new(), |record| record.name);
    fill_page(&Message::Page(after), records).0
}
