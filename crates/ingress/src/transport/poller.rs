//! Readiness notification by epoll. Connections are registered edge-triggered, once for their
//! lifetime.

use rustix::event::epoll;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io;
use rustix::time::Timespec;
use std::time::Duration;

/// A readiness event of a socket.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// Token with which the socket was registered.
    pub token: u64,
    /// Whether data, the end of the stream or an error can be read.
    pub readable: bool,
    /// Whether the socket accepts more data, or a connection attempt has succeeded or failed.
    pub writable: bool,
    /// Whether the peer has closed its sending side or the connection, or an error has occurred.
    pub peer_closed: bool,
}

/// An epoll instance with its event buffer.
pub struct Poller {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
}

impl Poller {
    /// Creates a poller that returns up to `max_events` events per wait.
    pub fn new(max_events: usize) -> io::Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poller {
            epoll,
            events: Vec::with_capacity(max_events.max(1)),
        })
    }

    /// Registers a socket edge-triggered for reading and writing. Closing the socket removes it.
    pub fn add(&self, source: impl AsFd, token: u64) -> io::Result<()> {
        use epoll::EventFlags as F;
        epoll::add(
            &self.epoll,
            source,
            epoll::EventData::new_u64(token),
            F::IN | F::OUT | F::RDHUP | F::ET,
        )
    }

    /// Registers a listener, pipe or datagram socket level-triggered for reading: every wait
    /// reports it while input is available.
    pub fn add_level_triggered(&self, source: impl AsFd, token: u64) -> io::Result<()> {
        epoll::add(
            &self.epoll,
            source,
            epoll::EventData::new_u64(token),
            epoll::EventFlags::IN,
        )
    }

    /// Unregisters a source without closing it.
    pub fn remove(&self, source: impl AsFd) -> io::Result<()> {
        epoll::delete(&self.epoll, source)
    }

    /// Waits until a socket is ready or the timeout expires, and appends the events to `ready`.
    /// Without a timeout, waits indefinitely.
    pub fn wait(&mut self, timeout: Option<Duration>, ready: &mut Vec<Ready>) -> io::Result<()> {
        use epoll::EventFlags as F;
        let timeout = timeout.map(|d| Timespec {
            tv_sec: d.as_secs().min(3600) as i64,
            tv_nsec: d.subsec_nanos().into(),
        });
        self.events.clear();
        let unused = rustix::buffer::spare_capacity(&mut self.events);
        match epoll::wait(&self.epoll, unused, timeout.as_ref()) {
            Err(io::Errno::INTR) => return Ok(()),
            result => result?,
        };
        ready.extend(self.events.iter().map(|e| {
            let (flags, data) = (e.flags, e.data);
            let peer_closed = flags.intersects(F::RDHUP | F::HUP | F::ERR);
            Ready {
                token: data.u64(),
                readable: peer_closed || flags.contains(F::IN),
                writable: flags.intersects(F::OUT | F::HUP | F::ERR),
                peer_closed,
            }
        }));
        Ok(())
    }
}
