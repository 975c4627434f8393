//! A non-blocking UDP socket.

use rustix::fd::{AsFd, BorrowedFd};
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// A socket for datagrams.
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// A socket that listens on this address.
    pub fn bind(at: SocketAddr) -> io::Result<DatagramSocket> {
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        Ok(DatagramSocket { socket })
    }

    /// The address it listens on.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The next datagram: its length, cut to the buffer's, and its sender. None while none waits.
    pub fn receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.socket.recv_from(buffer) {
                Ok(received) => return Some(received),
                // Reports that an earlier datagram did not arrive; others may wait behind it.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram; false if the system did not take it.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> bool {
        self.socket.send_to(bytes, to).is_ok()
    }
}

impl AsFd for DatagramSocket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}
