//! UDP sockets, which the membership protocol uses.

use rustix::fd::{AsFd, BorrowedFd};
use std::io;
use std::net::{SocketAddr, UdpSocket};

/// A non-blocking UDP socket on which datagrams are sent and received.
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Opens a socket that is bound to this address.
    pub fn bind(at: SocketAddr) -> io::Result<DatagramSocket> {
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        Ok(DatagramSocket { socket })
    }

    /// Returns the local address, with the port that the system chose if port 0 was requested.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Receives the next datagram. Returns the number of bytes stored in `buffer`, to which a
    /// longer datagram is truncated, and the sender. Returns `None` if no datagram is available.
    pub fn receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.socket.recv_from(buffer) {
                Ok(received) => return Some(received),
                // The error concerns a datagram sent earlier; received ones may still be queued.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram. Returns false if the system did not accept it.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) -> bool {
        self.socket.send_to(bytes, to).is_ok()
    }
}

impl AsFd for DatagramSocket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}
