//! The I/O resources that all components share: poller, deadlines, descriptors and current time.

use super::event_source::EventSource;
use crate::transport::{connect, is_fd_shortage, Deadlines, Poller, Stream};
use roseyard_admission::DescriptorBudget;
use rustix::fd::OwnedFd;
use std::net::SocketAddr;
use std::time::Duration;

/// Initial size of a connection's read buffer, and the smallest step by which it grows.
pub const READ_BUFFER_BYTES: usize = 2 << 10;
/// Read and write buffers of an idle connection are released if they have grown beyond this size.
pub(super) const MAX_IDLE_BUFFER_BYTES: usize = 8 * READ_BUFFER_BYTES;

/// The I/O resources that all components share. The event loop passes them to each component.
pub struct Io {
    /// Reports which sockets are readable or writable.
    pub poller: Poller,
    /// Deadlines of all components, each with its source.
    pub deadlines: Deadlines<EventSource>,
    /// The current time, read once in each iteration of the event loop.
    pub now: Duration,
    /// Limits and usage counts of file descriptors by use.
    pub descriptor_budget: DescriptorBudget,
    /// A descriptor held in reserve, which is closed when the system has none left.
    pub spare_descriptor: Option<OwnedFd>,
}

impl Io {
    /// Starts a connection. If the system has no descriptor left, closes the spare descriptor and
    /// tries again, so that idle clients cannot make discovery, the counter and endpoints
    /// unreachable.
    ///
    /// # Errors
    /// Returns the system's error if the connection cannot be started.
    pub fn connect(&mut self, address: &SocketAddr) -> rustix::io::Result<Stream> {
        match connect(address, READ_BUFFER_BYTES) {
            Err(error) if is_fd_shortage(error) && self.spare_descriptor.take().is_some() => {
                connect(address, READ_BUFFER_BYTES)
            }
            result => result,
        }
    }
}
