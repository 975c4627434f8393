//! Readiness by epoll, edge-triggered: a socket is registered once and for all of its life.

use rustix::event::epoll;
use rustix::fd::{AsFd, OwnedFd};
use rustix::io;
use rustix::time::Timespec;
use std::time::Duration;

/// What a socket is ready for.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// The token that it was registered with.
    pub token: u64,
    /// Bytes, an end or an error wait to be read.
    pub readable: bool,
    /// Writing may go on, or a connection has come up or failed.
    pub writable: bool,
    /// The other side has ended its sending or the connection.
    pub peer_closed: bool,
}

/// The epoll instance.
pub struct Poller {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
}

impl Poller {
    /// A poller that returns up to `batch` events a wait.
    pub fn new(batch: usize) -> io::Result<Poller> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poller {
            epoll,
            events: Vec::with_capacity(batch.max(1)),
        })
    }

    /// Registers a socket, edge-triggered; closing it removes it.
    pub fn add(&self, source: impl AsFd, token: u64) -> io::Result<()> {
        use epoll::EventFlags as F;
        epoll::add(
            &self.epoll,
            source,
            epoll::EventData::new_u64(token),
            F::IN | F::OUT | F::RDHUP | F::ET,
        )
    }

    /// Registers a listener or pipe, level-triggered: an event a wait while something is there.
    pub fn add_level_triggered(&self, source: impl AsFd, token: u64) -> io::Result<()> {
        epoll::add(
            &self.epoll,
            source,
            epoll::EventData::new_u64(token),
            epoll::EventFlags::IN,
        )
    }

    /// Removes a source that stays open.
    pub fn remove(&self, source: impl AsFd) -> io::Result<()> {
        epoll::delete(&self.epoll, source)
    }

    /// Waits until something is ready or the timeout is over; none: without a limit.
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
