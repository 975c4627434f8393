//! The section `log`: rate limit and format of log lines.

use super::setting::Setting;
use crate::log::LogFormat;
use crate::value_kind::ValueKind;

/// The settings of the section.
pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "log",
        name: "lines",
        kind: ValueKind::Count(1, 100_000),
        description:
            "maximum number of log lines per second; excess lines are dropped and counted; takes effect after a restart",
        apply: |settings, value| settings.max_log_lines_per_second = value.count() as u32,
        format: |settings| settings.max_log_lines_per_second.to_string(),
    },
    Setting {
        section: "log",
        name: "format",
        kind: ValueKind::OneOf(&["text", "json"]),
        description: "format of log lines; the option --log takes precedence; takes effect after a restart",
        apply: |settings, value| {
            settings.log_format = if value.text() == "json" {
                LogFormat::Json
            } else {
                LogFormat::Text
            };
        },
        format: |settings| match settings.log_format {
            LogFormat::Text => "text".into(),
            LogFormat::Json => "json".into(),
        },
    },
];
