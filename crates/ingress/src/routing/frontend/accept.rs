//! New connections: accepted as far as admission and descriptors allow.

use super::client::Client;
use super::listener::{connection_id, reject, Accepted};
use super::{carry_out, Frontend};
use crate::routing::driver::Driver;
use crate::routing::event_source::EventSource;
use crate::routing::io::Io;
use crate::transport::{spare, Key, Stream};
use roseyard_admission::{Action, DescriptorUse, Event};
use std::net::IpAddr;
use std::time::Duration;

impl Frontend {
    /// Connections wait at the listener: accepts as many as one round may.
    pub fn accept(&mut self, driver: &mut Driver, io: &mut Io) {
        self.accept_up_to(self.limits.max_accepts_per_round, driver, io);
    }

    pub(super) fn accept_up_to(&mut self, max: usize, driver: &mut Driver, io: &mut Io) {
        for _ in 0..max {
            match self.listener.accept(io) {
                Accepted::Connection(stream, peer) => self.on_accepted(stream, peer, driver, io),
                Accepted::Nothing => return,
                Accepted::Failed => {}
                Accepted::DescriptorsExhausted => {
                    if !driver.evict_idle(io) && !self.evict_client(io) {
                        return self.listener.reject_one(io);
                    }
                }
            }
        }
    }

    /// Holds a spare descriptor again after it was used.
    pub fn restore_spare_descriptor(&mut self, io: &mut Io) {
        if io.spare_descriptor.is_none() {
            io.spare_descriptor = spare();
            if io.spare_descriptor.is_none() && self.evict_client(io) {
                io.spare_descriptor = spare();
            }
        }
    }

    /// A connection was accepted: it stays if admission and the descriptors allow.
    fn on_accepted(&mut self, stream: Stream, peer: IpAddr, driver: &mut Driver, io: &mut Io) {
        let key = self.clients.insert_with(|_| Client::new(stream, io.now));
        if let Some(retry_after) = self.connection_rejection(key, peer, io) {
            return self.reject_client(key, retry_after);
        }
        // Upstream may have borrowed the descriptor that admission counts on.
        if !driver.take_descriptor(DescriptorUse::Clients, io) {
            let event = Event::Closed {
                connection: connection_id(key),
                client_fault: false,
            };
            self.listener.handle(event, io, |_, _| ());
            return self.reject_client(key, self.listener.controller.policy().retry_after);
        }
        let token = EventSource::Client(key).token();
        let client = self.clients.get(key);
        if client.is_some_and(|client| io.poller.add(client.stream.fd(), token).is_err()) {
            self.close(key, false, io);
        }
        self.arm(key, io);
    }

    /// Consults admission on a connection: the time after which to retry, if it is rejected.
    fn connection_rejection(&mut self, key: Key, peer: IpAddr, io: &mut Io) -> Option<Duration> {
        let mut rejected = None;
        let event = Event::Connected {
            connection: connection_id(key),
            peer_address: peer,
        };
        let listener = &mut self.listener;
        let clients = &mut self.clients;
        let buffered_bytes = &mut self.buffered_bytes;
        listener.handle(event, io, |action, io| match action {
            Action::RejectConnection { retry_after, .. } => rejected = Some(retry_after),
            _ => carry_out(action, clients, buffered_bytes, io),
        });
        rejected
    }

    /// Rejects a connection that holds no descriptor of the budget yet.
    fn reject_client(&mut self, key: Key, retry_after: Duration) {
        if let Some(client) = self.clients.remove(key) {
            reject(client.stream, retry_after);
        }
    }

    /// Closes the idle client that admission names; false if there is none.
    fn evict_client(&mut self, io: &mut Io) -> bool {
        let before = self.clients.len();
        self.notify_admission(Event::DescriptorsExhausted, io);
        self.clients.len() < before
    }
}
