//! What an endpoint's reply says about an attempt or a health check.

use super::limits::UpstreamLimits;
use crate::protocol::report::{report, true_units};
use crate::protocol::resp::Value;
use roseyard_decision::{LoadReport, Outcome};

/// A reply, decoded.
pub(super) struct DecodedReply {
    pub(super) outcome: Outcome,
    /// The value, where the request was served.
    pub(super) value: Option<Vec<u8>>,
    /// The request's true units, where they are only estimated before.
    pub(super) true_units: Option<f64>,
    pub(super) load: Option<LoadReport>,
    /// No endpoint sends this: the connection is out of step.
    pub(super) is_unexpected: bool,
}

impl DecodedReply {
    fn of(outcome: Outcome) -> DecodedReply {
        DecodedReply {
            outcome,
            value: None,
            true_units: None,
            load: None,
            is_unexpected: false,
        }
    }

    /// The request may have been executed, and the reply cannot be forwarded.
    fn unexpected() -> DecodedReply {
        DecodedReply {
            is_unexpected: true,
            ..DecodedReply::of(Outcome::Error)
        }
    }

    /// Decodes the reply to an attempt.
    ///
    /// A served request's reply is an array of the value, the usage figures and the load report,
    /// and nothing else. Prevents noise that happens to be a bulk string from being forwarded as a
    /// value. Figures and reports that cannot be parsed are ignored.
    pub(super) fn of_attempt(value: &Value, limits: &UpstreamLimits) -> DecodedReply {
        let items = match value {
            Value::Array(Some(items)) => items,
            Value::Error(text) => return DecodedReply::of_error(text),
            _ => return DecodedReply::unexpected(),
        };
        let [Value::Bulk(Some(served)), usage, load] = items.as_slice() else {
            return DecodedReply::unexpected();
        };
        let load = match load {
            Value::Bulk(Some(load)) => report(load),
            _ => None,
        };
        let true_units = match usage {
            Value::Bulk(Some(usage)) if limits.units_are_estimated => {
                true_units(usage, limits.max_units)
            }
            _ => None,
        };
        DecodedReply {
            value: Some(served.to_vec()),
            true_units,
            load,
            ..DecodedReply::of(Outcome::Ok)
        }
    }

    /// Decodes the reply to a health check.
    pub(super) fn of_health_check(value: &Value) -> DecodedReply {
        match value {
            Value::Bulk(Some(text)) => DecodedReply {
                load: report(text),
                ..DecodedReply::of(Outcome::Ok)
            },
            Value::Simple(_) => DecodedReply::of(Outcome::Ok),
            Value::Error(text) => DecodedReply::of_error(text),
            _ => DecodedReply::unexpected(),
        }
    }

    /// An error line is printable and of one of the two kinds that endpoints send.
    fn of_error(text: &[u8]) -> DecodedReply {
        let is_kind = |kind: &[u8]| text == kind || text.starts_with(&[kind, b" "].concat());
        let is_printable = text.iter().all(|byte| (b' '..=b'~').contains(byte));
        let outcome = if !is_printable {
            return DecodedReply::unexpected();
        } else if is_kind(b"BUSY") {
            Outcome::Overloaded
        } else if is_kind(b"ERR") {
            Outcome::Error
        } else {
            // `-SYNTAX` and the like: about what we wrote, and the endpoint closes.
            return DecodedReply::unexpected();
        };
        DecodedReply {
            load: text.rsplit(|byte| *byte == b' ').next().and_then(report),
            ..DecodedReply::of(outcome)
        }
    }
}
