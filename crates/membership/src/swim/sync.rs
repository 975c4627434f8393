//! Anti-entropy: a member compares the digest of all its records with that of one other member at a
//! time, and the two exchange their records if the digests differ. Each round also sends requests
//! to join to dead and unknown members, so that the sides of a partition find each other again.

use super::Swim;
use crate::event::Action;
use crate::record::{Name, Record, Status};
use crate::wire::{Body, Message};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Maximum number of pages in answer to one request. The requester asks for the remaining ones.
const MAX_PAGES_PER_REPLY: usize = 8;
/// Number of records to collect for a page; more than a page can hold.
const COLLECTED_RECORDS_PER_PAGE: usize = 16;

/// Returns the digest of one record. A suspect counts as alive, as a suspicion lasts only for a
/// short time.
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
    /// Returns the digest of all records, including this member's own. Members with the same
    /// records have the same digest.
    pub fn digest(&self) -> u64 {
        self.members
            .records()
            .fold(record_digest(&self.local), |digest, record| {
                digest ^ record_digest(record)
            })
    }

    /// Runs a round of anti-entropy with one random member.
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

    /// Sends a request to join to one dead member, and to one seed if members are missing.
    /// Otherwise the sides of a partition would see each other as dead for ever. A seed also leads
    /// to members of which there is no record.
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

    /// Answers a sync whose digest differs from this member's: sends the records, and requests
    /// those of the other member.
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

    /// Requests the pages that follow a page with this last name, unless the name is empty.
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

    /// Sends the records of the names that follow `after`, in up to [`MAX_PAGES_PER_REPLY`] pages.
    pub(super) fn send_pages(&self, to: SocketAddr, after: Name, actions: &mut Vec<Action>) {
        let records = self.records_to_send(after);
        let mut rest = &records[..];
        for page in 1..=MAX_PAGES_PER_REPLY {
            let (body, sent) = fill_page(&Message::Page(Name::new()), rest);
            let Some(last) = sent.checked_sub(1).map(|index| &rest[index]) else {
                return;
            };
            let complete = sent == rest.len();
            let truncated =
                page == MAX_PAGES_PER_REPLY && !complete && last.name != self.local.name;
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

    /// Returns the records of the names that follow `after`: more than [`MAX_PAGES_PER_REPLY`]
    /// pages can hold, so that the sender knows whether more pages follow.
    fn records_to_send(&self, after: Name) -> Vec<Record> {
        let local = after.is_empty().then_some(&self.local);
        let others = self
            .members
            .records_after(after)
            .take(MAX_PAGES_PER_REPLY * COLLECTED_RECORDS_PER_PAGE);
        local.into_iter().chain(others).cloned().collect()
    }
}

/// Returns a body with as many of the records as fit, and the number of these records.
fn fill_page(message: &Message, records: &[Record]) -> (Body, usize) {
    let mut body = Body::new(message);
    let sent = records
        .iter()
        .take_while(|record| body.try_push(record))
        .count();
    (body, sent)
}

/// Returns the last page of an incomplete answer, which names the record after which the requester
/// has to continue. The last record is left to the next page, as the name takes up its space.
fn last_page(records: &[Record]) -> Body {
    let records = &records[..(records.len() - 1).max(1)];
    let after = records.last().map_or(Name::new(), |record| record.name);
    fill_page(&Message::Page(after), records).0
}
