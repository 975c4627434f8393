//! What clients are sent: replies in the order of their commands, and the end of a connection
//! behind the last one.

use super::client::{Client, Phase, WriteStall};
use super::listener::connection_id;
use super::{reply, Frontend};
use crate::routing::driver::Driver;
use crate::routing::engine::{CommandResponse, Response};
use crate::routing::io::{Io, MAX_IDLE_BUFFER_BYTES};
use crate::transport::Key;
use roseyard_admission::Event;

impl Frontend {
    /// Passes a response on to its client.
    pub fn respond(&mut self, response: CommandResponse, driver: &mut Driver, io: &mut Io) {
        let key = response.command.client;
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let served = matches!(response.response, Response::Served(_));
        let reply = reply::of_response(response.response);
        if let Some(id) = client.complete(response.command.number, reply) {
            self.open_request_ids.remove(&id);
            let event = Event::Answered {
                connection: connection_id(key),
                served,
            };
            self.notify_admission(event, io);
        }
        self.schedule_flush(key);
        self.account(key, driver, io);
    }

    /// Writes all replies of this round.
    pub fn flush(&mut self, driver: &mut Driver, io: &mut Io) {
        while let Some(key) = self.flush_queue.pop() {
            self.flush_client(key, driver, io);
        }
    }

    /// Replies to a command at once, behind those that are pending.
    pub(super) fn reply(&mut self, key: Key, reply: &[u8]) {
        if let Some(client) = self.clients.get_mut(key) {
            client.reply(reply);
        }
    }

    fn flush_client(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.is_flush_scheduled = false;
        let Ok(unwritten) = client.stream.flush() else {
            return self.disconnect(key, false, driver, io);
        };
        if unwritten > 0 {
            let due = io.now + self.limits.reply_stall_timeout;
            client.stall = client.stall.or(Some(WriteStall { due, unwritten }));
        } else {
            client.stall = None;
            if client.first_pending > 0 {
                client.last_active_at = io.now;
            }
            client.stream.trim(MAX_IDLE_BUFFER_BYTES);
        }
        let was_blocked = std::mem::take(&mut client.is_blocked);
        if self.is_draining && !was_blocked && client.is_drained(io.now, &self.limits) {
            // What has come behind the last reply is replied to as well.
            if client.stream.quiet() {
                client.phase = Phase::Ending;
            } else {
                self.schedule_read(key);
            }
        }
        let Some(client) = self.clients.get(key) else {
            return;
        };
        if unwritten == 0 && client.phase == Phase::Ending && client.pending.is_empty() {
            self.end_sending(key, driver, io);
        } else {
            self.after_flush(key, was_blocked, io);
        }
        self.account(key, driver, io);
        self.arm(key, io);
    }

    /// All is written and no command follows: ends the sending. Closing at once would send a reset
    /// if more input has come, which destroys replies on their way; input is discarded until the
    /// client ends too.
    fn end_sending(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.phase = Phase::Lingering;
        let timeout = if self.is_draining {
            self.limits.shutdown.linger_timeout
        } else {
            self.limits.linger_timeout
        };
        client.linger_until = io.now + timeout;
        if client.stream.end_sending().is_err() {
            return self.disconnect(key, false, driver, io);
        }
        self.schedule_read(key);
        self.notify_admission(Event::HalfClosed(connection_id(key)), io);
    }

    /// Commands that waited for replies to be written are read on; an idle connection is reported
    /// to admission.
    fn after_flush(&mut self, key: Key, was_blocked: bool, io: &mut Io) {
        let Some(is_idle) = self.clients.get(key).map(Client::is_idle) else {
            return;
        };
        if was_blocked {
            self.schedule_read(key);
        }
        if is_idle {
            self.notify_admission(Event::BecameIdle(connection_id(key)), io);
        }
    }
}
