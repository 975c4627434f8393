//! Writes replies to clients in the order of their commands, and shuts a connection down after the
//! last one.

use super::client::{Client, Phase, WriteStall};
use super::listener::connection_id;
use super::{reply, Frontend};
use crate::routing::driver::Driver;
use crate::routing::engine::{CommandResponse, Response};
use crate::routing::io::{Io, MAX_IDLE_BUFFER_BYTES};
use crate::transport::Key;
use roseyard_admission::Event;

impl Frontend {
    /// Queues the reply to a request for its client. Does nothing if the client has disconnected.
    pub fn respond(&mut self, response: CommandResponse, driver: &mut Driver, io: &mut Io) {
        let key = response.command.client;
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let served = matches!(response.response, Response::Served(_));
        let reply = reply::from_response(response.response);
        if let Some(id) = client.complete_reply(response.command.number, reply) {
            self.open_request_ids.remove(&id);
            let event = Event::RequestAnswered {
                connection: connection_id(key),
                served,
            };
            self.notify_admission(event, io);
        }
        self.schedule_flush(key);
        self.update_buffered_bytes(key, driver, io);
    }

    /// Writes the replies that were queued in this iteration.
    pub fn flush(&mut self, driver: &mut Driver, io: &mut Io) {
        while let Some(key) = self.flush_queue.pop() {
            self.flush_client(key, driver, io);
        }
    }

    /// Appends the reply to the client's latest command, after those that are still pending.
    pub(super) fn reply(&mut self, key: Key, reply: &[u8]) {
        if let Some(client) = self.clients.get_mut(key) {
            client.reply(reply);
        }
    }

    /// Writes the client's replies as far as the socket accepts them, and advances the phase of the
    /// connection.
    fn flush_client(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.is_flush_scheduled = false;
        let Ok(unwritten) = client.write_replies(self.limits.max_unread_reply_bytes) else {
            return self.disconnect(key, false, driver, io);
        };
        if unwritten > 0 {
            client.stall = client.stall.or(Some(WriteStall {
                deadline: io.now + self.limits.reply_stall_timeout,
                total_written: client.stream.total_written(),
            }));
        } else {
            client.stall = None;
            if client.first_pending_number > 0 {
                client.last_active_at = io.now;
            }
            client.stream.release_large_buffers(MAX_IDLE_BUFFER_BYTES);
        }
        let was_read_blocked = std::mem::take(&mut client.is_read_blocked);
        if self.is_draining && !was_read_blocked && client.is_drained(io.now, &self.limits) {
            // Input that has arrived since the last read is answered before the connection closes.
            if client.stream.is_open_without_input() {
                client.start_closing();
            } else {
                self.schedule_read(key);
            }
        }
        let Some(client) = self.clients.get(key) else {
            return;
        };
        if client.is_idle() && matches!(client.phase, Phase::Closing(_)) {
            self.finish_closing(key, driver, io);
        } else {
            self.after_flush(key, was_read_blocked, io);
        }
        self.clients.count_buffered_bytes(key);
        self.update_deadline(key, io);
    }

    /// Resumes reading from a client that was blocked, and reports an idle connection to admission.
    fn after_flush(&mut self, key: Key, was_read_blocked: bool, io: &mut Io) {
        let Some(is_idle) = self.clients.get(key).map(Client::is_idle) else {
            return;
        };
        if was_read_blocked {
            self.schedule_read(key);
        }
        if is_idle {
            self.notify_admission(Event::BecameIdle(connection_id(key)), io);
        }
    }
}
