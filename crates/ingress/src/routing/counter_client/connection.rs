//! A connection to the counter, on which calls are pipelined and completed in order.

use super::call::{CounterAddress, CounterCall};
use super::limits::CounterLimits;
use crate::protocol::http;
use crate::routing::engine::IngressEngine;
use crate::routing::event_source::EventSource;
use crate::routing::io::Io;
use crate::transport::{Ready, Stream};
use roseyard_decision::CounterResult;
use std::collections::VecDeque;
use std::time::Duration;

/// A logical connection to the counter, which outlives its TCP streams: after a stream was closed,
/// another is opened for the next call.
pub(super) struct CounterConnection {
    /// Index of the connection in the client.
    pub(super) index: u16,
    pub(super) limits: CounterLimits,
    pub(super) call_timeout: Duration,
    pub(super) stream: Option<Stream>,
    /// [`CounterAddress::epoch`] of the address that the stream is connected to.
    pub(super) epoch: u32,
    /// Serial number of the stream, so that events of a closed stream are not taken for those of
    /// the next one.
    pub(super) serial: u32,
    pub(super) is_established: bool,
    /// Whether a reply has been received on this stream.
    pub(super) has_replied: bool,
    /// Calls whose reply has not been received, oldest first.
    pub(super) calls: VecDeque<CounterCall>,
    /// Number of calls at the front that have timed out: they are completed with an unknown result,
    /// but their replies may still arrive.
    pub(super) timed_out_calls: usize,
    /// Number of bytes queued on this stream since it was opened.
    pub(super) bytes_queued: u64,
    /// The latest of these times: the stream was opened; it was established; a reply was received;
    /// a call was queued while no other call was queued on the stream.
    pub(super) last_active_at: Duration,
    /// No stream is opened before this time.
    pub(super) retry_at: Duration,
    /// When the first part of an incomplete reply was received.
    pub(super) reply_incomplete_since: Option<Duration>,
    /// The deadline that is registered with [`Io::deadlines`].
    pub(super) registered_deadline: Option<Duration>,
    /// Whether calls have been queued since the last flush.
    pub(super) has_output: bool,
}

impl CounterConnection {
    pub(super) fn new(
        index: u16,
        limits: CounterLimits,
        call_timeout: Duration,
    ) -> CounterConnection {
        CounterConnection {
            index,
            limits,
            call_timeout,
            stream: None,
            epoch: 0,
            serial: 0,
            is_established: false,
            has_replied: false,
            calls: VecDeque::new(),
            timed_out_calls: 0,
            bytes_queued: 0,
            last_active_at: Duration::ZERO,
            retry_at: Duration::ZERO,
            reply_incomplete_since: None,
            registered_deadline: None,
            has_output: false,
        }
    }

    /// Makes a call. It is completed at once with [`CounterResult::NotAdded`] during the backoff
    /// after a failure, if too many calls have no reply yet, or if the amount is not finite.
    pub(super) fn call(
        &mut self,
        call: CounterCall,
        target: &CounterAddress,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        // During the backoff, calls fail at once instead of waiting for the counter.
        let is_backing_off = self.stream.is_none() && io.now < self.retry_at;
        let is_full = self.calls.len() >= self.limits.max_calls_per_connection;
        if is_backing_off || is_full || !call.amount.is_finite() {
            return call.complete(CounterResult::NotAdded, io.now, engine);
        }
        self.calls.push_back(call);
        self.open(target, io, engine);
    }

    /// Writes the calls that have been queued since the last flush.
    pub(super) fn flush(&mut self, io: &mut Io, engine: &mut IngressEngine) {
        if !std::mem::take(&mut self.has_output) {
            return;
        }
        let stream = self.stream.as_mut();
        if stream.is_some_and(|stream| stream.flush().is_err()) {
            self.close(self.limits.retry_interval, io.now, engine);
            self.update_deadline(io);
        }
    }

    /// Moves to a new address of the counter, and ends the backoff after a failure of the old one.
    pub(super) fn migrate_to(
        &mut self,
        target: &CounterAddress,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        self.retry_at = Duration::ZERO;
        self.reconnect_if_moved(target, io, engine);
    }

    /// Called when the stream with this serial number is readable or writable.
    pub(super) fn on_ready(
        &mut self,
        serial: u32,
        ready: Ready,
        target: &CounterAddress,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        if self.serial != serial || self.stream.is_none() {
            return;
        }
        if !self.is_established && !self.check_connect(ready, target, io.now) {
            self.close(self.limits.retry_interval, io.now, engine);
            self.update_deadline(io);
            return;
        }
        if !self.is_established {
            return;
        }
        match self.write_and_read(ready, io, engine) {
            StreamStatus::Usable => {}
            status => self.on_unusable(status, io.now, engine),
        }
        self.update_deadline(io);
        self.reconnect_if_moved(target, io, engine);
    }

    /// Called when the deadline of the connection expires.
    pub(super) fn on_deadline(
        &mut self,
        target: &CounterAddress,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        self.registered_deadline = None;
        self.time_out_calls(io.now, engine);
        if self.must_close(io.now) {
            self.close(Duration::ZERO, io.now, engine);
        }
        self.update_deadline(io);
        self.reconnect_if_moved(target, io, engine);
    }

    /// Opens a stream if there is none and calls are waiting. Queues the waiting calls if the
    /// stream is established; otherwise they are queued when it is.
    fn open(&mut self, target: &CounterAddress, io: &mut Io, engine: &mut IngressEngine) {
        if self.stream.is_none() && !self.calls.is_empty() {
            self.last_active_at = io.now;
            self.is_established = false;
            self.has_replied = false;
            self.epoch = target.epoch;
            self.serial = self.serial.wrapping_add(1);
            let token = EventSource::Counter(self.index, self.serial).token();
            let opened = io.connect(&target.socket_address).and_then(|stream| {
                io.poller.add(stream.fd(), token)?;
                Ok(stream)
            });
            match opened {
                Ok(stream) => self.stream = Some(stream),
                Err(_) => self.close(self.limits.retry_interval, io.now, engine),
            }
        }
        self.queue_calls(target, io.now);
        self.update_deadline(io);
    }

    /// If the stream is writable, the connection attempt has ended: marks the stream as established
    /// and queues the waiting calls, or returns false if the attempt has failed. Returns true while
    /// the attempt is still in progress.
    fn check_connect(&mut self, ready: Ready, target: &CounterAddress, now: Duration) -> bool {
        let Some(stream) = self.stream.as_ref().filter(|_| ready.writable) else {
            return true;
        };
        if stream.connect_result().is_err() {
            return false;
        }
        self.is_established = true;
        self.queue_calls(target, now);
        self.last_active_at = now;
        true
    }

    /// Closes a stream that can no longer be used.
    ///
    /// The next call opens a new stream at once if the counter is presumably reachable, that is, if
    /// the stream was idle, a reply had been received on it, or it is [`StreamStatus::OutOfSync`].
    /// Otherwise none is opened for [`CounterLimits::retry_interval`].
    fn on_unusable(&mut self, status: StreamStatus, now: Duration, engine: &mut IngressEngine) {
        let is_counter_reachable =
            status == StreamStatus::OutOfSync || self.has_replied || self.calls.is_empty();
        let retry_after = if is_counter_reachable {
            Duration::ZERO
        } else {
            self.limits.retry_interval
        };
        self.close(retry_after, now, engine);
    }

    /// Queues the waiting calls on the stream if it is established and connected to the current
    /// address.
    fn queue_calls(&mut self, target: &CounterAddress, now: Duration) {
        let can_queue = self.is_established && self.epoch == target.epoch;
        let Some(stream) = self.stream.as_mut().filter(|_| can_queue) else {
            return;
        };
        let oldest = self.calls.front();
        if oldest.is_none_or(|call| call.end_offset.is_none()) {
            self.last_active_at = now;
        }
        let last_queued = self
            .calls
            .iter()
            .rposition(|call| call.end_offset.is_some());
        let first_waiting = last_queued.map_or(0, |position| position + 1);
        for call in self.calls.range_mut(first_waiting..) {
            let output = stream.output();
            let previous_len = output.len();
            let time_to_live_ms = call.time_to_live.as_millis().max(1) as u64;
            http::put_increment_request(
                output,
                &target.host,
                call.key.0,
                call.amount,
                time_to_live_ms,
            );
            self.bytes_queued += (output.len() - previous_len) as u64;
            call.end_offset = Some(self.bytes_queued);
            self.has_output = true;
        }
    }

    /// Closes a stream to an old address once no call on it is pending, and opens one to the
    /// current address. Until then, new calls wait, because the results for a key must be reported
    /// in the order of its calls.
    fn reconnect_if_moved(
        &mut self,
        target: &CounterAddress,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        if self.stream.is_none() || self.epoch == target.epoch || self.awaits_reply() {
            return;
        }
        self.stream = None;
        self.calls.drain(..self.timed_out_calls);
        self.reset_stream_state();
        self.open(target, io, engine);
    }

    /// Whether a call that is queued on the stream awaits its result. Calls that have timed out do
    /// not, because they are completed already.
    fn awaits_reply(&self) -> bool {
        let oldest = self.calls.get(self.timed_out_calls);
        oldest.is_some_and(|call| call.end_offset.is_some())
    }

    /// Closes the stream, and completes in order all calls that have not timed out: with
    /// [`CounterResult::Unknown`] if the call was written completely, else with
    /// [`CounterResult::NotAdded`]. No stream is opened for `retry_after`.
    fn close(&mut self, retry_after: Duration, now: Duration, engine: &mut IngressEngine) {
        let stream = self.stream.take();
        let unwritten = stream.map_or(0, |stream| stream.unwritten() as u64);
        let written = self.bytes_queued - unwritten;
        for call in self.calls.drain(..).skip(self.timed_out_calls) {
            let result = if call
                .end_offset
                .is_some_and(|end_offset| end_offset <= written)
            {
                CounterResult::Unknown
            } else {
                CounterResult::NotAdded
            };
            call.complete(result, now, engine);
        }
        self.reset_stream_state();
        self.retry_at = now + retry_after;
    }

    fn reset_stream_state(&mut self) {
        self.timed_out_calls = 0;
        self.bytes_queued = 0;
        self.is_established = false;
        self.has_output = false;
        self.reply_incomplete_since = None;
    }
}

/// Whether a stream can still be used after reading and writing.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum StreamStatus {
    Usable,
    /// The stream was closed by the peer, or failed.
    Closed,
    /// Replies can no longer be matched to calls, or the last reply ends the connection.
    OutOfSync,
}
