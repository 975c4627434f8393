//! Ends attempts and requests of a simulation.

use super::counter::CallOutcome;
use super::fixtures::ms;
use super::simulation::{Answer, AttemptId, Simulation};
use roseyard_decision::*;

impl Simulation {
    /// Ends the n-th attempt in flight. `index` wraps around; if no attempt is in flight, nothing
    /// happens.
    pub(crate) fn end_nth_attempt(&mut self, index: usize, outcome: Outcome) {
        self.end_nth_attempt_with_units(index, outcome, None);
    }

    /// Like [`Simulation::end_nth_attempt`]. If the outcome is `Ok`, the response reports `units`
    /// as the actual units.
    pub(crate) fn end_nth_attempt_with_units(
        &mut self,
        index: usize,
        outcome: Outcome,
        units: Option<f64>,
    ) {
        let in_flight = self.attempts_in_flight();
        if in_flight.is_empty() {
            return;
        }
        let id = in_flight[index % in_flight.len()];
        let units = units.filter(|_| outcome == Outcome::Ok);
        self.end_attempt_with_units(id.ingress, id.request, id.number, outcome, units);
    }

    /// Returns the attempts that have not ended, ordered by ingress and request.
    pub(crate) fn attempts_in_flight(&self) -> Vec<AttemptId> {
        let mut in_flight = Vec::new();
        for (&(ingress, request), record) in &self.requests {
            for (number, attempt) in record.attempts.iter().enumerate() {
                if attempt.outcome.is_none() {
                    in_flight.push(AttemptId {
                        ingress,
                        request,
                        number,
                    });
                }
            }
        }
        in_flight
    }

    fn has_attempt_in_flight(&self) -> bool {
        let mut attempts = self.requests.values().flat_map(|record| &record.attempts);
        attempts.any(|attempt| attempt.outcome.is_none())
    }

    pub(crate) fn end_attempt(
        &mut self,
        ingress: usize,
        request: u64,
        attempt: usize,
        outcome: Outcome,
    ) {
        self.end_attempt_with_units(ingress, request, attempt, outcome, None);
    }

    /// Ends an attempt. `units` are the actual units that the response reports, if any.
    pub(crate) fn end_attempt_with_units(
        &mut self,
        ingress: usize,
        request: u64,
        attempt: usize,
        outcome: Outcome,
        units: Option<f64>,
    ) {
        let record = self.requests.get_mut(&(ingress, request)).unwrap();
        if outcome == Outcome::Ok && record.answer.is_none() {
            record.answer = Some(Answer::Served);
        }
        let is_request_finished = record.answer.is_some();
        let attempt_record = &mut record.attempts[attempt];
        attempt_record.outcome = Some(outcome);
        let end = AttemptEnd {
            request: RequestId(request),
            attempt: attempt as u16,
            endpoint: EndpointId(attempt_record.endpoint),
            outcome,
            elapsed: self.now - attempt_record.forwarded_at,
            is_request_finished,
            true_units: units,
            load: None,
        };
        self.handle(ingress, Event::AttemptEnded(end));
    }

    /// Disconnects the client of the n-th request without a final answer. `index` wraps around; if
    /// there is no such request, nothing happens.
    pub(crate) fn disconnect_client(&mut self, index: usize) {
        let open: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, record)| record.answer.is_none())
            .map(|(key, _)| *key)
            .collect();
        if open.is_empty() {
            return;
        }
        let (ingress, request) = open[index % open.len()];
        let record = self.requests.get_mut(&(ingress, request)).unwrap();
        record.answer = Some(Answer::Disconnected);
        self.handle(ingress, Event::ClientDisconnected(RequestId(request)));
    }
}

/// Sends four requests every 20 ms to ingress 0. Endpoints in `unresponsive` never respond; the
/// others respond after 20 ms.
pub(crate) fn run_steady_requests(
    sim: &mut Simulation,
    class: usize,
    rounds: u64,
    unresponsive: &[u32],
) {
    for round in 0..rounds {
        for index in 0..4 {
            sim.request(0, class, 0, 10_000 + 4 * round + index);
        }
        sim.end_all_calls(CallOutcome::Replied);
        sim.advance(ms(20));
        for id in sim.attempts_in_flight() {
            let record = &sim.requests[&(id.ingress, id.request)];
            let endpoint = record.attempts[id.number].endpoint;
            if !unresponsive.contains(&endpoint) {
                sim.end_attempt(id.ingress, id.request, id.number, Outcome::Ok);
            }
        }
    }
}

/// Ends all counter calls, advances the clock and then serves all attempts in flight.
pub(crate) fn end_all_and_advance(sim: &mut Simulation, milliseconds: u64) {
    sim.end_all_calls(CallOutcome::Replied);
    sim.advance(ms(milliseconds));
    while sim.has_attempt_in_flight() {
        sim.end_nth_attempt(0, Outcome::Ok);
    }
}
