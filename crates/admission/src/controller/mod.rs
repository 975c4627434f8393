//! The admission controller, a state machine.
//!
//! [`connect`] admits or rejects new connections. [`request`] admits or rejects requests, and
//! records their results for the reputation of the client. [`eviction`] selects the idle
//! connections that are closed. [`client_histories`] holds the histories of clients, and
//! [`connection_table`] the open connections.

mod client_histories;
mod connect;
mod connection_table;
mod eviction;
mod request;

use crate::event::{Action, ConnectionId, Event, RejectionReason, REJECTION_REASONS};
use crate::gcra::Gcra;
use crate::policy::AdmissionPolicy;
use crate::reputation::Reputation;
use crate::snapshot::Snapshot;
use client_histories::ClientHistories;
use connection_table::{Connection, ConnectionTable};
use std::time::Duration;

pub use client_histories::CacheSizes;

/// The minimum time for which accepting is paused; applies if the policy's
/// `first_command_grace_period` is shorter.
const MIN_ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// The number of served requests at which a connection becomes known during the warm-up period. It
/// is lower than [`MIN_SERVED_REQUESTS_OF_KNOWN`] because many requests are rejected in that period
/// that would be served later.
const MIN_SERVED_REQUESTS_OF_KNOWN_IN_WARM_UP: u32 = 1;
/// The number of served requests at which a connection becomes known after the warm-up period.
const MIN_SERVED_REQUESTS_OF_KNOWN: u32 = 2;

/// The numbers of rejections since the controller was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// The number of connections that were rejected or closed for each reason, in the order of
    /// [`REJECTION_REASONS`].
    pub connections: [u64; REJECTION_REASONS.len()],
    /// The number of new clients' requests that were rejected, because they exceeded the capacity
    /// for new clients or their request rate.
    pub requests: u64,
}

/// Decides which connections are accepted, which requests of new clients are admitted, and which
/// idle connections are closed.
pub struct AdmissionController {
    policy: AdmissionPolicy,
    connections: ConnectionTable,
    histories: ClientHistories,
    /// The number of new clients' connections with open requests.
    busy_new_clients: usize,
    /// The end of the warm-up period.
    warm_up_end: Duration,
    rejection_counts: RejectionCounts,
    /// The rate limiter of the requests of all new clients together.
    new_client_request_limiter: Gcra,
}

impl AdmissionController {
    /// Creates a controller without connections or histories. The warm-up period begins at `now`.
    /// `secret` is the key of the hash tables; clients that do not know it cannot choose addresses
    /// that collide.
    #[must_use]
    pub fn new(policy: AdmissionPolicy, secret: u64, now: Duration) -> AdmissionController {
        AdmissionController {
            connections: ConnectionTable::default(),
            histories: ClientHistories::new(policy.history_cache_capacity, secret),
            busy_new_clients: 0,
            warm_up_end: now + policy.warm_up_period,
            rejection_counts: RejectionCounts::default(),
            new_client_request_limiter: Gcra::default(),
            policy,
        }
    }

    /// Returns the current policy.
    #[must_use]
    pub fn policy(&self) -> &AdmissionPolicy {
        &self.policy
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the numbers of rejections since the controller was created.
    #[must_use]
    pub fn rejection_counts(&self) -> RejectionCounts {
        self.rejection_counts
    }

    /// Returns the number of client histories that are kept, and the memory that they take.
    #[must_use]
    pub fn cache_sizes(&self) -> CacheSizes {
        self.histories.sizes()
    }

    /// Returns the reputation of a connection; `None` if it is not open.
    #[must_use]
    pub fn reputation(&self, id: ConnectionId, now: Duration) -> Option<Reputation> {
        self.connections
            .get(id)
            .map(|connection| self.reputation_of(connection, now))
    }

    /// Returns the time after which the caller closes the connection if it stays idle.
    #[must_use]
    pub fn idle_timeout_of(&self, id: ConnectionId) -> Duration {
        let Some(connection) = self.connections.get(id) else {
            return self.policy.idle_timeout_without_command;
        };
        match connection.command_count {
            _ if connection.is_allowlisted => self.policy.idle_timeout,
            0 => self.policy.idle_timeout_without_command,
            1 => self.policy.idle_timeout_after_one_command,
            _ => self.policy.idle_timeout,
        }
    }

    /// Returns the time until which the caller should accept no connection; `None` if it may accept
    /// one now. Accepting is paused while the capacity is exhausted and the only connections that
    /// could be evicted are in their `first_command_grace_period`.
    #[must_use]
    pub fn accept_paused_until(&self, now: Duration) -> Option<Duration> {
        let has_capacity = self.open_connections() < self.policy.capacity;
        if has_capacity || self.eviction_candidate(Reputation::New, now).is_some() {
            return None;
        }
        let longest_idle = self.connections.longest_idle_of(Reputation::NoCommand)?;
        let grace_end = longest_idle.idle_since + self.policy.first_command_grace_period;
        Some(grace_end).filter(|until| *until > now)
    }

    /// Handles an event. Appends the actions that the caller must perform to `actions`, in order.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Connected {
                connection,
                peer_address,
            } => self.on_connected(now, connection, peer_address, actions),
            Event::RequestReceived {
                connection,
                customer,
            } => self.on_request_received(now, connection, customer, actions),
            Event::CommandHandled(connection) => self.on_command_handled(connection),
            Event::ProtocolError(connection) => self.on_protocol_error(now, connection),
            Event::RequestAnswered {
                connection,
                served: true,
            } => self.on_request_served(now, connection),
            Event::RequestAnswered { served: false, .. } => {}
            Event::BecameIdle(connection) => self.on_became_idle(now, connection, actions),
            Event::HalfClosed(connection) => self.on_half_closed(now, connection, actions),
            Event::Closed {
                connection,
                client_fault,
            } => self.on_closed(now, connection, client_fault),
            Event::DescriptorsExhausted => self.on_descriptors_exhausted(now, actions),
        }
    }

    fn on_closed(&mut self, now: Duration, id: ConnectionId, client_fault: bool) {
        if client_fault {
            self.record_fault(id, now);
        }
        self.remove(id, now);
    }

    fn on_descriptors_exhausted(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match self.eviction_candidate(Reputation::New, now) {
            Some(id) => self.close(id, RejectionReason::Evicted, now, actions),
            None => actions.push(Action::PauseAccepting {
                until: now + self.policy.first_command_grace_period.max(MIN_ACCEPT_PAUSE),
            }),
        }
    }

    /// Replaces the policy. Idle connections that exceed a lowered limit are closed at once, and
    /// busy connections when they become idle.
    pub fn set_policy(
        &mut self,
        policy: AdmissionPolicy,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        if policy.prefix_lengths != self.policy.prefix_lengths {
            // Keys of the previous prefix lengths would never be found again, so their histories
            // are dropped together with the counts of open connections.
            self.connections.forget_addresses();
            self.histories
                .forget_addresses(policy.history_cache_capacity);
        }
        self.histories.resize(policy.history_cache_capacity);
        self.policy = policy;
        for id in self.connections.idle_in_eviction_order() {
            if let Some(reason) = self.exceeded_cap(id) {
                self.close(id, reason, now, actions);
            }
        }
        while self.open_connections() > self.policy.capacity {
            let Some(id) = self.connections.first_to_evict() else {
                break;
            };
            self.close(id, RejectionReason::Evicted, now, actions);
        }
    }

    /// Returns a snapshot of up to `max_records` client addresses and as many customers that had
    /// requests served. Those with open connections come first, then the others from the most
    /// recent to the oldest.
    #[must_use]
    pub fn snapshot(&self, max_records: usize, now: Duration) -> Snapshot {
        self.histories
            .snapshot(max_records, now, self.policy.known_half_life)
    }

    /// Adds the client addresses and customers of a snapshot that was written `age` ago.
    pub fn restore(&mut self, snapshot: &Snapshot, age: Duration, now: Duration) {
        self.histories.restore(snapshot, age, now, &self.policy);
    }

    /// Returns the reputation of a connection. An address can make its connection known only after
    /// the first command; otherwise connections of a known address that send nothing would be
    /// protected from eviction. Once a request was served, faults of the address no longer make the
    /// connection suspect.
    fn reputation_of(&self, connection: &Connection, now: Duration) -> Reputation {
        match connection {
            c if c.is_half_closed => Reputation::HalfClosed,
            c if c.is_allowlisted => Reputation::Allowlisted,
            c if self.is_suspect(c, now) => Reputation::Suspect,
            c if c.command_count == 0 => Reputation::NoCommand,
            c if self.is_known(c, now) => Reputation::Known,
            c if c.command_count > 1 || c.is_trusted_by_customer => Reputation::New,
            _ => Reputation::OneCommand,
        }
    }

    fn is_suspect(&self, connection: &Connection, now: Duration) -> bool {
        let is_address_suspect = || {
            connection
                .address
                .is_some_and(|address| self.policy.is_suspect(self.histories.client(address), now))
        };
        connection.fault_count > connection.served_count
            || connection.served_count == 0 && is_address_suspect()
    }

    fn is_known(&self, connection: &Connection, now: Duration) -> bool {
        let min_served_requests = if now < self.warm_up_end {
            MIN_SERVED_REQUESTS_OF_KNOWN_IN_WARM_UP
        } else {
            MIN_SERVED_REQUESTS_OF_KNOWN
        };
        let is_address_known = || {
            connection
                .address
                .is_some_and(|address| self.policy.is_known(self.histories.client(address), now))
        };
        connection.command_count > 1 && connection.served_count >= min_served_requests
            || is_address_known()
    }
}
