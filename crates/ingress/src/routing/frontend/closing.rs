//! Closes connections without losing a request: no further request is executed, those that are
//! left on the connection are rejected, every reply is written, and then the connection is shut
//! down for writing. `docs/design/closing.md` lists when this happens.

use super::client::Phase;
use super::listener::connection_id;
use super::rejection::reject;
use super::Frontend;
use crate::routing::driver::Driver;
use crate::routing::io::Io;
use crate::transport::Key;
use roseyard_admission::Event;
use std::time::Duration;

/// The part of the linger time for which commands are still rejected. The rest is for the client to
/// read its replies, as the process exits after the linger time of a shutdown.
const REJECTION_DIVISOR: u32 = 2;

impl Frontend {
    /// Starts to close an open connection: its pending requests are completed, the others rejected.
    pub(super) fn start_closing(&mut self, key: Key) {
        if let Some(client) = self.clients.get_mut(key) {
            client.start_closing();
        }
        self.schedule_flush(key);
    }

    /// Closes a connection that awaits no reply at once, with a rejection. `is_client_fault` says
    /// whether this counts against the client's address.
    pub(super) fn close_rejected(
        &mut self,
        key: Key,
        is_client_fault: bool,
        retry_after: Duration,
        io: &mut Io,
    ) {
        if let Some(client) = self.close(key, is_client_fault, io) {
            reject(client.stream, retry_after, &self.limits.protocol);
        }
    }

    /// Shuts the connection down for writing once no command is left on it. Called when it is
    /// closing and all replies are written.
    pub(super) fn finish_closing(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let timeout = self.linger_timeout() / REJECTION_DIVISOR;
        let client = self.clients.get_mut(key);
        if client.is_some_and(|client| client.has_commands_to_reject(io.now, timeout)) {
            self.schedule_read(key);
        } else {
            self.half_close(key, driver, io);
        }
    }

    /// Shuts down this side of the connection for writing, once all replies are written and no
    /// further command is executed. Closing the socket while it has unread input would send a
    /// reset, which destroys replies in transit; so input is discarded until the client closes too.
    fn half_close(&mut self, key: Key, driver: &mut Driver, io: &mut Io) {
        let timeout = self.linger_timeout();
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.phase = Phase::Lingering;
        client.linger_deadline = io.now + timeout;
        if client.stream.shut_down_write().is_err() {
            return self.disconnect(key, false, driver, io);
        }
        self.schedule_read(key);
        self.notify_admission(Event::HalfClosed(connection_id(key)), io);
    }

    /// Returns for how long a client may keep a connection open that is being closed.
    fn linger_timeout(&self) -> Duration {
        if self.is_draining {
            self.limits.shutdown.linger_timeout
        } else {
            self.limits.linger_timeout
        }
    }
}
