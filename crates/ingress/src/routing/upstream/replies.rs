//! Reads and parses replies from endpoints, and completes the requests that they answer.

use super::attempts::report_result;
use super::connection::{ConnectionState, RequestKind, UpstreamRequest};
use super::decoded_reply::DecodedReply;
use super::limits::UpstreamLimits;
use super::Upstream;
use crate::protocol::resp::{self, Value};
use crate::routing::engine::IngressEngine;
use crate::routing::event_source::EventSource;
use crate::routing::io::{Io, READ_BUFFER_BYTES};
use crate::transport::{Key, ReadOutcome, Ready};
use roseyard_decision::{EndpointId, Outcome};
use roseyard_request_engine::AttemptResult;

/// Longer error texts of endpoints are truncated in the log.
const MAX_LOGGED_ERROR_BYTES: usize = 80;

impl Upstream {
    /// Reads from an established connection.
    pub(super) fn read(&mut self, key: Key, ready: Ready, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get_mut(key) else {
            return;
        };
        let max_bytes = self.limits.protocol.max_message_bytes();
        let stream = &mut connection.stream;
        let filled = stream.read_available(max_bytes, READ_BUFFER_BYTES, ready.peer_closed);
        if !stream.input().is_empty() {
            let endpoint = connection.endpoint;
            self.pool.record_received(endpoint, io.now);
            self.on_input(key, engine, io);
        }
        if self.pool.connections.get(key).is_some() && filled != ReadOutcome::Drained {
            self.on_closed(key, engine, io);
        }
    }

    /// Parses a reply from the bytes that have been read.
    fn on_input(&mut self, key: Key, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get_mut(key) else {
            return;
        };
        let ConnectionState::Busy(request) = connection.state else {
            // There is no request to reply to, so later replies could not be matched to requests.
            return self.pool.close(key, io);
        };
        if connection.stream.unwritten() > 0 {
            // This cannot be the reply to the request: an endpoint replies only after it has
            // received the last byte of a request.
            return self.fail(key, Outcome::ConnectFailed, engine, io);
        }
        let parsed = resp::value(connection.stream.input(), &self.limits.protocol);
        match parsed {
            Ok(Some((value, length))) => {
                let reply = decode(&value, &request, &self.limits);
                self.on_reply(key, request, reply, length, engine, io);
            }
            Ok(None) => {
                // A reply may be shorter than its length prefix says, or never be completed.
                let due = (io.now + self.limits.reply_continuation_timeout).min(request.deadline);
                io.deadlines
                    .set(&mut connection.due, Some(due), EventSource::Upstream(key));
            }
            Err(malformed) => {
                let endpoint = request.endpoint.0;
                let error = malformed.0;
                tracing::warn!(
                    event = "endpoint.malformed_reply",
                    endpoint,
                    error,
                    "malformed reply from endpoint"
                );
                self.fail(key, Outcome::Error, engine, io);
            }
        }
    }

    /// Called when a complete reply of this length has arrived. Reuses or closes the connection,
    /// and reports the result of the request.
    fn on_reply(
        &mut self,
        key: Key,
        request: UpstreamRequest,
        reply: DecodedReply,
        length: usize,
        engine: &mut IngressEngine,
        io: &mut Io,
    ) {
        let Some(connection) = self.pool.connections.get_mut(key) else {
            return;
        };
        connection.stream.consume(length);
        let is_reusable = !reply.is_unexpected && connection.stream.input().is_empty();
        let idle_time = connection.idle_time;
        self.pool.idle_risk.record_outcome(idle_time, false, io.now);
        // If more bytes follow a rejection, it may belong to another request, and this one may have
        // been executed. An error prevents the request from being executed twice.
        let outcome = if reply.outcome == Outcome::Overloaded && !is_reusable {
            Outcome::Error
        } else {
            reply.outcome
        };
        if is_reusable {
            self.release(key, engine, io);
        } else {
            self.pool.close(key, io);
        }
        let result = AttemptResult {
            outcome,
            value: reply.value,
            true_units: reply.true_units,
            load: reply.load,
        };
        report_result(request, result, engine, io.now);
    }
}

/// Decodes a reply, and logs it if endpoints do not usually send it.
fn decode(value: &Value, request: &UpstreamRequest, limits: &UpstreamLimits) -> DecodedReply {
    let reply = match request.kind {
        RequestKind::Attempt(_) => DecodedReply::from_attempt_reply(value, limits),
        RequestKind::HealthCheck => DecodedReply::from_health_check_reply(value),
    };
    match value {
        Value::Error(text) if request.kind != RequestKind::HealthCheck => {
            log_unknown_error(text, request.endpoint);
        }
        Value::Error(_) => {}
        _ if reply.is_unexpected => {
            let endpoint = request.endpoint.0;
            tracing::warn!(
                event = "endpoint.unexpected_reply",
                endpoint,
                "unexpected reply from endpoint"
            );
        }
        _ => {}
    }
    reply
}

fn log_unknown_error(text: &[u8], endpoint: EndpointId) {
    if text.starts_with(b"BUSY") || text.starts_with(b"ERR failed") {
        return;
    }
    let endpoint = endpoint.0;
    let error = text[..text.len().min(MAX_LOGGED_ERROR_BYTES)].escape_ascii();
    tracing::warn!(event = "endpoint.error_reply", endpoint, error = %error, "unexpected error reply from endpoint");
}
