//! The format of log lines.

/// The format of log lines, which the setting `log.format` or the option `--log` selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// `roseyard: LEVEL: MESSAGE NAME=VALUE ...`, without the field `event`.
    Text,
    /// One JSON object per line, with all fields of the event.
    Json,
}
