//! What endpoints send: it is read, parsed into replies, and each ends the request it answers.

use super::attempts::end_with;
use super::connection::{ConnectionState, RequestKind, UpstreamRequest};
use super::decoded_reply::DecodedReply;
use super::limits::UpstreamLimits;
use super::Upstream;
use crate::protocol::resp::{self, Value};
use crate::routing::engine::IngressEngine;
use crate::routing::event_source::EventSource;
use crate::routing::io::{Io, READ_BUFFER_BYTES};
use crate::transport::{Fill, Key, Ready};
use roseyard_decision::{EndpointId, Outcome};
use roseyard_request_engine::AttemptResult;

/// Longest part of an endpoint's error text that is logged, in bytes.
const MAX_LOGGED_ERROR_BYTES: usize = 80;

impl Upstream {
    /// Reads what has come on an established connection.
    pub(super) fn read(&mut self, key: Key, ready: Ready, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get_mut(key) else {
            return;
        };
        let max_bytes = self.limits.protocol.max_message_bytes();
        let stream = &mut connection.stream;
        let filled = stream.fill(max_bytes, READ_BUFFER_BYTES, ready.ended);
        if !stream.input().is_empty() {
            let endpoint = connection.endpoint;
            self.pool.record_received(endpoint, io.now);
            self.on_input(key, engine, io);
        }
        if self.pool.connections.get(key).is_some() && filled != Fill::Drained {
            self.on_closed(key, engine, io);
        }
    }

    /// Takes a reply from what was read.
    fn on_input(&mut self, key: Key, engine: &mut IngressEngine, io: &mut Io) {
        let Some(connection) = self.pool.connections.get_mut(key) else {
            return;
        };
        let ConnectionState::Busy(request) = connection.state else {
            // A reply without a request: what follows cannot be matched.
            return self.pool.close(key, io);
        };
        if connection.stream.unwritten() > 0 {
            // No reply to this request: an endpoint executes one when its last byte has come.
            return self.fail(key, Outcome::ConnectFailed, engine, io);
        }
        let parsed = resp::value(connection.stream.input(), &self.limits.protocol);
        match parsed {
            Ok(Some((value, length))) => {
                let reply = decode(&value, &request, &self.limits);
                self.on_reply(key, request, reply, length, engine, io);
            }
            Ok(None) => {
                // A reply may be shorter than it says, or have no end.
                let due = (io.now + self.limits.reply_part_timeout).min(request.deadline);
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

    /// A complete reply of this length has come.
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
        connection.stream.take(length);
        let is_reusable = !reply.is_unexpected && connection.stream.input().is_empty();
        let idle_time = connection.idle_time;
        self.pool.idle_risk.record_outcome(idle_time, false, io.now);
        // Prevents a request from being executed twice when a rejection with more bytes behind it
        // is another request's.
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
        end_with(request, result, engine, io.now);
    }
}

/// Decodes a reply, and logs one that endpoints do not send.
fn decode(value: &Value, request: &UpstreamRequest, limits: &UpstreamLimits) -> DecodedReply {
    let reply = match request.kind {
        RequestKind::Attempt(_) => DecodedReply::of_attempt(value, limits),
        RequestKind::HealthCheck => DecodedReply::of_health_check(value),
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
    tracing::warn!(event = "endpoint.error_reply", endpoint, error = %error, "unknown error reply from endpoint");
}
