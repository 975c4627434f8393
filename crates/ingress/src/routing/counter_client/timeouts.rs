//! Time-outs of calls and connections to the counter.

use super::connection::CounterConnection;
use crate::routing::engine::IngressEngine;
use crate::routing::event_source::EventSource;
use crate::routing::io::Io;
use roseyard_decision::CounterResult;
use std::time::Duration;

impl CounterConnection {
    /// Completes the calls that have timed out: with [`CounterResult::Unknown`] if the call is
    /// queued on the stream, else with [`CounterResult::NotAdded`].
    pub(super) fn time_out_calls(&mut self, now: Duration, engine: &mut IngressEngine) {
        while let Some(call) = self.calls.get(self.timed_out_calls) {
            if call.started_at + self.call_timeout > now {
                return;
            }
            if call.end_offset.is_some() {
                call.complete(CounterResult::Unknown, now, engine);
                self.timed_out_calls += 1;
            } else {
                // The call was not queued on the stream and is dropped, so nothing is added.
                call.complete(CounterResult::NotAdded, now, engine);
                self.calls.remove(self.timed_out_calls);
            }
        }
    }

    /// Whether the stream must be closed because a time-out of the connection has expired.
    pub(super) fn must_close(&self, now: Duration) -> bool {
        let inactive_time = now.saturating_sub(self.last_active_at);
        // The counter or the network may fail without closing the stream.
        let is_unresponsive =
            self.timed_out_calls > 0 && inactive_time >= self.limits.silence_timeout;
        let is_idle = self.is_established
            && self.calls.is_empty()
            && inactive_time >= self.limits.idle_timeout;
        let has_connect_timed_out = self.stream.is_some()
            && !self.is_established
            && inactive_time >= self.limits.connect_timeout;
        // A reply that is shorter than its stated length would block all later calls.
        let has_reply_timed_out = self
            .reply_incomplete_since
            .is_some_and(|since| since + self.limits.reply_completion_timeout <= now);
        is_unresponsive || is_idle || has_connect_timed_out || has_reply_timed_out
    }

    /// Sets the connection's deadline to the earliest of its time-outs.
    pub(super) fn update_deadline(&mut self, io: &mut Io) {
        let oldest = self.calls.get(self.timed_out_calls);
        let call_deadline = oldest.map(|call| call.started_at + self.call_timeout);
        let silence_deadline =
            (self.timed_out_calls > 0).then_some(self.last_active_at + self.limits.silence_timeout);
        let idle_deadline = (self.is_established && self.calls.is_empty())
            .then_some(self.last_active_at + self.limits.idle_timeout);
        let connect_deadline = (self.stream.is_some() && !self.is_established)
            .then_some(self.last_active_at + self.limits.connect_timeout);
        let reply_deadline = self
            .reply_incomplete_since
            .map(|since| since + self.limits.reply_completion_timeout);
        let next_deadline = [
            call_deadline,
            silence_deadline,
            idle_deadline,
            connect_deadline,
            reply_deadline,
        ]
        .into_iter()
        .flatten()
        .min();
        let source = EventSource::Counter(self.index, 0);
        io.deadlines
            .set(&mut self.registered_deadline, next_deadline, source);
    }
}
