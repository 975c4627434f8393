//! Reads the input of clients.

use super::client::Phase;
use super::Frontend;
use crate::routing::driver::Driver;
use crate::routing::io::Io;
use crate::transport::{Key, ReadOutcome, Ready};

impl Frontend {
    /// Called when the poller reports that a client's connection is readable, writable or closed by
    /// the client.
    pub fn on_client_ready(&mut self, key: Key, ready: Ready, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.is_peer_closed |= ready.peer_closed;
        if ready.writable && client.stream.unwritten() > 0 {
            self.schedule_flush(key);
        }
        if ready.readable {
            self.read(key, driver, io);
        }
    }

    /// Reads further from the clients that had more input than the limit of the last iteration.
    pub fn read_scheduled_clients(&mut self, driver: &mut Driver, io: &mut Io) {
        for key in std::mem::take(&mut self.read_queue) {
            if let Some(client) = self.clients.get_mut(key) {
                client.is_read_scheduled = false;
                self.read(key, driver, io);
            }
        }
    }

    /// Reads the available input of a client and executes the commands in it.
    pub(super) fn read(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if !client.accepts_commands() {
            return self.discard(key, driver, io);
        }
        // Bounds the memory for a client that does not read its replies or pipelines without limit.
        let has_unread_replies = client.stream.unwritten() > self.limits.max_unread_reply_bytes;
        client.is_read_blocked = has_unread_replies || client.has_too_many_replies(&self.limits);
        if client.is_read_blocked {
            client.incomplete_command_since = None;
            return self.read_ahead(key, has_unread_replies, driver, io);
        }
        client.last_active_at = io.now;
        let max_bytes = self.limits.protocol.max_message_bytes();
        let read_outcome = client.read_input(max_bytes);
        let max_commands = self.limits.max_commands_per_iteration;
        self.execute_commands(key, max_commands, driver, io);
        self.after_read(key, read_outcome, driver, io);
    }

    /// Updates the client's state after its commands were executed.
    fn after_read(
        &mut self,
        key: Key,
        read_outcome: ReadOutcome,
        driver: &mut Driver,
        io: &mut Io,
    ) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let has_more = client.has_unexecuted_commands;
        // Each argument of a command may be within its limit and the command still be too long.
        let accepts_commands = client.accepts_commands();
        let is_full = client.stream.input().len() >= self.limits.protocol.max_message_bytes();
        if !has_more && accepts_commands && is_full {
            client.protocol_error("command too long");
            self.schedule_flush(key);
        }
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let has_incomplete_command =
            client.phase == Phase::Open && !has_more && !client.stream.input().is_empty();
        let incomplete_since = client.incomplete_command_since.or(Some(io.now));
        client.incomplete_command_since = incomplete_since.filter(|_| has_incomplete_command);
        if client.is_peer_closed {
            // A client that shut down only its sending side still receives the error.
            let _ = client.stream.flush();
            return self.disconnect(key, has_incomplete_command, driver, io);
        }
        if self.is_draining {
            self.schedule_flush(key);
        }
        if has_more || read_outcome == ReadOutcome::LimitReached {
            self.schedule_read(key);
        }
        self.update_buffered_bytes(key, driver, io);
        self.update_deadline(key, io);
    }

    /// Detects that the client has closed the connection while its commands are not read, so that
    /// requests of a disconnected client are not forwarded. If the client reads its replies, the
    /// close follows all input that it has sent, which is therefore buffered up to a limit. If it
    /// does not, the connection is reset when it closes, which the poller reports without a read.
    fn read_ahead(&mut self, key: Key, has_unread_replies: bool, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if !has_unread_replies && client.phase == Phase::Open {
            let max_bytes = self.limits.max_read_ahead_bytes;
            client.read_input(max_bytes);
        }
        if client.is_peer_closed {
            return self.disconnect(key, false, driver, io);
        }
        self.update_buffered_bytes(key, driver, io);
    }

    /// Reads and drops the input of a connection that is being closed, until the client closes too
    /// or the limit for discarded bytes is reached.
    fn discard(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let max_bytes = self.limits.max_discard_bytes_per_iteration;
        let (read_outcome, discarded) = client.stream.discard(max_bytes, &mut self.discard_buffer);
        client.discarded_bytes += discarded;
        let is_within_limit = client.discarded_bytes < self.limits.max_discard_bytes;
        match read_outcome {
            ReadOutcome::Drained => {}
            ReadOutcome::LimitReached if is_within_limit => self.schedule_read(key),
            _ => {
                let _ = client.stream.flush();
                return self.disconnect(key, false, driver, io);
            }
        }
        self.update_buffered_bytes(key, driver, io);
    }
}
