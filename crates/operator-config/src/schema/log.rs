//! Lines of the log.

use super::Setting;
use crate::value::Kind;

pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "log",
        name: "lines",
        kind: Kind::Count(1, 100_000),
        about: "log lines a second; further ones are counted (takes effect at the next start)",
        apply: |e, v| e.log_lines = v.count() as u32,
        show: |e| e.log_lines.to_string(),
    },
    Setting {
        section: "log",
        name: "format",
        kind: Kind::Word(&["text", "json"]),
        about: "the form of log lines; --log goes before it (takes effect at the next start)",
        apply: |e, v| e.log_json = v.text() == "json",
        show: |e| if e.log_json { "json" } else { "text" }.into(),
    },
];
