//! One end of a TCP connection, which the test reads and writes.

use super::protocol_limits;
use roseyard_ingress::protocol::resp;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// One end of a non-blocking TCP connection.
pub(crate) struct Connection {
    stream: TcpStream,
    /// Bytes that were received and not yet consumed by the test.
    pub input: Vec<u8>,
    /// False once either side has closed or reset the connection.
    pub is_open: bool,
    /// Whether a read has failed, for example because the other side reset the connection.
    pub was_reset: bool,
    /// Whether the connection has carried a request; set by the tests.
    pub has_carried_request: bool,
}

impl Connection {
    /// Makes the stream non-blocking and disables Nagle's algorithm.
    pub(crate) fn new(stream: TcpStream) -> Connection {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        Connection {
            stream,
            input: Vec::new(),
            is_open: true,
            was_reset: false,
            has_carried_request: false,
        }
    }

    pub(crate) fn connect(to: SocketAddr) -> Connection {
        Connection::new(TcpStream::connect(to).unwrap())
    }

    /// Connects from a given loopback address, so that the ingress sees it as the client's.
    pub(crate) fn connect_from(address: [u8; 4], to: SocketAddr) -> Connection {
        use rustix::net::{bind, connect, socket, AddressFamily, SocketType};
        let fd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&fd, &SocketAddr::from((address, 0))).unwrap();
        connect(&fd, &to).unwrap();
        Connection::new(TcpStream::from(fd))
    }

    /// Connects with a small receive buffer: the ingress can write only part of a long reply until
    /// the test reads on.
    pub(crate) fn with_small_buffers(to: SocketAddr) -> Connection {
        let socket = small_buffer_socket();
        socket.connect(&to.into()).unwrap();
        Connection::new(TcpStream::from(socket))
    }

    /// Reads all bytes that have arrived, and notes whether the connection was closed or reset.
    pub(crate) fn read(&mut self) {
        let mut buf = [0; 4096];
        while self.is_open {
            match self.stream.read(&mut buf) {
                Ok(0) => self.is_open = false,
                Ok(n) => self.input.extend_from_slice(&buf[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => (self.is_open, self.was_reset) = (false, true),
            }
        }
    }

    /// Sends bytes, all of which the socket has to accept at once.
    pub(crate) fn send(&mut self, bytes: impl AsRef<[u8]>) {
        assert!(self.try_send(bytes), "the socket did not accept all bytes");
    }

    /// Returns the number of bytes that have arrived and are unread, counted up to 64.
    pub(crate) fn peek_length(&self) -> usize {
        self.stream.peek(&mut [0; 64]).unwrap_or(0)
    }

    /// Reads at most `max_bytes` of the bytes that have arrived. Returns the number of bytes read.
    pub(crate) fn read_some(&mut self, max_bytes: usize) -> usize {
        let mut buf = vec![0; max_bytes];
        let n = self.stream.read(&mut buf).unwrap_or(0);
        self.input.extend_from_slice(&buf[..n]);
        n
    }

    /// Sends as many bytes as the socket accepts at once. Returns their number.
    pub(crate) fn send_some(&mut self, bytes: &[u8]) -> usize {
        self.stream.write(bytes).unwrap_or(0)
    }

    /// Sends bytes. Returns false if the socket's send buffer is too full for all of them.
    pub(crate) fn try_send(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        match self.stream.write_all(bytes.as_ref()) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            // The other side may have closed the connection; the tests check the consequences.
            Ok(()) | Err(_) => true,
        }
    }

    /// Closes the sending direction only.
    pub(crate) fn half_close(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Resets the connection by closing it with a linger time of zero.
    pub(crate) fn reset(&mut self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // Dropping the socket sends the reset. The connection that replaces it is never used.
        let replacement = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        drop(std::mem::replace(&mut self.stream, replacement));
        self.is_open = false;
    }

    /// Closes both directions.
    pub(crate) fn close(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        self.is_open = false;
    }

    /// Removes the next complete command from the input. Returns None until one has arrived.
    pub(crate) fn next_command(&mut self) -> Option<Vec<String>> {
        let (words, used) =
            resp::command(&self.input, &protocol_limits()).expect("a well-formed command")?;
        let words = words
            .as_slice()
            .iter()
            .map(|w| String::from_utf8_lossy(w).into_owned())
            .collect();
        self.input.drain(..used);
        Some(words)
    }

    /// Removes the complete replies from the input. Returns their number.
    pub(crate) fn take_replies(&mut self) -> u64 {
        let (mut count, mut offset) = (0, 0);
        while let Ok(Some((_, length))) = resp::value(&self.input[offset..], &protocol_limits()) {
            offset += length;
            count += 1;
        }
        self.input.drain(..offset);
        count
    }

    /// Returns the input as text, without consuming it.
    pub(crate) fn received_text(&self) -> &str {
        std::str::from_utf8(&self.input).unwrap()
    }
}

/// Creates a socket that accepts about 35 KB before the test reads. The small segment size keeps
/// the sender's buffer small too.
pub(super) fn small_buffer_socket() -> socket2::Socket {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket.set_recv_buffer_size(1024).unwrap();
    socket
}
