//! The snapshot of client reputations: the section `standing`.

use super::format::{duration, path};
use super::setting::Setting;
use crate::value_kind::ValueKind;

pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "standing",
        name: "file",
        kind: ValueKind::Path,
        description: "where standing is kept over a restart, on a disk that lasts",
        apply: |settings, value| settings.reputation_snapshot.file = Some(value.text().into()),
        format: |settings| path(&settings.reputation_snapshot.file),
    },
    Setting {
        section: "standing",
        name: "every",
        kind: ValueKind::DurationMs(100, 86_400_000),
        description: "how often it is written (needs file)",
        apply: |settings, value| settings.reputation_snapshot.interval = value.duration(),
        format: |settings| duration(settings.reputation_snapshot.interval),
    },
    Setting {
        section: "standing",
        name: "most",
        kind: ValueKind::Count(1, 250_000),
        description: "most addresses, and most customers, that it holds (needs file)",
        apply: |settings, value| settings.reputation_snapshot.max_records = value.count(),
        format: |settings| settings.reputation_snapshot.max_records.to_string(),
    },
];
