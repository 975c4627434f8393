//! The client side of the ingress: accepts client connections, reads and executes their commands,
//! and writes the replies of each connection in the order of its commands.
//!
//! - `listener` and `accept`: accept connections, as admission allows
//! - `client` and `client_table`: state of one connection, and of all
//! - `input`, `commands` and `execution`: read, parse and execute commands
//! - `output` and `reply`: encode and write replies
//! - `closing`: rejects the commands that are left on a connection that is being closed
//! - `rejection`: closes refused and evicted connections
//! - `memory`: the limit on buffered bytes, and who gives way when it is reached
//! - `timeouts` and `shutdown`: deadlines of connections, and graceful shutdown
//! - `limits`: limits on client connections

mod accept;
mod client;
mod client_table;
mod closing;
mod commands;
mod execution;
mod input;
mod limits;
mod listener;
mod memory;
mod output;
mod rejection;
mod reply;
mod shutdown;
mod timeouts;

pub use commands::{ClassSchema, RequestSchema};
pub use limits::FrontendLimits;

use super::driver::Driver;
use super::io::Io;
use crate::transport::Key;
use client::{Client, PendingReply};
use client_table::ClientTable;
use listener::{connection_id, Listener};
use roseyard_admission::{AdmissionController, AdmissionPolicy, Event};
use rustix::fd::OwnedFd;
use std::collections::HashSet;
use std::net::SocketAddr;

/// The number of open requests and the memory that the frontend holds for its clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontendUsage {
    /// The number of requests that have no reply yet.
    pub open_requests: usize,
    /// Bytes of unparsed input and of replies that are not written yet.
    pub buffered_bytes: usize,
}

/// Serves all client connections. The event loop calls it when a connection is ready or a deadline
/// has passed.
pub struct Frontend {
    listener: Listener,
    clients: ClientTable,
    schema: RequestSchema,
    limits: FrontendLimits,
    /// Request ids, chosen by the clients, of all open requests.
    open_request_ids: HashSet<u64>,
    /// Clients whose output is flushed at the end of this iteration of the event loop.
    flush_queue: Vec<Key>,
    /// Clients whose input is read further in the next iteration.
    read_queue: Vec<Key>,
    /// The process is shutting down: each connection is closed once it is idle.
    is_draining: bool,
    /// Passed to the socket when input is discarded. Its length limits one call; the kernel drops
    /// the input without copying it here.
    discard_buffer: Vec<u8>,
    is_ready: bool,
}

impl Frontend {
    /// Returns a frontend that accepts connections from `listener`. `secret` seeds the hashing of
    /// addresses, so that attackers cannot choose addresses that collide in a table.
    ///
    /// # Errors
    /// Returns the system's error if the listener cannot be registered with the poller.
    pub fn new(
        listener: OwnedFd,
        schema: RequestSchema,
        policy: AdmissionPolicy,
        secret: u64,
        limits: FrontendLimits,
        io: &mut Io,
    ) -> rustix::io::Result<Frontend> {
        Ok(Frontend {
            listener: Listener::new(listener, policy, secret, limits, io)?,
            clients: ClientTable::new(limits),
            schema,
            limits,
            open_request_ids: HashSet::new(),
            flush_queue: Vec::new(),
            read_queue: Vec::new(),
            is_draining: false,
            discard_buffer: vec![0; limits.max_discard_bytes_per_iteration],
            is_ready: false,
        })
    }

    /// Sets the name of the request field that carries the route; `None` if requests have no route.
    pub fn set_route_field(&mut self, field: Option<&str>) {
        self.schema.route_field = field.map(str::to_owned);
    }

    /// Replaces the admission policy. Idle connections beyond its limits are closed at once, busy
    /// ones when they become idle.
    pub fn set_policy(&mut self, policy: AdmissionPolicy, io: &mut Io) {
        for action in self.listener.set_policy(policy, io) {
            self.clients.apply_action(action, io);
        }
    }

    /// Marks the ingress as ready: from now on it answers `PING` with `PONG` and serves requests.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// Whether [`Self::set_ready`] was called. Until then `PING` gets an error and requests are
    /// rejected.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Returns the address of the listener; `None` once the listener is closed.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address()
    }

    /// Returns the number of connected clients.
    #[must_use]
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether no client is connected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Returns the number of open requests and of buffered bytes.
    #[must_use]
    pub fn usage(&self) -> FrontendUsage {
        FrontendUsage {
            open_requests: self.open_request_ids.len(),
            buffered_bytes: self.clients.buffered_bytes(),
        }
    }

    /// Whether a client has input that the next iteration has to read without waiting for an event.
    #[must_use]
    pub fn has_scheduled_reads(&self) -> bool {
        !self.read_queue.is_empty()
    }

    /// Returns the admission controller, whose client reputations are stored in the snapshot.
    #[must_use]
    pub fn admission(&self) -> &AdmissionController {
        &self.listener.controller
    }

    /// Returns the admission controller, to restore client reputations from the snapshot.
    pub fn admission_mut(&mut self) -> &mut AdmissionController {
        &mut self.listener.controller
    }

    /// Called when the summary of rejected connections and requests is to be logged.
    pub fn on_summary_deadline(&mut self) {
        self.listener.on_summary_deadline();
    }

    /// Called when the pause of the listener is over.
    pub fn on_listener_deadline(&mut self, io: &mut Io) {
        self.listener.resume(io);
    }

    /// Passes an event to the admission controller, and closes the connections that it evicts.
    fn notify_admission(&mut self, event: Event, io: &mut Io) {
        let clients = &mut self.clients;
        self.listener
            .handle(event, io, |action, io| clients.apply_action(action, io));
    }

    /// Closes a connection. `is_client_fault` says whether this counts against the client's
    /// address.
    fn close(&mut self, key: Key, is_client_fault: bool, io: &mut Io) -> Option<Client> {
        let client = self.clients.remove(key, io)?;
        let event = Event::Closed {
            connection: connection_id(key),
            client_fault: is_client_fault,
        };
        self.notify_admission(event, io);
        Some(client)
    }

    /// Closes a connection and cancels its open requests.
    fn disconnect(&mut self, key: Key, is_client_fault: bool, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.close(key, is_client_fault, io) else {
            return;
        };
        for pending in client.pending_replies {
            if let PendingReply::Awaited { request, id } = pending {
                self.open_request_ids.remove(&id);
                driver.cancel_request(request);
            }
        }
    }

    /// Queues a client's output to be flushed at the end of this iteration.
    fn schedule_flush(&mut self, key: Key) {
        let client = self.clients.get_mut(key);
        if let Some(client) = client.filter(|client| !client.is_flush_scheduled) {
            client.is_flush_scheduled = true;
            self.flush_queue.push(key);
        }
    }

    /// Queues a client to be read further in the next iteration.
    fn schedule_read(&mut self, key: Key) {
        let client = self.clients.get_mut(key);
        if let Some(client) = client.filter(|client| !client.is_read_scheduled) {
            client.is_read_scheduled = true;
            self.read_queue.push(key);
        }
    }
}
