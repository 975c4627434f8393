//! Deadlines of clients.

use super::client::{Phase, WriteStall};
use super::listener::connection_id;
use super::Frontend;
use crate::routing::driver::Driver;
use crate::routing::event_source::EventSource;
use crate::routing::io::Io;
use crate::transport::Key;
use roseyard_admission::{Event, Reputation};
use std::time::Duration;

impl Frontend {
    /// Sets the client's next deadline, unless an earlier one is set; a later one is set when that
    /// has come.
    pub(super) fn arm(&mut self, key: Key, io: &mut Io) {
        let idle_timeout = self.idle_timeout(key);
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let Some(next_due) = client.next_due(idle_timeout, &self.limits) else {
            return;
        };
        if client.due.is_none_or(|due| next_due < due) {
            io.deadlines
                .set(&mut client.due, Some(next_due), EventSource::Client(key));
        }
    }

    /// A client's deadline has come: it sends nothing, reads nothing, stops amid a command or does
    /// not end.
    pub fn on_client_due(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let idle_timeout = self.idle_timeout(key);
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.due = None;
        if let Some(stall) = &mut client.stall {
            let unwritten = client.stream.unwritten();
            if stall.due <= io.now && unwritten < stall.unwritten {
                *stall = WriteStall {
                    due: io.now + self.limits.reply_stall_timeout,
                    unwritten,
                };
            }
        }
        let next_due = client.next_due(idle_timeout, &self.limits);
        if next_due.is_none_or(|due| due > io.now) {
            return self.arm(key, io);
        }
        if client.stall.is_some_and(|stall| stall.due <= io.now) {
            return self.disconnect(key, true, driver, io);
        }
        if client.phase == Phase::Open {
            return self.on_idle_or_incomplete(key, driver, io);
        }
        self.disconnect(key, false, driver, io);
    }

    /// The time of an open client is over.
    fn on_idle_or_incomplete(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if client.command_part_since.take().is_some() {
            client.protocol_error("command not finished in time");
            self.notify_admission(Event::ProtocolError(connection_id(key)), io);
            return self.schedule_flush(key);
        }
        // What has just come is still read.
        if !client.stream.quiet() {
            return self.read(key, driver, io);
        }
        if self.is_draining {
            return self.schedule_flush(key);
        }
        let admission = &self.listener.controller;
        let reputation = admission.reputation(connection_id(key), io.now);
        let is_fault = reputation <= Some(Reputation::NoCommand);
        self.disconnect(key, is_fault, driver, io);
    }

    /// How long a connection may be idle; during shutdown only as long as a new client's first
    /// request may take.
    fn idle_timeout(&self, key: Key) -> Duration {
        let admission = &self.listener.controller;
        let idle_timeout = admission.idle_timeout_of(connection_id(key));
        if self.is_draining {
            idle_timeout.min(self.limits.shutdown.new_client_grace)
        } else {
            idle_timeout
        }
    }
}
