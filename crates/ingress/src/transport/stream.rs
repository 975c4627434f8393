//! Non-blocking TCP listeners and connections with their buffers, and descriptor limits.

use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::{self, Errno};
use rustix::net::{
    self, sockopt, AddressFamily, RecvFlags, SendFlags, Shutdown, SocketFlags, SocketType,
};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Why a read operation stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// All available data was read.
    Drained,
    /// The limit was reached; more data may be available.
    LimitReached,
    /// The peer has closed its sending side.
    EndOfStream,
    /// The connection was reset or has failed.
    Failed,
}

/// A TCP connection with its read buffer and write buffer.
pub struct Stream {
    fd: OwnedFd,
    input: Vec<u8>,
    consumed: usize,
    output: Vec<u8>,
    written: usize,
    total_written: u64,
}

/// Opens a descriptor that is only held in reserve, to be closed when the system has none left.
/// Returns `None` if the system cannot provide one.
pub fn open_spare_descriptor() -> Option<OwnedFd> {
    use rustix::event::{eventfd, EventfdFlags};
    eventfd(0, EventfdFlags::CLOEXEC).ok()
}

/// Returns the number of descriptors that this process may open (the soft limit `RLIMIT_NOFILE`).
pub fn max_descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit
        .current
        .map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX))
}

/// Returns whether a system call failed because no descriptor or socket memory is available.
pub fn is_fd_shortage(error: Errno) -> bool {
    matches!(
        error,
        Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM
    )
}

fn socket(to: &SocketAddr) -> io::Result<OwnedFd> {
    let family = if to.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    net::socket_with(
        family,
        SocketType::STREAM,
        SocketFlags::NONBLOCK | SocketFlags::CLOEXEC,
        None,
    )
}

/// Opens a non-blocking listener on this address.
pub fn listen(at: &SocketAddr, backlog: i32) -> io::Result<OwnedFd> {
    let fd = socket(at)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    net::bind(&fd, at)?;
    net::listen(&fd, backlog)?;
    Ok(fd)
}

/// Returns the local address of a listener, with the port that the system chose if port 0 was
/// requested.
pub fn listener_address(listener: impl AsFd) -> Option<SocketAddr> {
    net::getsockname(listener).ok()?.try_into().ok()
}

/// Accepts the next pending connection of a listener. Returns it with the peer's IP address, which
/// is `0.0.0.0` if the system does not report one. `buffer_bytes` is the initial size of the read
/// buffer.
pub fn accept(listener: impl AsFd, buffer_bytes: usize) -> io::Result<(Stream, IpAddr)> {
    let (fd, peer) = net::acceptfrom_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)?;
    let peer = peer
        .and_then(|p| SocketAddr::try_from(p).ok())
        .map(|p| p.ip());
    Ok((
        Stream::new(fd, buffer_bytes)?,
        peer.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED)),
    ))
}

/// Starts to connect. Once the socket becomes writable, [`Stream::connect_result`] tells whether
/// the connection is established. `buffer_bytes` is the initial size of the read buffer.
pub fn connect(to: &SocketAddr, buffer_bytes: usize) -> io::Result<Stream> {
    let fd = socket(to)?;
    match net::connect(&fd, to) {
        Ok(()) | Err(Errno::INPROGRESS) => Stream::new(fd, buffer_bytes),
        Err(e) => Err(e),
    }
}

impl Stream {
    fn new(fd: OwnedFd, buffer_bytes: usize) -> io::Result<Stream> {
        sockopt::set_tcp_nodelay(&fd, true)?;
        Ok(Stream {
            fd,
            input: Vec::with_capacity(buffer_bytes),
            consumed: 0,
            output: Vec::new(),
            written: 0,
            total_written: 0,
        })
    }

    /// Returns the socket's descriptor, for example to register it with the poller.
    pub fn fd(&self) -> BorrowedFd<'_> {
        self.fd.as_fd()
    }

    /// Returns the result of a finished connection attempt, which is the pending error of the
    /// socket.
    pub fn connect_result(&self) -> Result<(), Errno> {
        sockopt::socket_error(&self.fd)?
    }

    /// Returns the bytes that were read and not yet consumed.
    pub fn input(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Removes this many bytes from the start of the input.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed = (self.consumed + bytes).min(self.input.len());
        if self.consumed == self.input.len() {
            self.input.clear();
            self.consumed = 0;
        }
    }

    /// Reads until no more data is available or the input holds `max_bytes`. `buffer_bytes` is the
    /// size by which the read buffer grows. `peer_closed` says that the poller has reported the
    /// peer's close: only then is a short read followed by another one, because data that arrives
    /// later causes a new event.
    pub fn read_available(
        &mut self,
        max_bytes: usize,
        buffer_bytes: usize,
        peer_closed: bool,
    ) -> ReadOutcome {
        loop {
            if self.input.len() - self.consumed >= max_bytes {
                return ReadOutcome::LimitReached;
            }
            if self.consumed > 0 {
                self.input.drain(..self.consumed);
                self.consumed = 0;
            }
            if self.input.capacity() - self.input.len() < buffer_bytes / 2 {
                self.input.reserve(buffer_bytes);
            }
            let free = self.input.capacity() - self.input.len();
            match io::read(&self.fd, rustix::buffer::spare_capacity(&mut self.input)) {
                Ok(0) => return ReadOutcome::EndOfStream,
                Ok(n) if n < free && !peer_closed => return ReadOutcome::Drained,
                Ok(_) | Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return ReadOutcome::Drained,
                Err(_) => return ReadOutcome::Failed,
            }
        }
    }

    /// Returns whether the connection is open and neither data nor the end of the stream can be
    /// read. Queries the socket, and so detects also what has arrived since the last event.
    pub fn is_open_without_input(&self) -> bool {
        self.input().is_empty() && !self.is_readable()
    }

    /// Returns whether data, the end of the stream or an error can be read from the socket.
    pub fn is_readable(&self) -> bool {
        let mut byte = [0; 1];
        let peeked = net::recv(&self.fd, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT);
        !matches!(peeked, Err(Errno::AGAIN))
    }

    /// Drops the input, and releases its buffer.
    pub fn clear_input(&mut self) {
        self.input = Vec::new();
        self.consumed = 0;
    }

    /// Discards the input and up to about `limit` bytes that can be read, and returns the number of
    /// bytes discarded from the socket. For TCP, the kernel drops data that is read with
    /// `MSG_TRUNC` without copying it, so a large value costs neither memory nor copies.
    pub fn discard(&mut self, limit: usize, scratch: &mut [u8]) -> (ReadOutcome, usize) {
        self.clear_input();
        let mut discarded = 0;
        while discarded < limit {
            match net::recv(
                &self.fd,
                &mut *scratch,
                RecvFlags::TRUNC | RecvFlags::DONTWAIT,
            ) {
                Ok((_, 0)) => return (ReadOutcome::EndOfStream, discarded),
                Ok((_, n)) => discarded += n,
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return (ReadOutcome::Drained, discarded),
                Err(_) => return (ReadOutcome::Failed, discarded),
            }
        }
        (ReadOutcome::LimitReached, discarded)
    }

    /// Returns the write buffer. Bytes appended to it are sent by [`Stream::flush`].
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Returns the number of bytes in the write buffer that are not yet sent.
    pub fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Returns the number of bytes that the socket has accepted since it was opened.
    pub fn total_written(&self) -> u64 {
        self.total_written
    }

    /// Sends as much of the write buffer as the socket accepts. Returns the number of bytes that
    /// remain.
    pub fn flush(&mut self) -> io::Result<usize> {
        while self.written < self.output.len() {
            match net::send(&self.fd, &self.output[self.written..], SendFlags::NOSIGNAL) {
                Ok(n) => {
                    self.written += n;
                    self.total_written += n as u64;
                }
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return Ok(self.unwritten()),
                Err(e) => return Err(e),
            }
        }
        self.output.clear();
        self.written = 0;
        Ok(0)
    }

    /// Releases the memory of empty buffers that a large message has made grow beyond `max_bytes`.
    pub fn release_large_buffers(&mut self, max_bytes: usize) {
        if self.output.is_empty() && self.output.capacity() > max_bytes {
            self.output = Vec::new();
        }
        if self.input.is_empty() && self.input.capacity() > max_bytes {
            self.input = Vec::with_capacity(max_bytes);
        }
    }

    /// Closes the sending side of the connection. Data already sent is still delivered.
    pub fn shut_down_write(&self) -> io::Result<()> {
        net::shutdown(&self.fd, Shutdown::Write)
    }
}
