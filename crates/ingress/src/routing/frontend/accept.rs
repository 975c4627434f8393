//! Accepts connections as far as admission and the budget of file descriptors allow.

use super::listener::{connection_id, AcceptOutcome};
use super::rejection::reject;
use super::Frontend;
use crate::routing::driver::Driver;
use crate::routing::event_source::EventSource;
use crate::routing::io::Io;
use crate::transport::{open_spare_descriptor, Key, Stream};
use roseyard_admission::{Action, DescriptorUse, Event};
use std::net::IpAddr;
use std::time::Duration;

impl Frontend {
    /// Accepts waiting connections, up to the limit of one iteration. Called when the listener is
    /// readable or its pause is over.
    pub fn accept(&mut self, driver: &mut Driver, io: &mut Io) {
        self.accept_up_to(self.limits.max_accepts_per_iteration, driver, io);
    }

    /// Accepts up to `max` waiting connections. If descriptors are exhausted, closes an idle
    /// upstream connection or an idle client, or else rejects the waiting connections and stops.
    pub(super) fn accept_up_to(&mut self, max: usize, driver: &mut Driver, io: &mut Io) {
        for _ in 0..max {
            match self.listener.accept(io) {
                AcceptOutcome::Connection(stream, peer) => self.admit(stream, peer, driver, io),
                AcceptOutcome::Nothing => return,
                AcceptOutcome::Failed => {}
                AcceptOutcome::DescriptorsExhausted => {
                    if !driver.evict_idle(io) && !self.evict_idle_client(io) {
                        return self.listener.reject_waiting(io);
                    }
                }
            }
        }
    }

    /// Opens the spare descriptor again if it was released. Evicts an idle client if there is no
    /// descriptor for it.
    pub fn restore_spare_descriptor(&mut self, io: &mut Io) {
        if io.spare_descriptor.is_none() {
            io.spare_descriptor = open_spare_descriptor();
            if io.spare_descriptor.is_none() && self.evict_idle_client(io) {
                io.spare_descriptor = open_spare_descriptor();
            }
        }
    }

    /// Keeps an accepted connection if admission and the descriptor budget allow it, and rejects it
    /// otherwise.
    fn admit(&mut self, stream: Stream, peer: IpAddr, driver: &mut Driver, io: &mut Io) {
        let key = self.clients.insert(stream, io);
        if let Some(retry_after) = self.connection_rejection(key, peer, io) {
            return self.reject_client(key, retry_after);
        }
        // The descriptor that admission counts on may be in use by an upstream connection.
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
            let retry_after = self.listener.controller.policy().retry_after;
            self.close_rejected(key, false, retry_after, io);
        }
        self.update_deadline(key, io);
    }

    /// Reports a connection to admission. If admission rejects it, returns the time after which the
    /// client may retry.
    fn connection_rejection(&mut self, key: Key, peer: IpAddr, io: &mut Io) -> Option<Duration> {
        let mut rejected = None;
        let event = Event::Connected {
            connection: connection_id(key),
            peer_address: peer,
        };
        let clients = &mut self.clients;
        self.listener.handle(event, io, |action, io| match action {
            Action::RejectConnection { retry_after, .. } => rejected = Some(retry_after),
            _ => clients.apply_action(action, io),
        });
        rejected
    }

    /// Rejects a connection for which no descriptor was taken from the budget yet.
    fn reject_client(&mut self, key: Key, retry_after: Duration) {
        if let Some(client) = self.clients.remove_unadmitted(key) {
            reject(client.stream, retry_after, &self.limits.protocol);
        }
    }

    /// Closes the idle client that admission evicts. Returns false if it evicts none.
    fn evict_idle_client(&mut self, io: &mut Io) -> bool {
        let count_before = self.clients.len();
        self.notify_admission(Event::DescriptorsExhausted, io);
        self.clients.len() < count_before
    }
}
