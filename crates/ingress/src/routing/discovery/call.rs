//! One call of the watch: its connection, the framing of the reply, and the lines in it.

use super::backoff::CallFailure;
use super::limits::DiscoveryLimits;
use crate::protocol::http::{self, Body, Head};
use crate::protocol::list::ListSplitter;
use crate::protocol::Malformed;
use crate::routing::io::{MAX_IDLE_BUFFER_BYTES, READ_BUFFER_BYTES};
use crate::transport::{Fill, Ready, Stream};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why a call is of no more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum CallError {
    #[error("cannot connect")]
    CannotConnect,
    #[error("connection broke")]
    ConnectionBroke,
    #[error("connection ended")]
    ConnectionEnded,
    #[error("not a watch")]
    NotAWatch,
    #[error("watch ended")]
    WatchEnded,
    #[error("line too long")]
    LineTooLong,
    #[error("chunk too long")]
    ChunkTooLong,
    #[error("unreadable line")]
    UnreadableLine,
    #[error("{0}")]
    Malformed(&'static str),
}

impl From<Malformed> for CallError {
    fn from(malformed: Malformed) -> CallError {
        CallError::Malformed(malformed.0)
    }
}

impl CallError {
    /// How the backoff takes it.
    pub(super) fn failure(self) -> CallFailure {
        match self {
            CallError::NotAWatch => CallFailure::Rejected,
            _ => CallFailure::Closed,
        }
    }
}

/// One call: a reply that stays open.
pub(super) struct WatchCall {
    stream: Stream,
    limits: DiscoveryLimits,
    made_at: Duration,
    /// Counts the calls: events of one that is closed must not reach its successor.
    pub(super) serial: u32,
    is_established: bool,
    /// The framing of the reply, once its head has come.
    body: Option<Body>,
    received_line: bool,
    lists: ListSplitter,
    /// Since when a list has been incomplete.
    list_part_since: Option<Duration>,
}

impl WatchCall {
    /// A call on a new connection for what follows this revision of the endpoint list.
    pub(super) fn new(
        mut stream: Stream,
        serial: u32,
        address: SocketAddr,
        revision: u64,
        limits: DiscoveryLimits,
        now: Duration,
    ) -> WatchCall {
        http::put_watch(stream.output(), &address.to_string(), revision);
        WatchCall {
            stream,
            limits,
            made_at: now,
            serial,
            is_established: false,
            body: None,
            received_line: false,
            lists: ListSplitter::default(),
            list_part_since: None,
        }
    }

    /// Reads on; complete lines go to `lines`, also where an error follows them.
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
            let connected = self.stream.connected();
            connected.map_err(|_| CallError::CannotConnect)?;
            self.is_established = true;
        }
        let flushed = self.stream.flush();
        flushed.map_err(|_| CallError::ConnectionBroke)?;
        if !ready.readable {
            return Ok(());
        }
        let protocol = &self.limits.protocol;
        let max_bytes = protocol.max_list_bytes + protocol.max_line_bytes;
        let filled = self.stream.fill(max_bytes, READ_BUFFER_BYTES, ready.ended);
        self.take_head()?;
        self.take_body(lines)?;
        self.stream.trim(MAX_IDLE_BUFFER_BYTES);
        let since = self.list_part_since.filter(|_| lines.is_empty());
        self.list_part_since = (self.incomplete_bytes() > 0).then_some(since.unwrap_or(now));
        match filled {
            Fill::Drained => Ok(()),
            Fill::Limited => Err(CallError::ChunkTooLong),
            Fill::Ended | Fill::Broken => Err(CallError::ConnectionEnded),
        }
    }

    /// May its first line still come, beside the calls after it?
    pub(super) fn may_still_reply(&self, now: Duration) -> bool {
        !self.received_line && now < self.made_at + self.limits.previous_call_timeout
    }

    /// Until when the rest of an incomplete list is waited for: a long list may take longer than a
    /// line is waited for, but each part must follow the last one soon.
    pub(super) fn list_due(&self, now: Duration) -> Option<Duration> {
        let rate = self.limits.min_list_bytes_per_second;
        let earned = Duration::from_secs_f64(self.incomplete_bytes() as f64 / rate);
        let part_timeout = self.limits.first_line_timeout;
        let list_due = self.list_part_since? + part_timeout + earned;
        Some((now + part_timeout).min(list_due))
    }

    /// Takes the head of the reply, past interim ones.
    fn take_head(&mut self) -> Result<(), CallError> {
        while self.body.is_none() {
            let head = http::reply_head(self.stream.input(), &self.limits.protocol)?;
            match head {
                Some((head, length)) if (100..=199).contains(&head.status) => {
                    self.stream.take(length);
                }
                Some((
                    Head {
                        status: 200,
                        body: body @ (Body::Chunked | Body::UntilEnd),
                        ..
                    },
                    length,
                )) => {
                    self.stream.take(length);
                    self.body = Some(body);
                }
                Some(_) => return Err(CallError::NotAWatch),
                None => break,
            }
        }
        Ok(())
    }

    /// Takes what has come of the body; complete lines go to `lines`.
    fn take_body(&mut self, lines: &mut Vec<Vec<u8>>) -> Result<(), CallError> {
        while let Some(body) = self.body.filter(|_| !self.stream.input().is_empty()) {
            let input = self.stream.input();
            let (part, length) = match body {
                Body::Chunked => match http::chunk(input, &self.limits.protocol)? {
                    Some(found) => found,
                    None => break,
                },
                _ => (input, input.len()),
            };
            if part.is_empty() {
                return Err(CallError::WatchEnded);
            }
            self.lists.take(part, lines);
            self.received_line |= !lines.is_empty();
            if self.lists.held() > self.limits.protocol.max_list_bytes {
                return Err(CallError::LineTooLong);
            }
            self.stream.take(length);
        }
        Ok(())
    }

    /// Bytes of a list whose rest is still to come.
    fn incomplete_bytes(&self) -> usize {
        let unframed = if self.body.is_some() {
            self.stream.input().len()
        } else {
            0
        };
        self.lists.held() + unframed
    }
}
