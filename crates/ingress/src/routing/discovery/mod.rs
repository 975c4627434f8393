//! The watch on discovery: an HTTP call whose response stays open. Discovery sends an endpoint list
//! for each change, and an empty line every 2 s.
//!
//! - `call`: a call, and the framing of its response
//! - `backoff`: the delay before the next call
//! - `limits`: the limits

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

/// The source of the watch's deadline. It has no serial number, as the watch has one deadline for
/// whichever call is open.
const DEADLINE_SOURCE: EventSource = EventSource::Discovery(0);

/// The watch on discovery. It opens a new call when the current one ends or times out.
pub struct DiscoveryWatch {
    address: SocketAddr,
    limits: DiscoveryLimits,
    /// The current call; `None` during a backoff.
    call: Option<WatchCall>,
    /// An earlier call that has timed out without a line but may still deliver one. If discovery
    /// always replied slightly after the time-out, no call would otherwise succeed.
    previous_call: Option<WatchCall>,
    /// Serial number of the latest call.
    serial: u32,
    due: Option<Duration>,
    backoff: Backoff,
    /// Whether the last call ended because of an invalid endpoint list. The next invalid list is
    /// then skipped.
    skip_next_invalid_list: bool,
    synced: bool,
}

impl DiscoveryWatch {
    /// Creates a watch without a call. `seed` is the seed of the backoff's jitter.
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
            skip_next_invalid_list: false,
            synced: false,
        }
    }

    /// Returns the address of discovery.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether discovery has sent an empty line or a valid endpoint list since the start.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Uses another address of discovery, starting with the next call, which the caller opens.
    pub fn migrate_to(&mut self, address: SocketAddr) {
        self.address = address;
        self.backoff.reset();
        self.skip_next_invalid_list = false;
        self.previous_call = None;
    }

    /// Opens a call for the changes after this revision. `connected` is the result of starting a
    /// connection to [`DiscoveryWatch::address`].
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
        let timeout = if self.call.is_some() {
            self.limits.first_line_timeout
        } else {
            self.backoff.next_delay(CallFailure::Closed)
        };
        self.set_deadline(io.now + timeout, io);
    }

    /// Called when the connection of the call with this serial number is readable or writable.
    /// Calls `apply` with each endpoint list that has arrived.
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
        // An invalid endpoint list takes precedence over an error of the connection.
        if let Err(error) = applied.and(read) {
            let reason = error.to_string();
            tracing::warn!(
                event = "discovery.watch_closed",
                reason = reason.as_str(),
                "discovery watch closed, reconnecting"
            );
            self.call = None;
            let delay = self.backoff.next_delay(error.backoff_failure());
            self.set_deadline(io.now + delay, io);
        }
    }

    /// Reads from all calls and applies the endpoint lists. Called before the address changes.
    pub fn read_remaining(
        &mut self,
        io: &mut Io,
        apply: &mut impl FnMut(&EndpointListMessage, &mut Io),
    ) {
        let ready = Ready {
            token: 0,
            readable: true,
            writable: false,
            peer_closed: true,
        };
        let calls = [self.previous_call.as_ref(), self.call.as_ref()];
        let serials = calls.map(|call| call.map(|call| call.serial));
        for serial in serials.into_iter().flatten() {
            self.on_ready(serial, ready, io, apply);
        }
    }

    /// Called when the deadline expires, either because no line arrived in time or because the
    /// backoff has ended. The caller then opens a new call.
    pub fn on_deadline(&mut self, revision: u64, now: Duration) {
        self.due = None;
        let Some(call) = self.call.take() else {
            return;
        };
        // A call that has delivered lines before has failed; one that has not may just be late.
        let may_still_reply = |call: &WatchCall| call.may_still_reply(now);
        let previous = self.previous_call.take().filter(may_still_reply);
        self.previous_call = previous.or(Some(call).filter(may_still_reply));
        tracing::warn!(
            event = "discovery.watch_timed_out",
            revision,
            "discovery watch timed out, reconnecting"
        );
    }

    /// Reads from the call with this serial number. If the previous call delivers a line, it
    /// replaces the current call. Returns `None` if there is nothing to apply and no error to
    /// handle.
    fn read(
        &mut self,
        serial: u32,
        ready: Ready,
        lines: &mut Vec<Vec<u8>>,
        io: &mut Io,
    ) -> Option<Result<(), CallError>> {
        let has_serial = |call: &&mut WatchCall| call.serial == serial;
        if let Some(previous) = self.previous_call.as_mut().filter(has_serial) {
            let read = previous.read(ready, io.now, lines);
            if lines.is_empty() {
                // The end of the previous call does not affect the current call.
                self.previous_call = self.previous_call.take().filter(|_| read.is_ok());
                return None;
            }
            self.call = self.previous_call.take();
            return Some(read);
        }
        let call = self.call.as_mut().filter(has_serial)?;
        let read = call.read(ready, io.now, lines);
        if !lines.is_empty() {
            self.previous_call = None;
        } else if let Some(list_deadline) = call.list_deadline(io.now) {
            let due = self.due.max(Some(list_deadline));
            io.deadlines.set(&mut self.due, due, DEADLINE_SOURCE);
        }
        Some(read)
    }

    /// Applies the lines of a call, up to an invalid endpoint list.
    fn apply_lines(
        &mut self,
        lines: Vec<Vec<u8>>,
        io: &mut Io,
        apply: &mut impl FnMut(&EndpointListMessage, &mut Io),
    ) -> Result<(), CallError> {
        for mut line in lines {
            self.set_deadline(io.now + self.limits.silence_timeout, io);
            self.backoff.reset();
            if line.trim_ascii().is_empty() {
                self.synced = true;
                continue;
            }
            match list::decode(&mut line) {
                Ok(list) => {
                    self.synced = true;
                    self.skip_next_invalid_list = false;
                    apply(&list, io);
                }
                // The next call requests the list again, so that a drain in it is not lost. If the
                // list is invalid again, it is skipped.
                Err(error) => {
                    tracing::warn!(event = "discovery.line_unreadable", error = %error, "invalid endpoint list");
                    self.skip_next_invalid_list = !self.skip_next_invalid_list;
                    if self.skip_next_invalid_list {
                        return Err(CallError::InvalidList);
                    }
                }
            }
        }
        Ok(())
    }

    fn set_deadline(&mut self, due: Duration, io: &mut Io) {
        io.deadlines.set(&mut self.due, Some(due), DEADLINE_SOURCE);
    }
}
