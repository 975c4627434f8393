//! Decodes endpoints' replies to attempts and health checks.

use super::limits::UpstreamLimits;
use crate::protocol::report::{parse_load_report, parse_true_units};
use crate::protocol::resp::Value;
use roseyard_decision::{LoadReport, Outcome};

/// A decoded reply.
pub(super) struct DecodedReply {
    pub(super) outcome: Outcome,
    /// The value, if the request was served.
    pub(super) value: Option<Vec<u8>>,
    /// The true units of the request, if the units it was charged are an estimate and the reply has
    /// valid usage figures.
    pub(super) true_units: Option<f64>,
    pub(super) load: Option<LoadReport>,
    /// Whether the reply is not one that endpoints send. Later replies on the connection can then
    /// no longer be matched to requests.
    pub(super) is_unexpected: bool,
}

impl DecodedReply {
    fn from_outcome(outcome: Outcome) -> DecodedReply {
        DecodedReply {
            outcome,
            value: None,
            true_units: None,
            load: None,
            is_unexpected: false,
        }
    }

    /// A reply that endpoints do not send. It cannot be forwarded, and the request may have been
    /// executed.
    fn unexpected() -> DecodedReply {
        DecodedReply {
            is_unexpected: true,
            ..DecodedReply::from_outcome(Outcome::Error)
        }
    }

    /// Decodes the reply to an attempt.
    ///
    /// The reply to a served request is an array of exactly the value, the usage figures and the
    /// load report. Anything else is unexpected, so that corrupt data that happens to parse as a
    /// bulk string is not forwarded as a value. Invalid usage figures and load reports are ignored.
    pub(super) fn from_attempt_reply(value: &Value, limits: &UpstreamLimits) -> DecodedReply {
        let items = match value {
            Value::Array(Some(items)) => items,
            Value::Error(text) => return DecodedReply::from_error_reply(text),
            _ => return DecodedReply::unexpected(),
        };
        let [Value::Bulk(Some(bytes)), usage, load] = items.as_slice() else {
            return DecodedReply::unexpected();
        };
        let load = match load {
            Value::Bulk(Some(load)) => parse_load_report(load),
            _ => None,
        };
        let true_units = match usage {
            Value::Bulk(Some(usage)) if limits.units_are_estimated => {
                parse_true_units(usage, limits.max_units)
            }
            _ => None,
        };
        DecodedReply {
            value: Some(bytes.to_vec()),
            true_units,
            load,
            ..DecodedReply::from_outcome(Outcome::Ok)
        }
    }

    /// Decodes the reply to a health check.
    pub(super) fn from_health_check_reply(value: &Value) -> DecodedReply {
        match value {
            Value::Bulk(Some(text)) => DecodedReply {
                load: parse_load_report(text),
                ..DecodedReply::from_outcome(Outcome::Ok)
            },
            Value::Simple(_) => DecodedReply::from_outcome(Outcome::Ok),
            Value::Error(text) => DecodedReply::from_error_reply(text),
            _ => DecodedReply::unexpected(),
        }
    }

    /// Decodes an error reply. It is expected if its text is printable and its kind is `BUSY` or
    /// `ERR`, the two that endpoints send.
    fn from_error_reply(text: &[u8]) -> DecodedReply {
        let is_kind = |kind: &[u8]| text == kind || text.starts_with(&[kind, b" "].concat());
        let is_printable = text.iter().all(|byte| (b' '..=b'~').contains(byte));
        let outcome = if !is_printable {
            return DecodedReply::unexpected();
        } else if is_kind(b"BUSY") {
            Outcome::Overloaded
        } else if is_kind(b"ERR") {
            Outcome::Error
        } else {
            // Protocol errors such as `-SYNTAX`, after which the endpoint closes the connection.
            return DecodedReply::unexpected();
        };
        DecodedReply {
            load: text
                .rsplit(|byte| *byte == b' ')
                .next()
                .and_then(parse_load_report),
            ..DecodedReply::from_outcome(outcome)
        }
    }
}
