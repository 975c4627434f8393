//! Deadlines of a connection to the counter.

use super::connection::CounterConnection;
use crate::routing::engine::IngressEngine;
use crate::routing::event_source::EventSource;
use crate::routing::io::Io;
use roseyard_decision::CounterResult;
use std::time::Duration;

impl CounterConnection {
    /// Completes the calls whose time is over.
    pub(super) fn time_out_calls(&mut self, now: Duration, engine: &mut IngressEngine) {
        while let Some(call) = self.calls.get(self.timed_out) {
            if call.made_at + self.call_timeout > now {
                return;
            }
            if call.end.is_some() {
                call.complete(CounterResult::Unknown, now, engine);
                self.timed_out += 1;
            } else {
                // Never put on the stream: nothing was added, and nothing will be.
                call.complete(CounterResult::NotAdded, now, engine);
                self.calls.remove(self.timed_out);
            }
        }
    }

    /// Is the stream to be closed for what has not come?
    pub(super) fn is_stuck(&self, now: Duration) -> bool {
        let quiet_for = now.saturating_sub(self.last_active_at);
        // The counter, or the route to it, may vanish without closing the stream.
        let is_silent = self.timed_out > 0 && quiet_for >= self.limits.silence_timeout;
        let is_idle =
            self.is_established && self.calls.is_empty() && quiet_for >= self.limits.idle_timeout;
        let is_never_established = self.stream.is_some()
            && !self.is_established
            && quiet_for >= self.limits.connect_timeout;
        // A reply that is shorter than it says would hold up all calls behind it.
        let is_reply_cut = self
            .reply_part_since
            .is_some_and(|since| since + self.limits.reply_part_timeout <= now);
        is_silent || is_idle || is_never_established || is_reply_cut
    }

    /// Sets the deadline that comes next.
    pub(super) fn arm(&mut self, io: &mut Io) {
        let oldest = self.calls.get(self.timed_out);
        let call = oldest.map(|call| call.made_at + self.call_timeout);
        let silence =
            (self.timed_out > 0).then_some(self.last_active_at + self.limits.silence_timeout);
        let idle = (self.is_established && self.calls.is_empty())
            .then_some(self.last_active_at + self.limits.idle_timeout);
        let connecting = (self.stream.is_some() && !self.is_established)
            .then_some(self.last_active_at + self.limits.connect_timeout);
        let reply_part = self
            .reply_part_since
            .map(|since| since + self.limits.reply_part_timeout);
        let next = [call, silence, idle, connecting, reply_part]
            .into_iter()
            .flatten()
            .min();
        let source = EventSource::Counter(self.index, 0);
        io.deadlines.set(&mut self.due, next, source);
    }
}
