//! The connections to endpoints, and which of them are idle.

use super::connection::{ConnectionState, UpstreamConnection};
use super::limits::UpstreamLimits;
use crate::routing::event_source::EventSource;
use crate::routing::io::{Io, MAX_IDLE_BUFFER_BYTES, READ_BUFFER_BYTES};
use crate::transport::{connect, is_fd_shortage, Key, Slots, Stream};
use roseyard_admission::DescriptorUse;
use roseyard_decision::EndpointId;
use roseyard_request_engine::{IdleConnectionRisk, IdleConnectionUse};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// What is held of one endpoint.
#[derive(Default)]
struct EndpointPool {
    /// Idle connections, the latest used last.
    idle: Vec<Key>,
    /// When bytes last arrived on any connection.
    last_received_at: Duration,
}

/// The connections to endpoints.
pub(super) struct ConnectionPool {
    pub(super) connections: Slots<UpstreamConnection>,
    endpoints: HashMap<EndpointId, EndpointPool>,
    /// Idle connections by the time of their last use: the oldest is found without a scan.
    idle_by_age: BTreeSet<(Duration, Key)>,
    /// How likely an idle connection is to be dead.
    pub(super) idle_risk: IdleConnectionRisk,
    limits: UpstreamLimits,
}

impl ConnectionPool {
    pub(super) fn new(limits: UpstreamLimits) -> ConnectionPool {
        ConnectionPool {
            connections: Slots::default(),
            endpoints: HashMap::new(),
            idle_by_age: BTreeSet::new(),
            idle_risk: IdleConnectionRisk::default(),
            limits,
        }
    }

    /// Begins a connection. Where the system has no descriptor left, an idle connection is closed,
    /// or the spare descriptor released.
    pub(super) fn connect(&mut self, to: &SocketAddr, io: &mut Io) -> rustix::io::Result<Stream> {
        match connect(to, READ_BUFFER_BYTES) {
            Err(error) if is_fd_shortage(error) => {
                self.evict_idle(io);
                io.connect(to)
            }
            opened => opened,
        }
    }

    /// Takes a descriptor for this use; an idle connection is closed if there is none.
    pub(super) fn take_descriptor(&mut self, of: DescriptorUse, io: &mut Io) -> bool {
        io.descriptor_budget.take(of) || self.evict_idle(io) && io.descriptor_budget.take(of)
    }

    /// Closes the idle connection that was used longest ago; false if none is idle.
    pub(super) fn evict_idle(&mut self, io: &mut Io) -> bool {
        let Some((_, key)) = self.idle_by_age.first().copied() else {
            return false;
        };
        self.close(key, io);
        true
    }

    /// Takes an idle connection out of the pool: the latest used that was idle for long enough,
    /// unless it is likely to be dead.
    ///
    /// Bytes or an end may follow a reply. Read as the next reply they would be another request's
    /// value, and a request written before an end was seen may have been executed.
    pub(super) fn take_idle(
        &mut self,
        endpoint: EndpointId,
        is_idempotent: bool,
        io: &mut Io,
    ) -> Option<Key> {
        loop {
            let idle = &self.endpoints.get(&endpoint)?.idle;
            let is_settled = |key: &Key| {
                self.connections
                    .get(*key)
                    .is_some_and(|c| c.last_used_at + self.limits.min_idle_time <= io.now)
            };
            let position = idle.iter().rposition(is_settled)?;
            let key = idle[position];
            let connection = self.connections.get(key)?;
            let idle_time = io.now.saturating_sub(connection.last_used_at);
            let choice = if connection.stream.quiet() {
                self.idle_risk.choose(idle_time, is_idempotent, io.now)
            } else {
                IdleConnectionUse::Close
            };
            match choice {
                IdleConnectionUse::Reuse => {
                    self.endpoints.get_mut(&endpoint)?.idle.remove(position);
                    return Some(key);
                }
                IdleConnectionUse::LeaveForIdempotent => return None,
                IdleConnectionUse::Close => self.close(key, io),
            }
        }
    }

    /// Puts an established connection without a request into its endpoint's pool.
    pub(super) fn put_idle(&mut self, key: Key, io: &mut Io) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.state = ConnectionState::Idle;
        connection.last_used_at = io.now;
        connection.stream.trim(MAX_IDLE_BUFFER_BYTES);
        let due = io.now + self.limits.idle_timeout;
        io.deadlines
            .set(&mut connection.due, Some(due), EventSource::Upstream(key));
        let pool = self.endpoints.entry(connection.endpoint).or_default();
        pool.idle.push(key);
        self.idle_by_age.insert((io.now, key));
    }

    /// A connection has a request again; how long it was idle, or none on a new connection.
    pub(super) fn mark_used(&mut self, key: Key, now: Duration) -> Option<Duration> {
        let connection = self.connections.get_mut(key)?;
        self.idle_by_age.remove(&(connection.last_used_at, key));
        let was_idle = matches!(connection.state, ConnectionState::Idle);
        let idle_time = was_idle.then(|| now.saturating_sub(connection.last_used_at));
        connection.last_used_at = now;
        idle_time
    }

    /// Bytes of this endpoint have arrived.
    pub(super) fn record_received(&mut self, endpoint: EndpointId, now: Duration) {
        if let Some(pool) = self.endpoints.get_mut(&endpoint) {
            pool.last_received_at = now;
        }
    }

    /// Closes a connection.
    pub(super) fn close(&mut self, key: Key, io: &mut Io) {
        let Some(mut connection) = self.connections.remove(key) else {
            return;
        };
        io.descriptor_budget.release(DescriptorUse::Upstream);
        self.idle_by_age.remove(&(connection.last_used_at, key));
        io.deadlines
            .set(&mut connection.due, None, EventSource::Upstream(key));
        if let Some(pool) = self.endpoints.get_mut(&connection.endpoint) {
            pool.idle.retain(|idle| *idle != key);
        }
    }

    /// Closes all idle connections to an endpoint.
    pub(super) fn close_idle(&mut self, endpoint: EndpointId, io: &mut Io) {
        let pool = self.endpoints.get_mut(&endpoint);
        let idle = pool.map(|pool| std::mem::take(&mut pool.idle));
        for key in idle.unwrap_or_default() {
            self.close(key, io);
        }
    }

    /// Closes all idle connections to an endpoint of which no byte has arrived since then.
    ///
    /// Those of a machine that vanished stay open without a sign, and a request written there may
    /// have been executed, while a new connection fails before anything is written.
    pub(super) fn close_idle_if_silent(
        &mut self,
        endpoint: EndpointId,
        since: Duration,
        io: &mut Io,
    ) {
        let pool = self.endpoints.get(&endpoint);
        if pool.is_some_and(|pool| pool.last_received_at < since) {
            self.close_idle(endpoint, io);
        }
    }

    /// Forgets an endpoint that is no longer listed.
    pub(super) fn remove_endpoint(&mut self, endpoint: EndpointId) {
        self.endpoints.remove(&endpoint);
    }
}
