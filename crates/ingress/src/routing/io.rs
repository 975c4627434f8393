//! What all components share: readiness, deadlines, descriptors and the time of the round.

use super::event_source::EventSource;
use crate::transport::{connect, is_fd_shortage, Deadlines, Poller, Stream};
use roseyard_admission::DescriptorBudget;
use rustix::fd::OwnedFd;
use std::net::SocketAddr;
use std::time::Duration;

/// Size of a connection's read buffer at first, in bytes.
pub const READ_BUFFER_BYTES: usize = 2 << 10;
/// Buffers of an idle connection that have grown beyond this are released.
pub(super) const MAX_IDLE_BUFFER_BYTES: usize = 8 * READ_BUFFER_BYTES;

/// Readiness, deadlines, descriptors and the time of the round.
pub struct Io {
    /// Readiness.
    pub poller: Poller,
    /// Deadlines.
    pub deadlines: Deadlines<EventSource>,
    /// The time of this round.
    pub now: Duration,
    /// Descriptors, by what they are for.
    pub descriptor_budget: DescriptorBudget,
    /// A descriptor held unused, released when the system has none left.
    pub spare_descriptor: Option<OwnedFd>,
}

impl Io {
    /// Begins a connection; the spare descriptor is released where the system has none left.
    /// Prevents idle clients from keeping discovery, counter and endpoints out of reach.
    ///
    /// # Errors
    /// The system's error if the connection cannot be begun.
    pub fn connect(&mut self, to: &SocketAddr) -> rustix::io::Result<Stream> {
        match connect(to, READ_BUFFER_BYTES) {
            Err(error) if is_fd_shortage(error) && self.spare_descriptor.take().is_some() => {
                connect(to, READ_BUFFER_BYTES)
            }
            opened => opened,
        }
    }
}
