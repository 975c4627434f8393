//! Timeouts of client connections.

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
    /// Sets the timer of a client to its next deadline. A timer that is set to an earlier time
    /// stays, and is set again when it expires.
    pub(super) fn update_deadline(&mut self, key: Key, io: &mut Io) {
        let idle_timeout = self.idle_timeout(key);
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let Some(next_deadline) = client.next_deadline(idle_timeout, &self.limits) else {
            return;
        };
        if client
            .deadline
            .is_none_or(|deadline| next_deadline < deadline)
        {
            io.deadlines.set(
                &mut client.deadline,
                Some(next_deadline),
                EventSource::Client(key),
            );
        }
    }

    /// Called when the timer of a client has expired. Handles the deadline that has passed, if any:
    /// disconnects a client that is idle or does not read its replies, and replies to an incomplete
    /// command with an error.
    pub fn on_client_deadline(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let idle_timeout = self.idle_timeout(key);
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.deadline = None;
        if let Some(stall) = &mut client.stall {
            let total_written = client.stream.total_written();
            if stall.deadline <= io.now && total_written > stall.total_written {
                *stall = WriteStall {
                    deadline: io.now + self.limits.reply_stall_timeout,
                    total_written,
                };
            }
        }
        let next_deadline = client.next_deadline(idle_timeout, &self.limits);
        if next_deadline.is_none_or(|deadline| deadline > io.now) {
            return self.update_deadline(key, io);
        }
        if client.stall.is_some_and(|stall| stall.deadline <= io.now) {
            return self.disconnect(key, true, driver, io);
        }
        if client.phase == Phase::Open {
            return self.on_idle_or_incomplete(key, driver, io);
        }
        self.disconnect(key, false, driver, io);
    }

    /// Handles the timeout of an open connection that is idle or has an incomplete command.
    fn on_idle_or_incomplete(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // Input that has arrived since the last event is still read.
        if client.has_unexecuted_commands || client.stream.is_readable() {
            self.read(key, driver, io);
            return self.time_out_command(key, io);
        }
        if client.incomplete_command_since.is_some() {
            return self.time_out_command(key, io);
        }
        if self.is_draining {
            return self.schedule_flush(key);
        }
        let admission = &self.listener.controller;
        let reputation = admission.reputation(connection_id(key), io.now);
        let is_client_fault = reputation <= Some(Reputation::NoCommand);
        self.disconnect(key, is_client_fault, driver, io);
    }

    /// Replies with an error to a command that has not been finished in time, and starts to close
    /// the connection.
    fn time_out_command(&mut self, key: Key, io: &mut Io) {
        let timeout = self.limits.command_timeout;
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let since = client.incomplete_command_since;
        if since.is_none_or(|since| since + timeout > io.now) {
            return;
        }
        client.time_out_command();
        self.notify_admission(Event::ProtocolError(connection_id(key)), io);
        self.schedule_flush(key);
    }

    /// Returns how long a connection may be idle. During shutdown this is at most the grace period
    /// for the first request of a new client.
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
