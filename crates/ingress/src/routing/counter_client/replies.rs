//! Reads replies from the counter, and matches them to the calls of a connection, oldest first.

use super::connection::{CounterConnection, StreamStatus};
use crate::protocol::http;
use crate::routing::engine::IngressEngine;
use crate::routing::io::{Io, READ_BUFFER_BYTES};
use crate::transport::{ReadOutcome, Ready};
use roseyard_decision::CounterResult;
use std::time::Duration;

impl CounterConnection {
    /// Writes pending output, then reads replies if the stream is readable.
    pub(super) fn write_and_read(
        &mut self,
        ready: Ready,
        io: &Io,
        engine: &mut IngressEngine,
    ) -> StreamStatus {
        let Some(stream) = &mut self.stream else {
            return StreamStatus::Closed;
        };
        self.has_output = false;
        if stream.flush().is_err() {
            return StreamStatus::Closed;
        }
        if !ready.readable {
            return StreamStatus::Usable;
        }
        let max_bytes = self.limits.max_read_bytes;
        let filled = stream.read_available(max_bytes, READ_BUFFER_BYTES, ready.peer_closed);
        if !self.complete_calls(filled == ReadOutcome::EndOfStream, io.now, engine) {
            return StreamStatus::OutOfSync;
        }
        match filled {
            ReadOutcome::Drained | ReadOutcome::LimitReached => StreamStatus::Usable,
            ReadOutcome::EndOfStream | ReadOutcome::Failed => StreamStatus::Closed,
        }
    }

    /// Matches replies to calls, oldest first. `is_ended` says that the counter has closed the
    /// stream. Returns false if the stream is out of sync or must be closed after a reply.
    fn complete_calls(
        &mut self,
        is_ended: bool,
        now: Duration,
        engine: &mut IngressEngine,
    ) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        loop {
            let input = stream.input();
            let ((head, body), length) = match http::reply(input, is_ended, &self.limits.protocol) {
                Ok(Some(found)) => found,
                Ok(None) => {
                    let since = self.reply_incomplete_since.or(Some(now));
                    self.reply_incomplete_since = since.filter(|_| !input.is_empty());
                    return input.len() < self.limits.protocol.max_message_bytes();
                }
                Err(_) => return false,
            };
            let result = parse_result(head.status, body);
            stream.consume(length);
            self.last_active_at = now;
            self.reply_incomplete_since = None;
            self.has_replied = true;
            let Some(result) = result else { continue };
            let Some(call) = self.calls.pop_front() else {
                return false;
            };
            // A call that has timed out was already completed with an unknown result.
            if self.timed_out_calls > 0 {
                self.timed_out_calls -= 1;
            } else {
                call.complete(result, now, engine);
            }
            // The bytes after an invalid reply may still be part of it, and must not be taken for
            // the total of the next call.
            if head.closes_connection || result == CounterResult::Unknown {
                return false;
            }
        }
    }
}

/// Returns the result of a call from its reply, or `None` for an interim reply (status 1xx).
fn parse_result(status: u16, body: &[u8]) -> Option<CounterResult> {
    let text = std::str::from_utf8(body).ok();
    let total = text.and_then(|text| text.trim().parse::<f64>().ok());
    match (status, total.filter(|total| total.is_finite())) {
        (100..=199, _) => None,
        (200, Some(total)) => Some(CounterResult::Total(total)),
        (400 | 404 | 503, _) => Some(CounterResult::NotAdded),
        _ => Some(CounterResult::Unknown),
    }
}
