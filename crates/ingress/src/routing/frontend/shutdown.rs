//! The end of all connections, when the process shuts down.

use super::client::Phase;
use super::Frontend;
use crate::routing::driver::Driver;
use crate::routing::io::Io;
use crate::transport::Key;

impl Frontend {
    /// Accepts what still waits at the listener, then ends the connections, each after its last
    /// reply. Requests that come from now on are rejected: their replies might come later than the
    /// end of the process.
    pub fn drain(&mut self, driver: &mut Driver, io: &mut Io) {
        let backlog = self.limits.listen_backlog.unsigned_abs() as usize;
        self.accept_up_to(backlog, driver, io);
        self.listener.close(io);
        let keys = self.keys();
        let linger_until = io.now + self.limits.shutdown.linger_timeout;
        for key in &keys {
            if let Some(client) = self.clients.get_mut(*key) {
                if client.phase == Phase::Lingering {
                    client.linger_until = client.linger_until.min(linger_until);
                }
            }
            self.read(*key, driver, io);
        }
        self.is_draining = true;
        for key in keys {
            self.schedule_flush(key);
            self.arm(key, io);
        }
    }

    /// Every request has had its reply: no connection is waited for any longer.
    pub fn close_connections(&mut self) {
        for key in self.keys() {
            if let Some(client) = self.clients.get_mut(key) {
                if client.phase == Phase::Open {
                    client.phase = Phase::Ending;
                }
            }
            self.schedule_flush(key);
        }
    }

    fn keys(&self) -> Vec<Key> {
        self.clients.iter().map(|(key, _)| key).collect()
    }
}
