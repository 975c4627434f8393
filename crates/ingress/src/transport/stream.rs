//! Non-blocking TCP sockets with their buffers.

use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::{self, Errno};
use rustix::net::{
    self, sockopt, AddressFamily, RecvFlags, SendFlags, Shutdown, SocketFlags, SocketType,
};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// How reading ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Everything that had arrived was read.
    Drained,
    /// The limit was reached; more may wait.
    LimitReached,
    /// The other side has ended its sending.
    EndOfStream,
    /// The connection is broken.
    Failed,
}

/// A connection with what was read and not yet taken, and what is to be written.
pub struct Stream {
    fd: OwnedFd,
    input: Vec<u8>,
    consumed: usize,
    output: Vec<u8>,
    written: usize,
}

/// A descriptor without a use, to be closed when the system has none left.
pub fn open_spare_descriptor() -> Option<OwnedFd> {
    use rustix::event::{eventfd, EventfdFlags};
    eventfd(0, EventfdFlags::CLOEXEC).ok()
}

/// Descriptors that the system allows this process.
pub fn max_descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit
        .current
        .map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX))
}

/// Did this call fail because the system has no descriptor or memory left?
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

/// Listens on this address alone.
pub fn listen(at: &SocketAddr, backlog: i32) -> io::Result<OwnedFd> {
    let fd = socket(at)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    net::bind(&fd, at)?;
    net::listen(&fd, backlog)?;
    Ok(fd)
}

/// The address that a listener was given.
pub fn listener_address(listener: impl AsFd) -> Option<SocketAddr> {
    net::getsockname(listener).ok()?.try_into().ok()
}

/// Accepts the next connection that waits at a listener, with its peer address.
pub fn accept(listener: impl AsFd, chunk: usize) -> io::Result<(Stream, IpAddr)> {
    let (fd, peer) = net::acceptfrom_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)?;
    let peer = peer
        .and_then(|p| SocketAddr::try_from(p).ok())
        .map(|p| p.ip());
    Ok((
        Stream::new(fd, chunk)?,
        peer.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED)),
    ))
}

/// Starts a connection; it is established, or has failed, once it is writable.
pub fn connect(to: &SocketAddr, chunk: usize) -> io::Result<Stream> {
    let fd = socket(to)?;
    match net::connect(&fd, to) {
        Ok(()) | Err(Errno::INPROGRESS) => Stream::new(fd, chunk),
        Err(e) => Err(e),
    }
}

impl Stream {
    fn new(fd: OwnedFd, chunk: usize) -> io::Result<Stream> {
        sockopt::set_tcp_nodelay(&fd, true)?;
        Ok(Stream {
            fd,
            input: Vec::with_capacity(chunk),
            consumed: 0,
            output: Vec::new(),
            written: 0,
        })
    }

    /// The socket.
    pub fn fd(&self) -> BorrowedFd<'_> {
        self.fd.as_fd()
    }

    /// The result of a connection that was started.
    pub fn connect_result(&self) -> Result<(), Errno> {
        sockopt::socket_error(&self.fd)?
    }

    /// What was read and not yet taken.
    pub fn input(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Takes this many bytes of the input.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed = (self.consumed + bytes).min(self.input.len());
        if self.consumed == self.input.len() {
            self.input.clear();
            self.consumed = 0;
        }
    }

    /// Reads until nothing waits or `limit` bytes are held. `ended` says that the poller has
    /// reported an end: only then is a short read followed by another, as an event comes for later
    /// bytes.
    pub fn read_available(&mut self, limit: usize, chunk: usize, peer_closed: bool) -> ReadOutcome {
        loop {
            if self.input.len() - self.consumed >= limit {
                return ReadOutcome::LimitReached;
            }
            if self.consumed > 0 {
                self.input.drain(..self.consumed);
                self.consumed = 0;
            }
            if self.input.capacity() - self.input.len() < chunk / 2 {
                self.input.reserve(chunk);
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

    /// Is there nothing to read, not even an end? Sees what has come since the last event too.
    pub fn is_open_without_input(&self) -> bool {
        let mut byte = [0; 1];
        let seen = net::recv(&self.fd, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT);
        self.input().is_empty() && matches!(seen, Err(Errno::AGAIN))
    }

    /// Discards what waits, up to `limit` bytes, and returns how many were discarded. TCP drops
    /// what is read with TRUNC inside the kernel, so a large value costs neither memory nor copies.
    pub fn discard(&mut self, limit: usize, scratch: &mut [u8]) -> (ReadOutcome, usize) {
        self.input = Vec::new();
        self.consumed = 0;
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

    /// Bytes are appended here and go out with the next `flush`.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes still to be written.
    pub fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes what the socket takes; how many bytes are still to be written.
    pub fn flush(&mut self) -> io::Result<usize> {
        while self.written < self.output.len() {
            match net::send(&self.fd, &self.output[self.written..], SendFlags::NOSIGNAL) {
                Ok(n) => self.written += n,
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return Ok(self.unwritten()),
                Err(e) => return Err(e),
            }
        }
        self.output.clear();
        self.written = 0;
        Ok(0)
    }

    /// Gives back what a large message made the buffers grow to, once they are empty.
    pub fn release_large_buffers(&mut self, max_bytes: usize) {
        if self.output.is_empty() && self.output.capacity() > max_bytes {
            self.output = Vec::new();
        }
        if self.input.is_empty() && self.input.capacity() > max_bytes {
            self.input = Vec::with_capacity(max_bytes);
        }
    }

    /// Ends the sending; what was written still arrives.
    pub fn shut_down_write(&self) -> io::Result<()> {
        net::shutdown(&self.fd, Shutdown::Write)
    }
}
