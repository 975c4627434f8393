//! The connection pool: all connections to endpoints, including the idle ones that can be reused.

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

/// The idle connections to one endpoint.
#[derive(Default)]
struct EndpointConnections {
    /// Idle connections; the most recently used one is last.
    idle: Vec<Key>,
    /// When bytes last arrived on any connection to the endpoint.
    last_received_at: Duration,
}

/// All connections to endpoints.
pub(super) struct ConnectionPool {
    pub(super) connections: Slots<UpstreamConnection>,
    endpoints: HashMap<EndpointId, EndpointConnections>,
    /// Idle connections in the order of their last use, so that the least recently used one is
    /// found without a scan.
    idle_by_last_use: BTreeSet<(Duration, Key)>,
    /// Estimates how likely it is that an endpoint has closed an idle connection.
    pub(super) idle_risk: IdleConnectionRisk,
    limits: UpstreamLimits,
}

impl ConnectionPool {
    pub(super) fn new(limits: UpstreamLimits) -> ConnectionPool {
        ConnectionPool {
            connections: Slots::default(),
            endpoints: HashMap::new(),
            idle_by_last_use: BTreeSet::new(),
            idle_risk: IdleConnectionRisk::default(),
            limits,
        }
    }

    /// Starts a connection. If the system has no descriptor left, closes an idle connection and, if
    /// that does not suffice, the spare descriptor, and tries again.
    pub(super) fn connect(
        &mut self,
        address: &SocketAddr,
        io: &mut Io,
    ) -> rustix::io::Result<Stream> {
        match connect(address, READ_BUFFER_BYTES) {
            Err(error) if is_fd_shortage(error) => {
                self.evict_idle(io);
                io.connect(address)
            }
            result => result,
        }
    }

    /// Takes a descriptor for this use from the budget, if necessary by closing an idle connection.
    /// Returns false if none is available.
    pub(super) fn take_descriptor(&mut self, descriptor_use: DescriptorUse, io: &mut Io) -> bool {
        io.descriptor_budget.try_acquire(descriptor_use)
            || self.evict_idle(io) && io.descriptor_budget.try_acquire(descriptor_use)
    }

    /// Closes the least recently used idle connection. Returns false if none is idle.
    pub(super) fn evict_idle(&mut self, io: &mut Io) -> bool {
        let Some((_, key)) = self.idle_by_last_use.first().copied() else {
            return false;
        };
        self.close(key, io);
        true
    }

    /// Takes an idle connection out of the pool: the most recently used one that has been idle for
    /// at least [`UpstreamLimits::min_idle_before_reuse`]. Connections that have received bytes or
    /// an end of stream, or are likely to be closed, are closed instead. Returns `None` if no
    /// connection can be used.
    ///
    /// Bytes that follow a reply would otherwise be read as the reply to the next request. If an
    /// end of stream follows a reply and is seen only after the next request was written, that
    /// request may have been executed.
    pub(super) fn take_idle(
        &mut self,
        endpoint: EndpointId,
        is_idempotent: bool,
        io: &mut Io,
    ) -> Option<Key> {
        loop {
            let idle = &self.endpoints.get(&endpoint)?.idle;
            let is_idle_long_enough = |key: &Key| {
                self.connections
                    .get(*key)
                    .is_some_and(|c| c.last_used_at + self.limits.min_idle_before_reuse <= io.now)
            };
            let position = idle.iter().rposition(is_idle_long_enough)?;
            let key = idle[position];
            let connection = self.connections.get(key)?;
            let idle_time = io.now.saturating_sub(connection.last_used_at);
            let choice = if connection.stream.is_open_without_input() {
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

    /// Adds an established connection without a request to the idle connections of its endpoint.
    pub(super) fn put_idle(&mut self, key: Key, io: &mut Io) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.state = ConnectionState::Idle;
        connection.last_used_at = io.now;
        connection
            .stream
            .release_large_buffers(MAX_IDLE_BUFFER_BYTES);
        let due = io.now + self.limits.idle_timeout;
        io.deadlines
            .set(&mut connection.due, Some(due), EventSource::Upstream(key));
        let pool = self.endpoints.entry(connection.endpoint).or_default();
        pool.idle.push(key);
        self.idle_by_last_use.insert((io.now, key));
    }

    /// Records that a connection is used for a request. Returns how long it was idle, or `None` if
    /// it is new.
    pub(super) fn mark_used(&mut self, key: Key, now: Duration) -> Option<Duration> {
        let connection = self.connections.get_mut(key)?;
        self.idle_by_last_use
            .remove(&(connection.last_used_at, key));
        let was_idle = matches!(connection.state, ConnectionState::Idle);
        let idle_time = was_idle.then(|| now.saturating_sub(connection.last_used_at));
        connection.last_used_at = now;
        idle_time
    }

    /// Records that bytes have arrived from an endpoint.
    pub(super) fn record_received(&mut self, endpoint: EndpointId, now: Duration) {
        if let Some(pool) = self.endpoints.get_mut(&endpoint) {
            pool.last_received_at = now;
        }
    }

    /// Closes a connection, and gives its descriptor back to the budget.
    pub(super) fn close(&mut self, key: Key, io: &mut Io) {
        let Some(mut connection) = self.connections.remove(key) else {
            return;
        };
        io.descriptor_budget.release(DescriptorUse::Upstream);
        self.idle_by_last_use
            .remove(&(connection.last_used_at, key));
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

    /// Closes all idle connections to an endpoint if no byte has arrived from it since then. Called
    /// after a request has timed out.
    ///
    /// Connections to a machine that has lost power or network appear to be open. A request that is
    /// written on such a connection counts as possibly executed and must not always be retried,
    /// whereas a new connection fails before anything is written.
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

    /// Removes the state of an endpoint that is no longer in the endpoint list.
    pub(super) fn remove_endpoint(&mut self, endpoint: EndpointId) {
        self.endpoints.remove(&endpoint);
    }
}
