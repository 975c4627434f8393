//! The simulated counter service. It can lose or reject calls.

use super::simulation::Simulation;
use roseyard_decision::*;
use std::time::Duration;

/// A counter call whose reply is pending.
pub(crate) struct PendingCall {
    pub ingress: usize,
    pub key: CounterKey,
    pub amount: f64,
    pub time_to_live: Duration,
    pub called_at: Duration,
}

/// The value of one key on the counter.
pub(crate) struct CounterEntry {
    pub total: f64,
    pub expires_at: Duration,
}

/// How a counter call ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallOutcome {
    /// The amount is added and the total returned.
    Replied,
    /// The call is lost on its way to the counter: nothing is added and there is no reply.
    LostBeforeAdding,
    /// The amount is added, but the reply is lost.
    LostAfterAdding,
    /// The counter rejects the call: nothing is added, and the ingress is told so.
    NotAdded,
}

impl Simulation {
    /// Ends a pending counter call: of the calls by the same ingress to the same key as the n-th
    /// pending one, the oldest. Replies for one key thus arrive in the order of the calls. `index`
    /// wraps around; without a pending call, nothing happens.
    pub(crate) fn end_nth_call(&mut self, index: usize, outcome: CallOutcome) {
        if self.pending_calls.is_empty() {
            return;
        }
        let nth_call = &self.pending_calls[index % self.pending_calls.len()];
        let (ingress, key) = (nth_call.ingress, nth_call.key);
        let oldest = self
            .pending_calls
            .iter()
            .position(|call| call.ingress == ingress && call.key == key)
            .unwrap();
        let call = self.pending_calls.remove(oldest);
        let result = self.apply_call(&call, outcome);
        let reply = Event::CounterReply {
            key,
            result,
            elapsed: self.now - call.called_at,
        };
        self.handle(ingress, reply);
    }

    /// Ends all pending counter calls.
    pub(crate) fn end_all_calls(&mut self, outcome: CallOutcome) {
        while !self.pending_calls.is_empty() {
            self.end_nth_call(0, outcome);
        }
    }

    /// Applies a call to the counter and returns the result that the ingress sees.
    fn apply_call(&mut self, call: &PendingCall, outcome: CallOutcome) -> CounterResult {
        let new_entry = || CounterEntry {
            total: 0.0,
            expires_at: self.now + call.time_to_live,
        };
        let entry = self
            .counter_totals
            .entry(call.key.0)
            .or_insert_with(new_entry);
        if self.now >= entry.expires_at {
            *entry = new_entry();
        }
        if matches!(outcome, CallOutcome::Replied | CallOutcome::LostAfterAdding) {
            entry.total += call.amount;
        }
        match outcome {
            CallOutcome::Replied => CounterResult::Total(entry.total),
            CallOutcome::LostBeforeAdding | CallOutcome::LostAfterAdding => CounterResult::Unknown,
            CallOutcome::NotAdded => CounterResult::NotAdded,
        }
    }
}
