//! The watch on discovery: a call whose reply stays open, with a line for each change of the
//! endpoint list and an empty one every 2 s.
//!
//! - `call`: one call and its framing
//! - `backoff`: the wait before the next call
//! - `limits`: the bounds

mod backoff;
mod call;
mod limits;

pub use backoff::{Backoff, CallFailure};
pub use limits::DiscoveryLimits;

use super::event_source::EventSource;
use super::io::Io;
use crate::protocol::list::{self, EndpointListMessage};
use crate::transport::{Ready, Stream};
use call::{CallError, WatchCall};
use std::net::SocketAddr;
use std::time::Duration;

/// The deadline of the watch, whichever call it is for.
const DEADLINE: EventSource = EventSource::Discovery(0);

/// The watch on discovery.
pub struct DiscoveryWatch {
    address: SocketAddr,
    limits: DiscoveryLimits,
    call: Option<WatchCall>,
    /// The call before, where it has brought no line yet. Prevents each call from being given up a
    /// moment before its reply when discovery replies a little later than it is waited for.
    previous_call: Option<WatchCall>,
    serial: u32,
    due: Option<Duration>,
    backoff: Backoff,
    /// The last call ended for a line that could not be read; the next such line is passed over.
    last_was_malformed: bool,
    synced: bool,
}

impl DiscoveryWatch {
    /// A watch on this address, not yet open; the seed decides the jitter of its backoff.
    #[must_use]
    pub fn new(address: SocketAddr, limits: DiscoveryLimits, seed: u64) -> DiscoveryWatch {
        DiscoveryWatch {
            address,
            limits,
            call: None,
            previous_call: None,
            serial: 0,
            due: None,
            backoff: Backoff::new(&limits, seed),
            last_was_malformed: false,
            synced: false,
        }
    }

    /// Discovery's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has discovery sent a line that could be read?
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Discovery is at another address from now on; the next call goes there.
    pub fn migrate_to(&mut self, address: SocketAddr) {
        self.address = address;
        self.backoff.reset();
        self.last_was_malformed = false;
        self.previous_call = None;
    }

    /// Makes a call for what follows this revision, on a connection that was begun to the address.
    pub fn open(&mut self, connected: rustix::io::Result<Stream>, revision: u64, io: &mut Io) {
        self.serial = self.serial.wrapping_add(1);
        let registered = connected.and_then(|stream| {
            let token = EventSource::Discovery(self.serial).token();
            io.poller.add(stream.fd(), token)?;
            Ok(stream)
        });
        self.call = registered.ok().map(|stream| {
            WatchCall::new(
                stream,
                self.serial,
                self.address,
                revision,
                self.limits,
                io.now,
            )
        });
        let wait = if self.call.is_some() {
            self.limits.first_line_timeout
        } else {
            self.backoff.next_delay(CallFailure::Closed)
        };
        self.arm(io.now + wait, io);
    }

    /// The call with this serial number is ready; `apply` is called with each endpoint list.
    pub fn on_ready(
        &mut self,
        serial: u32,
        ready: Ready,
        io: &mut Io,
        apply: &mut impl FnMut(&EndpointListMessage, &mut Io),
    ) {
        let mut lines = Vec::new();
        let Some(read) = self.read(serial, ready, &mut lines, io) else {
            return;
        };
        let applied = self.apply_lines(lines, io, apply);
        // An unreadable line ends the call whatever else became of it.
        if let Err(error) = applied.and(read) {
            let reason = error.to_string();
            tracing::warn!(
                event = "discovery.watch_closed",
                reason = reason.as_str(),
                "discovery watch closed, reconnecting"
            );
            self.call = None;
            let delay = self.backoff.next_delay(error.failure());
            self.arm(io.now + delay, io);
        }
    }

    /// Reads what has come on all calls, before the watch is migrated.
    pub fn read_remaining(
        &mut self,
        io: &mut Io,
        apply: &mut impl FnMut(&EndpointListMessage, &mut Io),
    ) {
        let ready = Ready {
            token: 0,
            readable: true,
            writable: false,
            ended: true,
        };
        let calls = [self.previous_call.as_ref(), self.call.as_ref()];
        let serials = calls.map(|call| call.map(|call| call.serial));
        for serial in serials.into_iter().flatten() {
            self.on_ready(serial, ready, io, apply);
        }
    }

    /// No line came for too long, or the backoff is over: a new call is to be opened.
    pub fn on_due(&mut self, revision: u64, now: Duration) {
        self.due = None;
        let Some(call) = self.call.take() else {
            return;
        };
        // A call that has brought lines and fallen silent is broken; another may be late.
        let may_still_reply = |call: &WatchCall| call.may_still_reply(now);
        let previous = self.previous_call.take().filter(may_still_reply);
        self.previous_call = previous.or(Some(call).filter(may_still_reply));
        tracing::warn!(
            event = "discovery.watch_timed_out",
            revision,
            "discovery watch timed out, reconnecting"
        );
    }

    /// Reads on the call with this serial number; a previous call that brings a line takes the
    /// place of the present one. None if nothing more is to be done.
    fn read(
        &mut self,
        serial: u32,
        ready: Ready,
        lines: &mut Vec<Vec<u8>>,
        io: &mut Io,
    ) -> Option<Result<(), CallError>> {
        let is_serial = |call: &&mut WatchCall| call.serial == serial;
        if let Some(previous) = self.previous_call.as_mut().filter(is_serial) {
            let read = previous.read(ready, io.now, lines);
            if lines.is_empty() {
                // Its end says nothing about the present call.
                self.previous_call = self.previous_call.take().filter(|_| read.is_ok());
                return None;
            }
            self.call = self.previous_call.take();
            return Some(read);
        }
        let call = self.call.as_mut().filter(is_serial)?;
        let read = call.read(ready, io.now, lines);
        if !lines.is_empty() {
            self.previous_call = None;
        } else if let Some(list_due) = call.list_due(io.now) {
            let due = self.due.max(Some(list_due));
            io.deadlines.set(&mut self.due, due, DEADLINE);
        }
        Some(read)
    }

    /// Applies the lines of a call, up to one that cannot be read.
    fn apply_lines(
        &mut self,
        lines: Vec<Vec<u8>>,
        io: &mut Io,
        apply: &mut impl FnMut(&EndpointListMessage, &mut Io),
    ) -> Result<(), CallError> {
        for mut line in lines {
            self.arm(io.now + self.limits.silence_timeout, io);
            self.backoff.reset();
            if line.trim_ascii().is_empty() {
                self.synced = true;
                continue;
            }
            match list::decode(&mut line) {
                Ok(list) => {
                    self.synced = true;
                    self.last_was_malformed = false;
                    apply(&list, io);
                }
                // The list is called for again, so that a drain in it is not lost; only what cannot
                // be read then either is passed over.
                Err(error) => {
                    tracing::warn!(event = "discovery.line_unreadable", error = %error, "endpoint list unreadable");
                    self.last_was_malformed = !self.last_was_malformed;
                    if self.last_was_malformed {
                        return Err(CallError::UnreadableLine);
                    }
                }
            }
        }
        Ok(())
    }

    fn arm(&mut self, due: Duration, io: &mut Io) {
        io.deadlines.set(&mut self.due, Some(due), DEADLINE);
    }
}
