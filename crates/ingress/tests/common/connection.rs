//! One end of a connection, read and written by the test.

use super::protocol_limits;
use roseyard_ingress::protocol::resp;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// One end of a non-blocking connection.
pub(crate) struct Connection {
    stream: TcpStream,
    pub input: Vec<u8>,
    pub is_open: bool,
    /// The other side has reset it.
    pub was_reset: bool,
    /// Set by tests: it has carried a request.
    pub has_carried_request: bool,
}

impl Connection {
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

    /// Connects from this address of loopback.
    pub(crate) fn connect_from(address: [u8; 4], to: SocketAddr) -> Connection {
        use rustix::net::{bind, connect, socket, AddressFamily, SocketType};
        let fd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        bind(&fd, &SocketAddr::from((address, 0))).unwrap();
        connect(&fd, &to).unwrap();
        Connection::new(TcpStream::from(fd))
    }

    /// Connects with a small receive buffer: a long reply can be written only in part until the
    /// test reads on.
    pub(crate) fn with_small_buffers(to: SocketAddr) -> Connection {
        let socket = small_buffer_socket();
        socket.connect(&to.into()).unwrap();
        Connection::new(TcpStream::from(socket))
    }

    /// Reads what has come.
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

    /// Sends bytes that loopback takes at once.
    pub(crate) fn send(&mut self, bytes: impl AsRef<[u8]>) {
        assert!(self.try_send(bytes), "only a part could be sent");
    }

    /// How many bytes wait to be read, up to 64.
    pub(crate) fn peek_length(&self) -> usize {
        self.stream.peek(&mut [0; 64]).unwrap_or(0)
    }

    /// Reads at most so many of the bytes that have come; how many it was.
    pub(crate) fn read_some(&mut self, most: usize) -> usize {
        let mut buf = vec![0; most];
        let n = self.stream.read(&mut buf).unwrap_or(0);
        self.input.extend_from_slice(&buf[..n]);
        n
    }

    /// Sends what loopback takes at once; how many bytes it was.
    pub(crate) fn send_some(&mut self, bytes: &[u8]) -> usize {
        self.stream.write(bytes).unwrap_or(0)
    }

    /// Sends bytes; false if loopback takes no more.
    pub(crate) fn try_send(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        match self.stream.write_all(bytes.as_ref()) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            // The other side is closed: what came of it is checked elsewhere.
            Ok(()) | Err(_) => true,
        }
    }

    /// Half-closes the connection.
    pub(crate) fn half_close(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Resets the connection.
    pub(crate) fn reset(&mut self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // Dropping the socket sends the reset; its replacement is never used.
        let other = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        drop(std::mem::replace(&mut self.stream, other));
        self.is_open = false;
    }

    /// Closes the connection.
    pub(crate) fn close(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        self.is_open = false;
    }

    /// Takes the next complete command, if one has come.
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

    pub(crate) fn received_text(&self) -> &str {
        std::str::from_utf8(&self.input).unwrap()
    }
}

/// A socket that receives some 35 KB at most before it is read: small segments keep the sender's
/// buffer small too.
pub(super) fn small_buffer_socket() -> socket2::Socket {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket.set_recv_buffer_size(1024).unwrap();
    socket
}
