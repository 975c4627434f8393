//! Log lines: the section `log`.

use super::setting::Setting;
use crate::log::LogFormat;
use crate::value_kind::ValueKind;

pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "log",
        name: "lines",
        kind: ValueKind::Count(1, 100_000),
        description:
            "log lines a second; further ones are counted (takes effect at the next start)",
        apply: |settings, value| settings.max_log_lines_per_second = value.count() as u32,
        format: |settings| settings.max_log_lines_per_second.to_string(),
    },
    Setting {
        section: "log",
        name: "format",
        kind: ValueKind::OneOf(&["text", "json"]),
        description: "the form of log lines; --log goes before it (takes effect at the next start)",
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
