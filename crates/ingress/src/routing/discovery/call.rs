//! A call of the watch: an HTTP request on its own connection, whose response stays open and
//! delivers endpoint lists, and empty lines if nothing has changed.

use super::backoff::CallFailure;
use super::limits::DiscoveryLimits;
use crate::protocol::http::{self, Framing, ReplyHead};
use crate::protocol::list::ListSplitter;
use crate::protocol::Malformed;
use crate::routing::io::{MAX_IDLE_BUFFER_BYTES, READ_BUFFER_BYTES};
use crate::transport::{ReadOutcome, Ready, Stream};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why a call has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum CallError {
    #[error("cannot connect")]
    CannotConnect,
    #[error("connection failed while sending the request")]
    SendFailed,
    #[error("connection closed or reset")]
    ConnectionClosed,
    #[error("response does not open a watch")]
    WatchNotOpened,
    #[error("watch ended by discovery")]
    WatchEnded,
    #[error("endpoint list too long")]
    ListTooLong,
    #[error("chunk too long")]
    ChunkTooLong,
    #[error("invalid endpoint list")]
    InvalidList,
    #[error("{0}")]
    Malformed(&'static str),
}

impl From<Malformed> for CallError {
    fn from(malformed: Malformed) -> CallError {
        CallError::Malformed(malformed.0)
    }
}

impl CallError {
    /// Returns the kind of failure that determines the backoff.
    pub(super) fn backoff_failure(self) -> CallFailure {
        match self {
            CallError::WatchNotOpened => CallFailure::Rejected,
            _ => CallFailure::Closed,
        }
    }
}

/// A call of the watch. It lasts as long as its response stays open.
pub(super) struct WatchCall {
    stream: Stream,
    limits: DiscoveryLimits,
    started_at: Duration,
    /// Serial number of the call, so that events of a closed call are not taken for those of the
    /// next one.
    pub(super) serial: u32,
    is_established: bool,
    /// The framing of the response body; `None` until the response head has been received.
    body: Option<Framing>,
    /// Whether at least one line has been received.
    received_line: bool,
    /// Splits the response body into endpoint lists.
    splitter: ListSplitter,
    /// When the first part of an incomplete endpoint list was received.
    list_incomplete_since: Option<Duration>,
}

impl WatchCall {
    /// Creates a call on a new connection, which asks for the changes after this revision of the
    /// endpoint list.
    pub(super) fn new(
        mut stream: Stream,
        serial: u32,
        address: SocketAddr,
        revision: u64,
        limits: DiscoveryLimits,
        now: Duration,
    ) -> WatchCall {
        http::put_watch_request(stream.output(), &address.to_string(), revision);
        WatchCall {
            stream,
            limits,
            started_at: now,
            serial,
            is_established: false,
            body: None,
            received_line: false,
            splitter: ListSplitter::default(),
            list_incomplete_since: None,
        }
    }

    /// Called when the connection is readable or writable. Appends the complete endpoint lists and
    /// the empty lines that it reads to `lines`, even if it returns an error.
    pub(super) fn read(
        &mut self,
        ready: Ready,
        now: Duration,
        lines: &mut Vec<Vec<u8>>,
    ) -> Result<(), CallError> {
        if !self.is_established {
            if !ready.writable {
                return Ok(());
            }
            let connected = self.stream.connect_result();
            connected.map_err(|_| CallError::CannotConnect)?;
            self.is_established = true;
        }
        let flushed = self.stream.flush();
        flushed.map_err(|_| CallError::SendFailed)?;
        if !ready.readable {
            return Ok(());
        }
        let protocol = &self.limits.protocol;
        let max_bytes = protocol.max_list_bytes + protocol.max_line_bytes;
        let filled = self
            .stream
            .read_available(max_bytes, READ_BUFFER_BYTES, ready.peer_closed);
        self.parse_head()?;
        self.parse_body(lines)?;
        self.stream.release_large_buffers(MAX_IDLE_BUFFER_BYTES);
        let since = self.list_incomplete_since.filter(|_| lines.is_empty());
        self.list_incomplete_since = (self.incomplete_bytes() > 0).then_some(since.unwrap_or(now));
        match filled {
            ReadOutcome::Drained => Ok(()),
            ReadOutcome::LimitReached => Err(CallError::ChunkTooLong),
            ReadOutcome::EndOfStream | ReadOutcome::Failed => Err(CallError::ConnectionClosed),
        }
    }

    /// Whether to keep waiting for the first line of this call while a later call is open.
    pub(super) fn may_still_reply(&self, now: Duration) -> bool {
        !self.received_line && now < self.started_at + self.limits.previous_call_timeout
    }

    /// Returns when the watch gives up waiting for the rest of an incomplete endpoint list, or
    /// `None` if no list is incomplete. A list has [`DiscoveryLimits::first_line_timeout`] plus the
    /// time for its bytes at the minimum rate, and each part must follow the previous one within
    /// `first_line_timeout`.
    pub(super) fn list_deadline(&self, now: Duration) -> Option<Duration> {
        let bytes_per_second = self.limits.min_list_bytes_per_second;
        let transfer_time =
            Duration::from_secs_f64(self.incomplete_bytes() as f64 / bytes_per_second);
        let part_timeout = self.limits.first_line_timeout;
        let list_deadline = self.list_incomplete_since? + part_timeout + transfer_time;
        Some((now + part_timeout).min(list_deadline))
    }

    /// Parses the head of the response, and skips interim responses (status 1xx).
    fn parse_head(&mut self) -> Result<(), CallError> {
        while self.body.is_none() {
            let head = http::parse_reply_head(self.stream.input(), &self.limits.protocol)?;
            match head {
                Some((head, length)) if (100..=199).contains(&head.status) => {
                    self.stream.consume(length);
                }
                Some((
                    ReplyHead {
                        status: 200,
                        body: body @ (Framing::Chunked | Framing::UntilClose),
                        ..
                    },
                    length,
                )) => {
                    self.stream.consume(length);
                    self.body = Some(body);
                }
                Some(_) => return Err(CallError::WatchNotOpened),
                None => break,
            }
        }
        Ok(())
    }

    /// Parses the received part of the response body, and appends complete endpoint lists and empty
    /// lines to `lines`.
    fn parse_body(&mut self, lines: &mut Vec<Vec<u8>>) -> Result<(), CallError> {
        while let Some(body) = self.body.filter(|_| !self.stream.input().is_empty()) {
            let input = self.stream.input();
            let (part, length) = match body {
                Framing::Chunked => match http::chunk(input, &self.limits.protocol)? {
                    Some(found) => found,
                    None => break,
                },
                _ => (input, input.len()),
            };
            if part.is_empty() {
                return Err(CallError::WatchEnded);
            }
            self.splitter.feed(part, lines);
            self.received_line |= !lines.is_empty();
            if self.splitter.buffered_bytes() > self.limits.protocol.max_list_bytes {
                return Err(CallError::ListTooLong);
            }
            self.stream.consume(length);
        }
        Ok(())
    }

    /// Returns the number of received bytes of an incomplete endpoint list.
    fn incomplete_bytes(&self) -> usize {
        let unparsed_bytes = if self.body.is_some() {
            self.stream.input().len()
        } else {
            0
        };
        self.splitter.buffered_bytes() + unparsed_bytes
    }
}
