//! A non-blocking UDP socket.

use rustix::fd::{AsFd, BorrowedFd};
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// A socket for datagrams.
pub struct Datagrams {
    socket: UdpSocket,
}

impl Datagrams {
    /// One that listens there.
    pub fn bind(at: SocketAddr) -> io::Result<Datagrams> {
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        Ok(Datagrams { socket })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The next datagram: how long it was, cut to the space, and where it came from. None while
    /// none waits.
    pub fn receive(&self, space: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.socket.recv_from(space) {
                Ok(got) => return Some(got),
                // Word that an earlier one did not arrive: nothing to do with those that wait.
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(_) => return None,
            }
        }
    }

    /// Sends one; false if the system did not take it.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> bool {
        self.socket.send_to(bytes, to).is_ok()
    }
}

impl AsFd for Datagrams {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}
