//! One connection to the counter: calls that are pipelined on it, and their results in order.

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

/// A connection to the counter, and its successors.
pub(super) struct CounterConnection {
    pub(super) index: u16,
    pub(super) limits: CounterLimits,
    pub(super) call_timeout: Duration,
    pub(super) stream: Option<Stream>,
    /// Epoch of the address that the stream leads to.
    pub(super) epoch: u32,
    /// Counts the streams: events of one that is closed must not reach its successor.
    pub(super) serial: u32,
    pub(super) is_established: bool,
    pub(super) has_replied: bool,
    pub(super) calls: VecDeque<CounterCall>,
    /// Calls at the front that have timed out: completed as unknown, their replies still to come.
    pub(super) timed_out: usize,
    /// Bytes ever put on this stream.
    pub(super) bytes_put: u64,
    /// When bytes last came, or the first of the pending calls was put on the stream.
    pub(super) last_active_at: Duration,
    /// No stream is opened before this time.
    pub(super) retry_at: Duration,
    /// Since when a reply has been incomplete.
    pub(super) reply_part_since: Option<Duration>,
    /// The deadline that is set for it.
    pub(super) due: Option<Duration>,
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
            timed_out: 0,
            bytes_put: 0,
            last_active_at: Duration::ZERO,
            retry_at: Duration::ZERO,
            reply_part_since: None,
            due: None,
            has_output: false,
        }
    }

    /// Makes a call. It is completed at once if the counter cannot be reached just now.
    pub(super) fn call(
        &mut self,
        call: CounterCall,
        to: &CounterAddress,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        // No call waits for a counter that was not there a moment ago.
        let is_backing_off = self.stream.is_none() && io.now < self.retry_at;
        let is_full = self.calls.len() >= self.limits.max_calls_per_connection;
        if is_backing_off || is_full || !call.amount.is_finite() {
            return call.complete(CounterResult::NotAdded, io.now, engine);
        }
        self.calls.push_back(call);
        self.open(to, io, engine);
    }

    /// Writes all calls of this round.
    pub(super) fn flush(&mut self, io: &mut Io, engine: &mut IngressEngine) {
        if !std::mem::take(&mut self.has_output) {
            return;
        }
        let stream = self.stream.as_mut();
        if stream.is_some_and(|stream| stream.flush().is_err()) {
            self.fail(self.limits.retry_interval, io.now, engine);
            self.arm(io);
        }
    }

    /// The counter has another address now: nothing is backed off from any more.
    pub(super) fn migrate_to(
        &mut self,
        to: &CounterAddress,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        self.retry_at = Duration::ZERO;
        self.leave_old_address(to, io, engine);
    }

    /// The connection is ready.
    pub(super) fn on_ready(
        &mut self,
        serial: u32,
        ready: Ready,
        to: &CounterAddress,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        if self.serial != serial || self.stream.is_none() {
            return;
        }
        if !self.is_established && !self.establish(ready, to, io.now) {
            self.fail(self.limits.retry_interval, io.now, engine);
            self.arm(io);
            return;
        }
        if !self.is_established {
            return;
        }
        match self.exchange(ready, io, engine) {
            StreamStatus::Usable => {}
            status => self.on_unusable(status, io.now, engine),
        }
        self.arm(io);
        self.leave_old_address(to, io, engine);
    }

    /// The connection's deadline has come.
    pub(super) fn on_due(&mut self, to: &CounterAddress, io: &mut Io, engine: &mut IngressEngine) {
        self.due = None;
        self.time_out_calls(io.now, engine);
        if self.is_stuck(io.now) {
            self.fail(Duration::ZERO, io.now, engine);
        }
        self.arm(io);
        self.leave_old_address(to, io, engine);
    }

    /// Opens a stream for the calls that wait, and puts on it what may be put.
    fn open(&mut self, to: &CounterAddress, io: &mut Io, engine: &mut IngressEngine) {
        if self.stream.is_none() && !self.calls.is_empty() {
            self.last_active_at = io.now;
            self.is_established = false;
            self.has_replied = false;
            self.epoch = to.epoch;
            self.serial = self.serial.wrapping_add(1);
            let token = EventSource::Counter(self.index, self.serial).token();
            let opened = io.connect(&to.address).and_then(|stream| {
                io.poller.add(stream.fd(), token)?;
                Ok(stream)
            });
            match opened {
                Ok(stream) => self.stream = Some(stream),
                Err(_) => self.fail(self.limits.retry_interval, io.now, engine),
            }
        }
        self.put_calls(to, io.now);
        self.arm(io);
    }

    /// Takes note of a stream that is established; false if it has failed.
    fn establish(&mut self, ready: Ready, to: &CounterAddress, now: Duration) -> bool {
        let Some(stream) = self.stream.as_ref().filter(|_| ready.writable) else {
            return true;
        };
        if stream.connected().is_err() {
            return false;
        }
        self.is_established = true;
        self.put_calls(to, now);
        self.last_active_at = now;
        true
    }

    /// The stream is of no more use.
    ///
    /// An idle stream that the counter closed, one that is out of step, or one that broke after it
    /// had served says nothing about the counter: the next call opens another at once.
    fn on_unusable(&mut self, status: StreamStatus, now: Duration, engine: &mut IngressEngine) {
        let is_counter_reachable =
            status == StreamStatus::OutOfStep || self.has_replied || self.calls.is_empty();
        let retry_after = if is_counter_reachable {
            Duration::ZERO
        } else {
            self.limits.retry_interval
        };
        self.fail(retry_after, now, engine);
    }

    /// Puts the calls that wait on the stream, if it is established and leads to the address.
    fn put_calls(&mut self, to: &CounterAddress, now: Duration) {
        let is_current = self.is_established && self.epoch == to.epoch;
        let Some(stream) = self.stream.as_mut().filter(|_| is_current) else {
            return;
        };
        let oldest = self.calls.front();
        if oldest.is_none_or(|call| call.end.is_none()) {
            self.last_active_at = now;
        }
        let last_put = self.calls.iter().rposition(|call| call.end.is_some());
        let first_waiting = last_put.map_or(0, |position| position + 1);
        for call in self.calls.range_mut(first_waiting..) {
            let output = stream.output();
            let before = output.len();
            let keep_ms = call.time_to_live.as_millis().max(1) as u64;
            http::put_increment(output, &to.host, call.key.0, call.amount, keep_ms);
            self.bytes_put += (output.len() - before) as u64;
            call.end = Some(self.bytes_put);
            self.has_output = true;
        }
    }

    /// Closes a stream to an old address once no reply is awaited on it. Calls that were put on it
    /// are awaited there; those that follow wait for them, as results for a key must come in the
    /// order of its calls.
    fn leave_old_address(&mut self, to: &CounterAddress, io: &mut Io, engine: &mut IngressEngine) {
        if self.stream.is_none() || self.epoch == to.epoch || self.awaits_reply() {
            return;
        }
        self.stream = None;
        self.calls.drain(..self.timed_out);
        self.reset_stream_state();
        self.open(to, io, engine);
    }

    /// Is a call on the stream that has not been completed?
    fn awaits_reply(&self) -> bool {
        let oldest = self.calls.get(self.timed_out);
        oldest.is_some_and(|call| call.end.is_some())
    }

    /// Closes the stream: each call on it is completed, in order.
    fn fail(&mut self, retry_after: Duration, now: Duration, engine: &mut IngressEngine) {
        let stream = self.stream.take();
        let unwritten = stream.map_or(0, |stream| stream.unwritten() as u64);
        let written = self.bytes_put - unwritten;
        for call in self.calls.drain(..).skip(self.timed_out) {
            let result = if call.end.is_some_and(|end| end <= written) {
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
        self.timed_out = 0;
        self.bytes_put = 0;
        self.is_established = false;
        self.has_output = false;
        self.reply_part_since = None;
    }
}

/// What came of using a stream.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum StreamStatus {
    Usable,
    /// It has ended or is broken.
    Closed,
    /// Replies cannot be matched to calls any more.
    OutOfStep,
}
