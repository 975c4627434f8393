//! The section `standing`: the file that keeps client reputations across restarts.

use super::format::{duration, path};
use super::setting::Setting;
use crate::value_kind::ValueKind;

/// The settings of the section.
pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "standing",
        name: "file",
        kind: ValueKind::Path,
        description: "file that keeps client reputations across restarts; needs a disk that outlasts the process",
        apply: |settings, value| settings.reputation_snapshot.file = Some(value.text().into()),
        format: |settings| path(&settings.reputation_snapshot.file),
    },
    Setting {
        section: "standing",
        name: "every",
        kind: ValueKind::DurationMs(100, 86_400_000),
        description: "time between two writes of the file; requires file",
        apply: |settings, value| settings.reputation_snapshot.interval = value.duration(),
        format: |settings| duration(settings.reputation_snapshot.interval),
    },
    Setting {
        section: "standing",
        name: "most",
        kind: ValueKind::Count(1, 250_000),
        description: "maximum number of addresses in the file; the same maximum applies to customers; requires file",
        apply: |settings, value| settings.reputation_snapshot.max_records = value.count(),
        format: |settings| settings.reputation_snapshot.max_records.to_string(),
    },
];
