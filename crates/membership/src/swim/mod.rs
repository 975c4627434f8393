//! SWIM with suspicion, incarnations and local health, as a state machine.
//!
//! Each part of the protocol has a module:
//!
//! - `probe`, `relay`: the failure detector (ping, ping-req, ack, nack)
//! - `suspicion`: the timeouts of suspicions
//! - `gossip`: the dissemination of updates
//! - `sync`: anti-entropy
//! - `join`: requests to join, and name conflicts
//! - `receive`: received datagrams
//! - `apply`: the merging of records
//! - `timers`: periodic tasks and their deadlines
//! - `health`: the local health score
//! - `members`: the table of the other members

mod apply;
mod gossip;
mod health;
mod join;
mod members;
mod probe;
mod receive;
mod relay;
mod suspicion;
mod sync;
mod timers;

use crate::event::{Action, Event};
use crate::record::{Metadata, Name, Record, Stage, Status};
use crate::settings::Settings;
use crate::view::{Counts, MemberState, MemberView, Quorum};
use gossip::UpdateQueue;
use health::LocalHealth;
use join::JoinState;
use members::MemberTable;
use probe::{Probe, ProbeOrder};
use relay::RelayTable;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use timers::Timers;

/// The protocol state of one member.
#[derive(Clone, Debug)]
pub struct Swim {
    settings: Settings,
    rng: fastrand::Rng,
    /// This member's own record.
    local: Record,
    members: MemberTable,
    updates: UpdateQueue,
    probe: Option<Probe>,
    probe_order: ProbeOrder,
    relays: RelayTable,
    /// The sequence number of the latest ping.
    sequence: u32,
    health: LocalHealth,
    join: JoinState,
    started: bool,
    leaving: bool,
    timers: Timers,
    counts: Counts,
}

impl Swim {
    /// Creates the state of a member that receives datagrams at `address`. `generation` is the
    /// start time of the process, Unix time in milliseconds. `seed` initializes the random number
    /// generator.
    pub fn new(
        settings: Settings,
        name: Name,
        address: SocketAddr,
        generation: u64,
        metadata: Metadata,
        seed: u64,
    ) -> Swim {
        let local = Record {
            name,
            address,
            generation,
            incarnation: 0,
            status: Status::Alive,
            metadata_version: 0,
            metadata,
        };
        Swim {
            rng: fastrand::Rng::with_seed(seed),
            local,
            members: MemberTable::default(),
            updates: UpdateQueue::default(),
            probe: None,
            probe_order: ProbeOrder::default(),
            relays: RelayTable::default(),
            sequence: 0,
            health: LocalHealth::new(settings.local_health),
            join: JoinState::new(settings.probe_interval),
            started: false,
            leaving: false,
            timers: Timers::default(),
            counts: Counts::default(),
            settings,
        }
    }

    /// Returns this member's own record.
    pub fn local(&self) -> &Record {
        &self.local
    }

    /// Returns the protocol counters since the start of the process.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the local health score, where 0 is healthy. The probe intervals and timeouts of this
    /// member are multiplied by the score plus one.
    pub fn local_health(&self) -> u32 {
        self.health.score()
    }

    /// Returns the address of another process that uses this member's name, while that prevents
    /// this member from joining.
    pub fn name_conflict(&self) -> Option<SocketAddr> {
        self.join.name_conflict
    }

    /// Returns the state of another member as seen by this one.
    pub fn state(&self, name: &Name) -> MemberState {
        self.members
            .get(name)
            .map_or(MemberState::NeverSeen, members::Member::state)
    }

    /// Returns the view of another member at the time `now`.
    pub fn view(&self, name: &Name, now: Duration) -> MemberView {
        match self.members.get(name) {
            None => MemberView {
                state: MemberState::NeverSeen,
                record: None,
                age: None,
            },
            Some(member) => MemberView {
                state: member.state(),
                record: Some(member.record.clone()),
                age: Some(now.saturating_sub(member.last_received_at)),
            },
        }
    }

    /// Returns the views of all other members that this one has records of.
    pub fn views(&self, now: Duration) -> impl Iterator<Item = (Name, MemberView)> + '_ {
        self.members
            .names()
            .map(move |name| (*name, self.view(name, now)))
    }

    /// Returns how many of the expected members this one sees: 0 while it has a name conflict.
    pub fn quorum(&self) -> Quorum {
        let alive = self
            .members
            .records()
            .filter(|record| record.status == Status::Alive)
            .count();
        let seen = if self.join.name_conflict.is_some() {
            0
        } else {
            alive + 1
        };
        Quorum {
            seen,
            expected: self.settings.expected_members,
        }
    }

    /// Returns the address at which this member reaches another one: the configured override, or
    /// else the address in its record.
    pub fn address(&self, name: &Name) -> Option<SocketAddr> {
        let recorded = || self.members.get(name).map(|member| member.record.address);
        self.settings
            .address_overrides
            .get(name)
            .copied()
            .or_else(recorded)
    }

    /// Handles an event, runs the periodic tasks that are due, and appends to `actions` what the
    /// caller has to do.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.start(now);
        }
        self.compensate_for_stall(now);
        match event {
            Event::Timeout => {}
            Event::Received(received) => self.on_received(received, now, actions),
            Event::MetadataChanged(metadata) => self.set_metadata(metadata),
            Event::Leave => self.leave(now),
        }
        self.run_timers(now, actions);
    }

    fn set_metadata(&mut self, metadata: Metadata) {
        if metadata == self.local.metadata {
            return;
        }
        self.local.metadata = metadata;
        self.local.metadata_version += 1;
        self.updates.enqueue(self.local.name);
    }

    fn leave(&mut self, now: Duration) {
        self.leaving = true;
        self.local.status = Status::Left;
        self.local.metadata.stage = Stage::Leaving;
        self.local.metadata_version += 1;
        self.updates.enqueue(self.local.name);
        self.timers.gossip = now;
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Returns the addresses of up to `count` random members whose records are eligible. There are
    /// fewer if a member is drawn twice.
    fn random_addresses(
        &mut self,
        count: usize,
        eligible: impl Fn(&Record) -> bool,
    ) -> Vec<SocketAddr> {
        let names: Vec<Name> = self
            .members
            .records()
            .filter(|record| eligible(record))
            .map(|record| record.name)
            .collect();
        let draws = names.len().min(count);
        let indexes: BTreeSet<usize> = (0..draws).map(|_| self.rng.usize(0..names.len())).collect();
        indexes
            .into_iter()
            .filter_map(|index| self.address(&names[index]))
            .collect()
    }
}
