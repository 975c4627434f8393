//! Anti-entropy: digests of all records are compared with one member at a time, and the records
//! exchanged where the digests differ. It also heals partitions.

use super::Swim;
use crate::event::Action;
use crate::record::{Name, Record, Status};
use crate::wire::{Body, Message};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Pages sent in answer to one question; the asker goes on from the last.
const MAX_PAGES: usize = 8;
/// More records than fit on a page.
const RECORDS_PER_PAGE: usize = 16;

/// The digest of one record. Suspicions come and go: only what lasts is compared.
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
    /// The digest of all records, this one's own included: equal where two members hold the same.
    pub fn digest(&self) -> u64 {
        self.members
            .records()
            .fold(record_digest(&self.local), |digest, record| {
                digest ^ record_digest(record)
            })
    }

    /// A round of anti-entropy.
    pub(super) fn sync(&mut self, actions: &mut Vec<Action>) {
        let question = Message::Sync {
            digest: self.digest(),
            after: Name::new(),
            is_reply: false,
        };
        for to in self.random_addresses(1, Record::is_running) {
            self.send(to, &question, actions);
        }
        self.heal_partition(actions);
    }

    /// Guards against halves of a partition that hold each other dead for ever: they are asked too,
    /// one a round, and the seeds, where a member that was never heard of may be found.
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

    /// Another member's digest: if the own differs, it gets the records, and is asked for its own.
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
            let question = Message::Sync {
                digest: self.digest(),
                after: Name::new(),
                is_reply: true,
            };
            self.send(source, &question, actions);
        }
    }

    /// The other's pages end at this name: it is asked for the rest.
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

    /// Sends the records of the names after this one, in some pages.
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
                body: body.bytes(),
            });
            if complete {
                return;
            }
            rest = &rest[sent..];
        }
    }

    /// More than the pages hold, so that the last one knows whether there is more.
    fn records_to_send(&self, after: Name) -> Vec<Record> {
        let local = after.is_empty().then_some(&self.local);
        let others = self
            .members
            .records_after(after)
            .take(MAX_PAGES * RECORDS_PER_PAGE);
        local.into_iter().chain(others).cloned().collect()
    }
}

/// A body with as many of the records as there is room for, and their number.
fn fill_page(message: &Message, records: &[Record]) -> (Body, usize) {
    let mut body = Body::new(message);
    let sent = records.iter().take_while(|record| body.add(record)).count();
    (body, sent)
}

/// The last of the pages, where there are more records: it names the one to go on after. That name
/// takes room: the last record, which may no longer fit, comes first on the next page.
fn last_page(records: &[Record]) -> Body {
    let records = &records[..(records.len() - 1).max(1)];
    let after = records.last().map_or(Name::new(), |record| record.name);
    fill_page(&Message::Page(after), records).0
}
