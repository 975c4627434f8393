//! The state machine: connections come, ask, are answered, become idle and go; it says which are
//! turned away and which are closed for others.
//!
//! [`connect`] decides on new connections, [`request`] on requests and what they say of a client,
//! [`eviction`] on which idle connection goes, [`histories`] keeps what is remembered of clients
//! and [`connections`] the table of open connections.

mod connect;
mod connections;
mod eviction;
mod histories;
mod request;

use crate::event::{Action, ConnectionId, Event, RejectionReason, REJECTION_REASONS};
use crate::policy::AdmissionPolicy;
use crate::rate::Gcra;
use crate::reputation::Reputation;
use crate::snapshot::Snapshot;
use connections::{Connection, ConnectionTable};
use histories::Histories;
use std::time::Duration;

pub use histories::CacheSizes;

/// Shortest pause of accepting, however short the policy's `first_command_grace` is.
const SHORTEST_PAUSE: Duration = Duration::from_millis(1);

/// Admission of connections.
pub struct AdmissionController {
    policy: AdmissionPolicy,
    connections: ConnectionTable,
    histories: Histories,
    /// Newcomers with requests open.
    busy_newcomers: usize,
    /// Connections that come again are known after one served request until then.
    warm_until: Duration,
    counts: [u64; REJECTION_REASONS.len()],
    refused: u64,
    /// Requests of all newcomers.
    newcomer_pace: Gcra,
}

impl AdmissionController {
    /// An empty gate; `secret` keeps others from choosing addresses that collide in its tables.
    pub fn new(policy: AdmissionPolicy, secret: u64, now: Duration) -> AdmissionController {
        AdmissionController {
            connections: ConnectionTable::default(),
            histories: Histories::new(policy.max_remembered, secret),
            busy_newcomers: 0,
            warm_until: now + policy.warm_up,
            counts: [0; REJECTION_REASONS.len()],
            refused: 0,
            newcomer_pace: Gcra::default(),
            policy,
        }
    }

    /// The settings in force.
    pub fn policy(&self) -> &AdmissionPolicy {
        &self.policy
    }

    /// Connections held.
    pub fn held(&self) -> usize {
        self.connections.len()
    }

    /// Connections turned away or closed so far, by [`REJECTION_REASONS`].
    pub fn counts(&self) -> [u64; REJECTION_REASONS.len()] {
        self.counts
    }

    /// Requests refused so far because their place was lent, or for the pace of newcomers.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// How much is remembered of clients.
    pub fn cache_sizes(&self) -> CacheSizes {
        self.histories.sizes()
    }

    /// The reputation of a connection; none if it is not held.
    pub fn reputation(&self, conn: ConnectionId, now: Duration) -> Option<Reputation> {
        self.connections
            .get(conn)
            .map(|connection| self.reputation_of(connection, now))
    }

    /// How long a connection may be idle.
    pub fn idle_timeout_of(&self, conn: ConnectionId) -> Duration {
        match self.connections.get(conn).map(|c| (c.is_listed, c.asked)) {
            Some((false, 0)) | None => self.policy.idle_timeout_without_request,
            Some((false, 1)) => self.policy.idle_timeout_after_one_request,
            Some(_) => self.policy.idle_timeout,
        }
    }

    /// Until when nothing is to be accepted: every place is held, and the only connections that
    /// could go have not yet had time to speak.
    pub fn pause(&self, now: Duration) -> Option<Duration> {
        if self.held() < self.policy.capacity || self.victim(Reputation::Newcomer, now).is_some() {
            return None;
        }
        let first = self.connections.longest_idle_of(Reputation::Silent)?;
        Some(first.idle_since + self.policy.first_command_grace).filter(|at| *at > now)
    }

    /// Takes in what has happened; what is to be done is added to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Connected { conn, peer } => self.on_connected(now, conn, peer, out),
            Event::RequestReceived { conn, customer } => self.on_asked(now, conn, customer, out),
            Event::CommandHandled(conn) => self.on_greeted(conn),
            Event::ProtocolError(conn) => self.on_wrong(now, conn),
            Event::Answered { conn, served: true } => self.on_served(now, conn),
            Event::Answered { served: false, .. } => {}
            Event::BecameIdle(conn) => self.on_rested(now, conn, out),
            Event::HalfClosed(conn) => self.on_ending(now, conn, out),
            Event::Closed { conn, fault } => self.on_closed(now, conn, fault),
            Event::DescriptorsExhausted => self.on_shortage(now, out),
        }
    }

    fn on_closed(&mut self, now: Duration, conn: ConnectionId, fault: bool) {
        if fault {
            self.note_fault(conn, now);
        }
        self.remove(conn, now);
    }

    fn on_shortage(&mut self, now: Duration, out: &mut Vec<Action>) {
        match self.victim(Reputation::Newcomer, now) {
            Some(conn) => self.close(conn, RejectionReason::Displaced, now, out),
            None => out.push(Action::Pause {
                until: now + self.policy.first_command_grace.max(SHORTEST_PAUSE),
            }),
        }
    }

    /// Other settings hold from now on. What is open beyond a lowered bound goes once it is idle.
    pub fn set_policy(&mut self, policy: AdmissionPolicy, now: Duration, out: &mut Vec<Action>) {
        if policy.prefixes != self.policy.prefixes {
            // Keys mean something else now: what is remembered under the old ones is dropped with
            // its counts.
            self.connections.forget_addresses();
            self.histories.forget_addresses(policy.max_remembered);
        }
        self.histories.resize(policy.max_remembered);
        self.policy = policy;
        for conn in self.connections.idle_in_eviction_order() {
            if let Some(why) = self.exceeded_cap(conn) {
                self.close(conn, why, now, out);
            }
        }
        while self.held() > self.policy.capacity {
            let Some(conn) = self.connections.first_to_evict() else {
                break;
            };
            self.close(conn, RejectionReason::Displaced, now, out);
        }
    }

    /// What is worth keeping over a restart: up to `most` client addresses and as many customers
    /// that were served, those with a connection open and the latest first.
    pub fn snapshot(&self, most: usize, now: Duration) -> Snapshot {
        self.histories
            .snapshot(most, now, self.policy.known_half_life)
    }

    /// Takes a snapshot in that was made so long ago.
    pub fn restore(&mut self, snapshot: &Snapshot, age: Duration, now: Duration) {
        self.histories.restore(snapshot, age, now, &self.policy);
    }

    /// The reputation of a connection. Its own conduct goes first; its address speaks where
    /// addresses count, and never for one that has asked nothing: guards against a known address
    /// that only connects.
    fn reputation_of(&self, connection: &Connection, now: Duration) -> Reputation {
        let client = connection
            .address
            .map(|address| self.histories.client(address));
        let is_suspect = |connection: &Connection| {
            connection.faults > connection.served
                || connection.served == 0
                    && client.is_some_and(|history| self.policy.is_suspect(history, now))
        };
        let is_known = |connection: &Connection| {
            connection.asked > 1 && connection.served >= self.served_to_be_known(now)
                || client.is_some_and(|history| self.policy.is_known(history, now))
        };
        match connection {
            c if c.is_ending => Reputation::Ending,
            c if c.is_listed => Reputation::AddressList,
            c if is_suspect(c) => Reputation::Suspect,
            c if c.asked == 0 => Reputation::Silent,
            c if is_known(c) => Reputation::Known,
            c if c.asked > 1 || c.is_vouched => Reputation::Newcomer,
            _ => Reputation::Once,
        }
    }

    /// Served requests that make a connection known. After a start many requests are refused that
    /// would not be later: one is enough.
    fn served_to_be_known(&self, now: Duration) -> u32 {
        if now < self.warm_until {
            1
        } else {
            2
        }
    }
}
