//! Calls to the counter: pipelined on a few connections, each name always on the same one, so that
//! its answers come in the order of the calls.

use super::core::IngressEngine;
use super::{Io, Party};
use crate::limits::Limits;
use crate::protocol::http;
use crate::transport::{Fill, Ready, Stream};
use roseyard_decision::{CounterKey, CounterResult};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// The counter's connections.
pub(super) struct Counter {
    address: SocketAddr,
    /// Counts the addresses that the counter has had.
    epoch: u32,
    host: String,
    timeout: Duration,
    wires: Vec<Wire>,
}

#[derive(Default)]
struct Wire {
    stream: Option<Stream>,
    /// Which of the counter's addresses, counted over all reloads, the stream leads to.
    epoch: u32,
    /// Counts the streams that it has had: news of one that is gone must not reach its successor.
    serial: u32,
    up: bool,
    /// Has it answered a call?
    answered: bool,
    calls: VecDeque<Call>,
    /// Calls at the front whose time is over: told as unknown, their answers still to come.
    late: usize,
    /// Bytes ever put on this connection.
    put: u64,
    /// When it was last of use: bytes came, or the first of the calls out was written.
    heard: Duration,
    is_retry: Duration,
    /// Since when a part of an answer has been waiting for its rest.
    part: Option<Duration>,
    due: Option<Duration>,
    dirty: bool,
}

struct Call {
    name: CounterKey,
    add: f64,
    keep: Duration,
    made: Duration,
    /// Where the call's last byte stands among those put on the connection, once it is there.
    end: Option<u64>,
}

impl Wire {
    fn tell(call: &Call, result: CounterResult, now: Duration, engine: &mut IngressEngine) {
        engine.on_counter_reply(call.name, result, now.saturating_sub(call.made));
    }

    /// The connection is of no more use: each call on it ends, in order.
    fn fail(&mut self, now: Duration, again: Duration, engine: &mut IngressEngine) {
        let unwritten = self.stream.take().map_or(0, |s| s.unwritten() as u64);
        let written = self.put - unwritten;
        for call in self.calls.drain(..).skip(self.late) {
            let sent = call.end.is_some_and(|end| end <= written);
            let result = if sent {
                CounterResult::Unknown
            } else {
                CounterResult::NotAdded
            };
            Wire::tell(&call, result, now, engine);
        }
        (self.late, self.put, self.up, self.dirty, self.part) = (0, 0, false, false, None);
        self.is_retry = now + again;
    }

    /// Calls that were put on the connection and not told of yet.
    fn untold(&self) -> bool {
        self.calls.get(self.late).is_some_and(|c| c.end.is_some())
    }

    fn put_calls(&mut self, host: &str, epoch: u32, now: Duration) {
        let Some(stream) = self
            .stream
            .as_mut()
            .filter(|_| self.up && self.epoch == epoch)
        else {
            return;
        };
        if self.calls.front().is_none_or(|c| c.end.is_none()) {
            self.heard = now;
        }
        let first = self
            .calls
            .iter()
            .rposition(|c| c.end.is_some())
            .map_or(0, |n| n + 1);
        for call in self.calls.range_mut(first..) {
            let before = stream.output().len();
            let keep = call.keep.as_millis().max(1) as u64;
            http::put_tally(stream.output(), host, call.name.0, call.add, keep);
            self.put += (stream.output().len() - before) as u64;
            call.end = Some(self.put);
            self.dirty = true;
        }
    }

    /// Sets the deadline that comes next: the first call's end, silence, or idleness.
    fn arm(&mut self, n: usize, timeout: Duration, io: &mut Io) {
        let call = self.calls.get(self.late).map(|c| c.made + timeout);
        let silence = (self.late > 0).then_some(self.heard + io.limits.counter_silence);
        let idle =
            (self.up && self.calls.is_empty()).then_some(self.heard + io.limits.counter_idle);
        let opening = (self.stream.is_some() && !self.up).then_some(self.heard + io.limits.connect);
        let part = self.part.map(|since| since + io.limits.counter_part);
        let next = [call, silence, idle, opening, part]
            .into_iter()
            .flatten()
            .min();
        io.deadlines
            .set(&mut self.due, next, Party::Counter(n as u16, 0));
    }
}

impl Counter {
    pub(super) fn new(address: SocketAddr, timeout: Duration, limits: &Limits) -> Counter {
        let wires = (0..limits.counters.max(1))
            .map(|_| Wire::default())
            .collect();
        Counter {
            address,
            epoch: 0,
            host: address.to_string(),
            timeout,
            wires,
        }
    }

    /// Makes a call. It ends in an event, at once if the counter cannot be reached just now.
    pub(super) fn call(
        &mut self,
        name: CounterKey,
        add: f64,
        keep: Duration,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        // Spreads names evenly, whatever they look like.
        let mixed = name.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let n = mixed as usize % self.wires.len();
        let wire = &mut self.wires[n];
        let call = Call {
            name,
            add,
            keep,
            made: io.now,
            end: None,
        };
        // Guards against a counter that refuses: no call waits for one that was just not there.
        let closed = wire.stream.is_none() && io.now < wire.is_retry;
        if closed || wire.calls.len() >= io.limits.counter_calls || !add.is_finite() {
            return Wire::tell(&call, CounterResult::NotAdded, io.now, engine);
        }
        wire.calls.push_back(call);
        self.open(n, io, engine);
    }

    /// Opens a connection for the calls that wait, and puts on it what may be put.
    fn open(&mut self, n: usize, io: &mut Io, engine: &mut IngressEngine) {
        let wire = &mut self.wires[n];
        if wire.stream.is_none() && !wire.calls.is_empty() {
            (wire.heard, wire.up, wire.answered, wire.epoch) = (io.now, false, false, self.epoch);
            wire.serial = wire.serial.wrapping_add(1);
            let opened = io.connect(&self.address).and_then(|s| {
                io.poller
                    .add(s.fd(), Party::Counter(n as u16, wire.serial).token())?;
                Ok(s)
            });
            match opened {
                Ok(stream) => wire.stream = Some(stream),
                Err(_) => wire.fail(io.now, io.limits.counter_again, engine),
            }
        }
        wire.put_calls(&self.host, self.epoch, io.now);
        wire.arm(n, self.timeout, io);
    }

    /// The counter is at another address now. Calls that were put on an old connection are still
    /// awaited there; those that follow wait for them, as answers for a name must come in the order
    /// of its calls.
    pub(super) fn move_to(&mut self, address: SocketAddr, io: &mut Io, engine: &mut IngressEngine) {
        if address == self.address {
            return;
        }
        (self.address, self.host) = (address, address.to_string());
        self.epoch += 1;
        for n in 0..self.wires.len() {
            self.wires[n].is_retry = Duration::ZERO;
            self.move_on(n, io, engine);
        }
    }

    /// Leaves an old address once nothing is awaited there.
    fn move_on(&mut self, n: usize, io: &mut Io, engine: &mut IngressEngine) {
        let wire = &mut self.wires[n];
        if wire.stream.is_none() || wire.epoch == self.epoch || wire.untold() {
            return;
        }
        wire.stream = None;
        wire.calls.drain(..wire.late);
        (wire.late, wire.put, wire.up, wire.dirty, wire.part) = (0, 0, false, false, None);
        self.open(n, io, engine);
    }

    /// Writes all calls of this round.
    pub(super) fn flush(&mut self, io: &mut Io, engine: &mut IngressEngine) {
        for n in 0..self.wires.len() {
            let wire = &mut self.wires[n];
            if !std::mem::take(&mut wire.dirty) {
                continue;
            }
            if wire.stream.as_mut().is_some_and(|s| s.flush().is_err()) {
                wire.fail(io.now, io.limits.counter_again, engine);
                wire.arm(n, self.timeout, io);
            }
        }
    }

    /// A connection is ready.
    pub(super) fn on_ready(
        &mut self,
        (n, serial): (u16, u32),
        ready: Ready,
        io: &mut Io,
        engine: &mut IngressEngine,
    ) {
        let n = usize::from(n);
        let Some(wire) = self.wires.get_mut(n).filter(|w| w.serial == serial) else {
            return;
        };
        let Some(stream) = &mut wire.stream else {
            return;
        };
        let (mut good, mut spoilt) = (true, false);
        if !wire.up && ready.writable {
            good = stream.connected().is_ok();
            if good {
                wire.up = true;
                wire.put_calls(&self.host, self.epoch, io.now);
                wire.heard = io.now;
            }
        }
        let Some(stream) = wire.stream.as_mut().filter(|_| wire.up && good) else {
            if !good {
                wire.fail(io.now, io.limits.counter_again, engine);
                wire.arm(n, self.timeout, io);
            }
            return;
        };
        wire.dirty = false;
        good = stream.flush().is_ok();
        if good && ready.readable {
            let filled = stream.fill(io.limits.counter_bytes, io.limits.chunk_bytes, ready.ended);
            spoilt = !self.take_answers(n, filled == Fill::Ended, io, engine);
            good = !spoilt && matches!(filled, Fill::Drained | Fill::Limited);
        }
        let wire = &mut self.wires[n];
        if !good {
            // An idle connection that the counter closed, one that it spoilt, or one that broke
            // after it had served says nothing about the counter: guards against calls that fail
            // for want of a connection.
            let lost = spoilt || wire.answered || wire.calls.is_empty();
            let again = if lost {
                Duration::ZERO
            } else {
                io.limits.counter_again
            };
            wire.fail(io.now, again, engine);
        }
        wire.arm(n, self.timeout, io);
        self.move_on(n, io, engine);
    }

    /// Matches answers to calls, oldest first; `ended`: no more follows. False if the connection is
    /// of no more use.
    fn take_answers(&mut self, n: usize, ended: bool, io: &Io, engine: &mut IngressEngine) -> bool {
        let wire = &mut self.wires[n];
        let Some(stream) = &mut wire.stream else {
            return false;
        };
        loop {
            let ((head, body), used) = match http::answer(stream.input(), ended, &io.limits) {
                Ok(Some(found)) => found,
                Ok(None) => {
                    wire.part = wire
                        .part
                        .or(Some(io.now))
                        .filter(|_| !stream.input().is_empty());
                    return stream.input().len() < io.limits.value_bytes + io.limits.line_bytes;
                }
                Err(_) => return false,
            };
            let total = std::str::from_utf8(body)
                .ok()
                .and_then(|t| t.trim().parse::<f64>().ok());
            let result = match (head.status, total.filter(|t| t.is_finite())) {
                (100..=199, _) => None,
                (200, Some(total)) => Some(CounterResult::Total(total)),
                (400 | 404 | 503, _) => Some(CounterResult::NotAdded),
                _ => Some(CounterResult::Unknown),
            };
            stream.take(used);
            (wire.heard, wire.part, wire.answered) = (io.now, None, true);
            let Some(result) = result else { continue };
            let Some(call) = wire.calls.pop_front() else {
                return false;
            };
            // A late answer is consumed: the module was told that this call's end is unknown.
            if wire.late > 0 {
                wire.late -= 1;
            } else {
                Wire::tell(&call, result, io.now, engine);
            }
            // An answer that is none may be out of step with what follows: guards against reading
            // the next call's total out of its rest.
            if head.closes || result == CounterResult::Unknown {
                return false;
            }
        }
    }

    /// A deadline of a connection has come.
    pub(super) fn on_due(&mut self, n: u16, io: &mut Io, engine: &mut IngressEngine) {
        let n = usize::from(n);
        let Some(wire) = self.wires.get_mut(n) else {
            return;
        };
        wire.due = None;
        while let Some(call) = wire
            .calls
            .get(wire.late)
            .filter(|c| c.made + self.timeout <= io.now)
        {
            if call.end.is_some() {
                Wire::tell(call, CounterResult::Unknown, io.now, engine);
                wire.late += 1;
            } else {
                // Never put on a connection: nothing was added, and nothing will be.
                Wire::tell(call, CounterResult::NotAdded, io.now, engine);
                wire.calls.remove(wire.late);
            }
        }
        // Guards against a counter, or the way to it, that vanished: an open connection would stay
        // silent for ever, and one that is never up too.
        let quiet = io.now.saturating_sub(wire.heard);
        let silent = wire.late > 0 && quiet >= io.limits.counter_silence;
        let idle = wire.up && wire.calls.is_empty() && quiet >= io.limits.counter_idle;
        let never = wire.stream.is_some() && !wire.up && quiet >= io.limits.connect;
        // Guards against an answer that is shorter than it says: all calls behind it would wait in
        // vain.
        let torn = wire
            .part
            .is_some_and(|since| since + io.limits.counter_part <= io.now);
        if silent || idle || never || torn {
            wire.fail(io.now, Duration::ZERO, engine);
        }
        wire.arm(n, self.timeout, io);
        self.move_on(n, io, engine);
    }
}

impl super::Core {
    /// A connection to the counter is ready.
    pub fn on_counter(&mut self, wire: (u16, u32), ready: Ready, io: &mut Io) {
        if let Some(counter) = &mut self.counter {
            counter.on_ready(wire, ready, io, &mut self.engine);
        }
    }

    /// A counter connection's deadline has come.
    pub fn on_counter_due(&mut self, n: u16, io: &mut Io) {
        if let Some(counter) = &mut self.counter {
            counter.on_due(n, io, &mut self.engine);
        }
    }
}
