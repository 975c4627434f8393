//! The counter service of a simulation, which may lose or reject calls.

use super::simulation::Simulation;
use roseyard_decision::*;
use std::time::Duration;

/// A call to the counter that has not ended.
pub(crate) struct PendingCall {
    pub ingress: usize,
    pub key: CounterKey,
    pub amount: f64,
    pub time_to_live: Duration,
    pub called_at: Duration,
}

/// A number on the counter.
pub(crate) struct CounterEntry {
    pub total: f64,
    pub expires_at: Duration,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallOutcome {
    Replied,
    /// Lost on the way to the counter.
    LostBeforeAdding,
    /// Lost on the way back.
    LostAfterAdding,
    NotAdded,
}

impl Simulation {
    /// Ends the n-th counter call that is out, in the order of the calls to its key.
    pub(crate) fn end_call(&mut self, index: usize, outcome: CallOutcome) {
        if self.pending_calls.is_empty() {
            return;
        }
        let chosen = &self.pending_calls[index % self.pending_calls.len()];
        let (ingress, key) = (chosen.ingress, chosen.key);
        let first = self
            .pending_calls
            .iter()
            .position(|call| call.ingress == ingress && call.key == key)
            .unwrap();
        let call = self.pending_calls.remove(first);
        let result = self.count(&call, outcome);
        let reply = Event::CounterReply {
            key,
            result,
            elapsed: self.now - call.called_at,
        };
        self.handle(ingress, reply);
    }

    /// Ends all counter calls that are out.
    pub(crate) fn end_all_calls(&mut self, outcome: CallOutcome) {
        while !self.pending_calls.is_empty() {
            self.end_call(0, outcome);
        }
    }

    fn count(&mut self, call: &PendingCall, outcome: CallOutcome) -> CounterResult {
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
