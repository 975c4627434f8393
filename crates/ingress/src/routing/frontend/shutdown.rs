//! Closes all client connections when the process shuts down.

use super::client::Phase;
use super::Frontend;
use crate::routing::driver::Driver;
use crate::routing::io::Io;

impl Frontend {
    /// Accepts the connections that still wait at the listener and closes the listener. From then
    /// on each connection is closed after its last reply, and new requests are rejected, as the
    /// process might exit before their replies.
    pub fn drain(&mut self, driver: &mut Driver, io: &mut Io) {
        let backlog = self.limits.listen_backlog.unsigned_abs() as usize;
        self.accept_up_to(backlog, driver, io);
        self.listener.close(io);
        let keys = self.clients.keys();
        let linger_deadline = io.now + self.limits.shutdown.linger_timeout;
        for key in &keys {
            if let Some(client) = self.clients.get_mut(*key) {
                if client.phase == Phase::Lingering {
                    client.linger_deadline = client.linger_deadline.min(linger_deadline);
                }
            }
            self.read(*key, driver, io);
        }
        self.is_draining = true;
        for key in keys {
            self.schedule_flush(key);
            self.update_deadline(key, io);
        }
    }

    /// Closes each connection once every command on it is replied to, without a grace period for new
    /// clients. Called after the driver has given every open request its final response.
    pub fn close_connections(&mut self) {
        for key in self.clients.keys() {
            self.start_closing(key);
        }
    }
}
