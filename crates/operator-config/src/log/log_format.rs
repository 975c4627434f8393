//! The formats of log lines.

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// `roseyard: LEVEL: MESSAGE NAME=VALUE ...`, without the field `event`.
    Text,
    /// One JSON object a line, with all fields of the event.
    Json,
}
