//! The limit on the bytes that are buffered for all clients. Who is owed least gives way first:
//!
//! | beyond | gives way | what its client gets |
//! | --- | --- | --- |
//! | `shed_buffered_bytes` | an unfinished command on a connection without a pending request | a rejection, and the end of the connection |
//! | | new requests | a rejection |
//! | `max_buffered_bytes` | commands that were read but not executed | their rejections, after the pending replies |
//! | | an unfinished command behind pending requests | an error, after the pending replies |
//! | | values that wait behind a pending reply | `-ERR failed` in place of each |
//! | | replies that the client does not read | the end of the connection |

use super::client::{Client, Phase};
use super::Frontend;
use crate::routing::driver::Driver;
use crate::routing::io::Io;
use crate::transport::Key;

impl Frontend {
    /// Whether unfinished commands and new requests are rejected to save memory.
    pub(super) fn is_memory_short(&self) -> bool {
        self.clients.buffered_bytes() > self.limits.shed_buffered_bytes
    }

    /// Updates the number of bytes that are buffered for a client, and enforces the limit on the
    /// bytes of all clients.
    pub(super) fn update_buffered_bytes(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        self.clients.count_buffered_bytes(key);
        if !self.is_memory_short() {
            return;
        }
        // Replies that their sockets accept at once take no memory.
        self.flush(driver, io);
        while self.is_memory_short() && self.reject_unfinished_client(io) {}
        while self.clients.buffered_bytes() > self.limits.max_buffered_bytes {
            let has_shed = self.reject_unexecuted_commands(driver, io)
                || self.cut_off_unfinished_command(io)
                || self.fail_waiting_values()
                || self.disconnect_largest(driver, io);
            if !has_shed {
                return;
            }
        }
    }

    /// Rejects the longest unfinished command of a client that awaits no reply, and closes its
    /// connection. Returns false if there is none.
    fn reject_unfinished_client(&mut self, io: &mut Io) -> bool {
        let unfinished = self.clients.client_with_most_input(|client| {
            client.incomplete_command_since.is_some() && client.is_idle()
        });
        let Some(key) = unfinished else { return false };
        log_shedding("unfinished command rejected");
        self.close_rejected(key, true, self.limits.retry_after_at_capacity, io);
        true
    }

    /// Closes the connection with the most commands that were read and not executed, and rejects
    /// them. Returns false if there is none.
    fn reject_unexecuted_commands(&mut self, driver: &mut Driver, io: &mut Io) -> bool {
        let most_unexecuted = self.clients.client_with_most_input(|client| {
            client.phase == Phase::Open && client.has_unexecuted_commands
        });
        let Some(key) = most_unexecuted else {
            return false;
        };
        log_shedding("waiting commands rejected");
        self.start_closing(key);
        self.execute_commands(key, usize::MAX, driver, io);
        self.clients.count_buffered_bytes(key);
        true
    }

    /// Replies with an error to the longest unfinished command behind pending requests, and closes
    /// the connection after it. Returns false if there is none.
    fn cut_off_unfinished_command(&mut self, io: &mut Io) -> bool {
        let unfinished = self
            .clients
            .client_with_most_input(Client::accepts_commands);
        let Some(key) = unfinished else { return false };
        log_shedding("unfinished command cut off");
        self.reply_protocol_error(key, "out of memory", io);
        self.clients.count_buffered_bytes(key);
        true
    }

    /// Fails the values that wait behind a pending reply, of the client that has most of them, until
    /// the limit holds. Returns false if there are none.
    fn fail_waiting_values(&mut self) -> bool {
        let excess = self.clients.buffered_bytes() - self.limits.max_buffered_bytes;
        let most_waiting = self
            .clients
            .client_with_most(|client| client.pending_value_bytes);
        let Some(key) = most_waiting else {
            return false;
        };
        log_shedding("waiting values failed");
        if let Some(client) = self.clients.get_mut(key) {
            client.fail_waiting_values(excess);
        }
        self.clients.count_buffered_bytes(key);
        true
    }

    /// Disconnects the client with the most buffered bytes, which does not read its replies.
    /// Returns false if no client has any.
    fn disconnect_largest(&mut self, driver: &mut Driver, io: &mut Io) -> bool {
        let Some(largest) = self
            .clients
            .client_with_most(|client| client.buffered_bytes)
        else {
            return false;
        };
        log_shedding("client with unread replies disconnected");
        self.disconnect(largest, true, driver, io);
        true
    }
}

fn log_shedding(shed: &str) {
    tracing::warn!(
        event = "clients.memory_limit",
        shed,
        "client memory limit reached"
    );
}
