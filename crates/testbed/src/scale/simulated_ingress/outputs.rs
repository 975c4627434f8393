//! Executes the outputs of the engine in virtual time and passes the results back to it.

use super::environment::{Arrival, AttemptEnd, SimulatedEnvironment};
use super::ingress::SimulatedIngress;
use super::pending::Pending;
use roseyard_decision::{CounterKey, CounterResult, EndpointId, Outcome};
use roseyard_ingress::protocol::http;
use roseyard_request_engine::{AttemptResult, Key, Output, Response};
use std::time::Duration;

const COUNTER_ADDRESS: &str = "127.0.0.1:6400";
const COUNTER_LATENCY: Duration = Duration::from_millis(1);

impl SimulatedIngress {
    pub(super) fn finish(&mut self, pending: Pending, environment: &mut SimulatedEnvironment) {
        match pending {
            Pending::CounterReply {
                key,
                total,
                called_at,
            } => {
                let latency = self.now.saturating_sub(called_at);
                self.engine
                    .on_counter_reply(key, CounterResult::Total(total), latency);
            }
            Pending::AttemptEnd {
                request,
                attempt,
                outcome,
            } => {
                let result = AttemptResult {
                    value: (outcome == Outcome::Ok).then_some(()),
                    ..AttemptResult::from_outcome(outcome)
                };
                self.engine
                    .on_attempt_ended(request, attempt, result, self.now);
            }
            Pending::HealthCheckEnd { endpoint, outcome } => {
                self.engine.on_health_check_ended(endpoint, outcome, None);
            }
        }
        self.process_outputs(environment);
    }

    pub(super) fn process_outputs(&mut self, environment: &mut SimulatedEnvironment) {
        while let Some(output) = self.engine.poll(self.now) {
            match output {
                Output::Forward {
                    request,
                    attempt,
                    endpoint,
                    ..
                } => self.start_attempt(request, attempt, endpoint, environment),
                Output::IncrementCounter {
                    key,
                    amount,
                    time_to_live,
                } => self.call_counter(key, amount, time_to_live, environment),
                Output::CheckHealth { endpoint } => self.check_health(endpoint, environment),
                Output::Cancel { request, attempt } => {
                    let cancelled = AttemptResult::from_outcome(Outcome::Cancelled);
                    self.engine
                        .on_attempt_ended(request, attempt, cancelled, self.now);
                }
                Output::Respond { response, .. } => match response {
                    Response::Served(()) => self.traffic.served += 1,
                    Response::Rejected { .. } => self.traffic.rejected += 1,
                    Response::Failed => self.traffic.failed += 1,
                },
                Output::FetchEndpointList | Output::Log(_) => {}
            }
        }
    }

    fn start_attempt(
        &mut self,
        request: Key,
        attempt: u16,
        endpoint: EndpointId,
        environment: &mut SimulatedEnvironment,
    ) {
        let AttemptEnd { after, outcome } = self.contact_server(endpoint, environment);
        self.traffic.attempts += 1;
        self.traffic.failed_attempts += u64::from(outcome == Outcome::ConnectFailed);
        let end = Pending::AttemptEnd {
            request,
            attempt,
            outcome,
        };
        self.schedule(after, end);
    }

    fn check_health(&mut self, endpoint: EndpointId, environment: &mut SimulatedEnvironment) {
        let AttemptEnd { after, outcome } = self.contact_server(endpoint, environment);
        self.traffic.health_checks += 1;
        self.schedule(after, Pending::HealthCheckEnd { endpoint, outcome });
    }

    fn contact_server(
        &mut self,
        endpoint: EndpointId,
        environment: &mut SimulatedEnvironment,
    ) -> AttemptEnd {
        let Some(address) = self.engine.address(endpoint) else {
            return SimulatedEnvironment::not_started();
        };
        environment.attempt(Arrival {
            at: self.now,
            ingress: self.number,
            server: self.endpoints.server_at(address),
        })
    }

    fn call_counter(
        &mut self,
        key: CounterKey,
        amount: f64,
        time_to_live: Duration,
        environment: &mut SimulatedEnvironment,
    ) {
        self.counter_call.clear();
        let time_to_live_ms = time_to_live.as_millis().max(1) as u64;
        http::put_increment_request(
            &mut self.counter_call,
            COUNTER_ADDRESS,
            key.0,
            amount,
            time_to_live_ms,
        );
        let total = environment.increment(key, amount);
        let reply = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {0}\r\n\r\n{total}",
            total.to_string().len()
        );
        self.traffic.counter_calls += 1;
        self.traffic.counter_bytes_out += self.counter_call.len() as u64;
        self.traffic.counter_bytes_in += reply.len() as u64;
        let pending = Pending::CounterReply {
            key,
            total,
            called_at: self.now,
        };
        self.schedule(COUNTER_LATENCY, pending);
    }

    fn schedule(&mut self, after: Duration, pending: Pending) {
        self.pending_serial += 1;
        self.pending
            .insert((self.now + after, self.pending_serial), pending);
    }
}
