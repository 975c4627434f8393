//! The connected clients, and the number of bytes that are buffered for them.

use super::client::Client;
use super::limits::FrontendLimits;
use super::rejection::close_idle;
use crate::routing::event_source::EventSource;
use crate::routing::io::Io;
use crate::transport::{Key, Slots, Stream};
use roseyard_admission::{Action, DescriptorUse};

/// The connected clients by key.
pub(super) struct ClientTable {
    clients: Slots<Client>,
    /// The sum of `Client::buffered_bytes` over all clients.
    buffered_bytes: usize,
    limits: FrontendLimits,
}

impl ClientTable {
    pub(super) fn new(limits: FrontendLimits) -> ClientTable {
        ClientTable {
            clients: Slots::default(),
            buffered_bytes: 0,
            limits,
        }
    }

    pub(super) fn get(&self, key: Key) -> Option<&Client> {
        self.clients.get(key)
    }

    pub(super) fn get_mut(&mut self, key: Key) -> Option<&mut Client> {
        self.clients.get_mut(key)
    }

    pub(super) fn len(&self) -> usize {
        self.clients.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    pub(super) fn keys(&self) -> Vec<Key> {
        self.clients.iter().map(|(key, _)| key).collect()
    }

    /// Returns the number of bytes that are buffered for all clients.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Adds the client of a connection that was accepted. It holds no descriptor of the budget yet.
    pub(super) fn insert(&mut self, stream: Stream, io: &Io) -> Key {
        self.clients.insert_with(|_| Client::new(stream, io.now))
    }

    /// Removes a client that holds no descriptor of the budget.
    pub(super) fn remove_unadmitted(&mut self, key: Key) -> Option<Client> {
        self.clients.remove(key)
    }

    /// Removes a client, with its deadline, descriptor and buffered bytes, without informing
    /// admission. The socket is closed when the returned client is dropped.
    pub(super) fn remove(&mut self, key: Key, io: &mut Io) -> Option<Client> {
        let mut client = self.clients.remove(key)?;
        io.deadlines
            .set(&mut client.deadline, None, EventSource::Client(key));
        io.descriptor_budget.release(DescriptorUse::Clients);
        self.buffered_bytes -= client.buffered_bytes;
        Some(client)
    }

    /// Closes the connection that admission evicts with [`Action::Close`], which is idle. The
    /// callers of admission handle rejections themselves.
    pub(super) fn apply_action(&mut self, action: Action, io: &mut Io) {
        if let Action::Close { connection, .. } = action {
            if let Some(client) = self.remove(Key::unpack(connection.0), io) {
                let retry_after = self.limits.retry_after_at_capacity;
                close_idle(client.stream, retry_after, &self.limits.protocol);
            }
        }
    }

    /// Updates the number of bytes that are buffered for a client.
    pub(super) fn count_buffered_bytes(&mut self, key: Key) {
        if let Some(client) = self.clients.get_mut(key) {
            let buffered = client.count_buffered_bytes();
            self.buffered_bytes = self.buffered_bytes - client.buffered_bytes + buffered;
            client.buffered_bytes = buffered;
        }
    }

    /// Returns the client for which `bytes` is largest; `None` if it is 0 for all.
    pub(super) fn client_with_most(&self, bytes: impl Fn(&Client) -> usize) -> Option<Key> {
        let sizes = self
            .clients
            .iter()
            .map(|(key, client)| (key, bytes(client)));
        let largest = sizes
            .filter(|(_, size)| *size > 0)
            .max_by_key(|(_, size)| *size);
        largest.map(|(key, _)| key)
    }

    /// Returns the client with the most input among those that meet the condition; `None` if none
    /// of them has any.
    pub(super) fn client_with_most_input(
        &self,
        condition: impl Fn(&Client) -> bool,
    ) -> Option<Key> {
        self.client_with_most(|client| {
            if condition(client) {
                client.stream.input().len()
            } else {
                0
            }
        })
    }
}
