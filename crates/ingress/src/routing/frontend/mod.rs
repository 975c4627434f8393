//! The platform's frontend: clients' connections, their commands, and the replies in the order of
//! the commands.
//!
//! - `listener` and `accept`: which connections are accepted
//! - `client`: the state of one connection
//! - `input` and `commands`: what clients send
//! - `output` and `reply`: what they are sent
//! - `timeouts` and `shutdown`: deadlines, and the end of the process
//! - `limits`: the bounds

mod accept;
mod client;
mod commands;
mod input;
mod limits;
mod listener;
mod output;
mod reply;
mod shutdown;
mod timeouts;

pub use commands::{ClassSchema, RequestSchema};
pub use limits::FrontendLimits;

use super::driver::Driver;
use super::event_source::EventSource;
use super::io::Io;
use crate::transport::{Key, Slots};
use client::{Client, PendingReply};
use listener::{connection_id, Listener};
use roseyard_admission::{Action, AdmissionController, AdmissionPolicy, DescriptorUse, Event};
use rustix::fd::OwnedFd;
use std::collections::HashSet;
use std::net::SocketAddr;

/// What the frontend holds for its clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontendUsage {
    /// Requests without a reply, by their clients' ids.
    pub open_requests: usize,
    /// Bytes of incomplete commands and unread replies.
    pub buffered_bytes: usize,
}

/// All clients.
pub struct Frontend {
    listener: Listener,
    clients: Slots<Client>,
    schema: RequestSchema,
    limits: FrontendLimits,
    /// Ids of the open requests, as their clients gave them.
    open_request_ids: HashSet<u64>,
    /// Bytes buffered for all clients.
    buffered_bytes: usize,
    /// Clients that are flushed at the end of this round.
    flush_queue: Vec<Key>,
    /// Clients that are read on in the next round.
    read_queue: Vec<Key>,
    /// Connections end once they are idle.
    is_draining: bool,
    /// Buffer for what is discarded; never written to.
    scratch: Vec<u8>,
    is_ready: bool,
}

impl Frontend {
    /// Listens for clients; `secret` keeps others from choosing addresses that collide in tables.
    ///
    /// # Errors
    /// The system's error if the listener cannot be watched.
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
            clients: Slots::default(),
            schema,
            limits,
            open_request_ids: HashSet::new(),
            buffered_bytes: 0,
            flush_queue: Vec::new(),
            read_queue: Vec::new(),
            is_draining: false,
            scratch: vec![0; limits.max_discard_bytes_per_round],
            is_ready: false,
        })
    }

    /// Requests carry their route in this field from now on.
    pub fn set_route_field(&mut self, field: Option<&str>) {
        self.schema.route_field = field.map(str::to_owned);
    }

    /// Another admission policy is in force from now on.
    pub fn set_policy(&mut self, policy: AdmissionPolicy, io: &mut Io) {
        for action in self.listener.set_policy(policy, io) {
            carry_out(action, &mut self.clients, &mut self.buffered_bytes, io);
        }
    }

    /// From now on `PING` is answered and requests are served.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// Is `PING` answered?
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address()
    }

    /// Clients connected.
    #[must_use]
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Is no client connected?
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// What is held for clients.
    #[must_use]
    pub fn usage(&self) -> FrontendUsage {
        FrontendUsage {
            open_requests: self.open_request_ids.len(),
            buffered_bytes: self.buffered_bytes,
        }
    }

    /// Are clients to be read on in the next round?
    #[must_use]
    pub fn has_scheduled_reads(&self) -> bool {
        !self.read_queue.is_empty()
    }

    /// Admission, with the reputation of clients.
    #[must_use]
    pub fn admission(&self) -> &AdmissionController {
        &self.listener.controller
    }

    /// Admission, to restore the reputation of clients.
    pub fn admission_mut(&mut self) -> &mut AdmissionController {
        &mut self.listener.controller
    }

    /// The summary of admission is due.
    pub fn on_summary_due(&mut self) {
        self.listener.on_summary_due();
    }

    /// The listener's pause is over.
    pub fn on_listener_due(&mut self, io: &mut Io) {
        self.listener.resume(io);
    }

    /// Hands an event to admission, and closes the connections that it names.
    fn notify_admission(&mut self, event: Event, io: &mut Io) {
        let listener = &mut self.listener;
        let clients = &mut self.clients;
        let buffered_bytes = &mut self.buffered_bytes;
        listener.handle(event, io, |action, io| {
            carry_out(action, clients, buffered_bytes, io);
        });
    }

    /// Closes a connection; `is_fault` if that counts against its address.
    fn close(&mut self, key: Key, is_fault: bool, io: &mut Io) -> Option<Client> {
        let client = remove(key, &mut self.clients, &mut self.buffered_bytes, io)?;
        let event = Event::Closed {
            connection: connection_id(key),
            client_fault: is_fault,
        };
        self.notify_admission(event, io);
        Some(client)
    }

    /// Closes a connection, and cancels the requests that the client waited for.
    fn disconnect(&mut self, key: Key, is_fault: bool, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.close(key, is_fault, io) else {
            return;
        };
        for pending in client.pending {
            if let PendingReply::Awaited { request, id } = pending {
                self.open_request_ids.remove(&id);
                driver.cancel_request(request);
            }
        }
    }

    /// Counts the bytes buffered for a client. Over the limit for all, those that hold most are
    /// disconnected.
    fn account(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        if let Some(client) = self.clients.get_mut(key) {
            let stream = &client.stream;
            let buffered = stream.input().len() + stream.unwritten() + client.pending_bytes;
            self.buffered_bytes = self.buffered_bytes - client.buffered_bytes + buffered;
            client.buffered_bytes = buffered;
        }
        while self.buffered_bytes > self.limits.max_buffered_bytes {
            let clients = self.clients.iter();
            let largest = clients.max_by_key(|(_, client)| client.buffered_bytes);
            let Some((largest, _)) = largest else { return };
            tracing::warn!(
                event = "clients.memory_limit",
                "client memory limit reached, closing the largest client"
            );
            self.disconnect(largest, true, driver, io);
        }
    }

    /// The client is flushed at the end of this round.
    fn schedule_flush(&mut self, key: Key) {
        let client = self.clients.get_mut(key);
        if let Some(client) = client.filter(|client| !client.is_flush_scheduled) {
            client.is_flush_scheduled = true;
            self.flush_queue.push(key);
        }
    }

    /// The client is read on in the next round.
    fn schedule_read(&mut self, key: Key) {
        let client = self.clients.get_mut(key);
        if let Some(client) = client.filter(|client| !client.is_read_scheduled) {
            client.is_read_scheduled = true;
            self.read_queue.push(key);
        }
    }
}

/// Takes a connection out of the tables; its socket closes with the client that is returned.
fn remove(
    key: Key,
    clients: &mut Slots<Client>,
    buffered_bytes: &mut usize,
    io: &mut Io,
) -> Option<Client> {
    let mut client = clients.remove(key)?;
    io.deadlines
        .set(&mut client.due, None, EventSource::Client(key));
    io.descriptor_budget.release(DescriptorUse::Clients);
    *buffered_bytes -= client.buffered_bytes;
    Some(client)
}

/// Closes a connection that admission has named. Rejections are handled where they were decided.
fn carry_out(action: Action, clients: &mut Slots<Client>, buffered_bytes: &mut usize, io: &mut Io) {
    if let Action::Close { connection, .. } = action {
        remove(Key::unpack(connection.0), clients, buffered_bytes, io);
    }
}
