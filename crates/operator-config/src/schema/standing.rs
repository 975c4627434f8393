//! Where standing is kept over a restart.

use super::show::{file, time};
use super::Setting;
use crate::value::Kind;

pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "standing",
        name: "file",
        kind: Kind::Path,
        about: "where standing is kept over a restart, on a disk that lasts",
        apply: |e, v| e.standing.file = Some(v.text().into()),
        show: |e| file(&e.standing.file),
    },
    Setting {
        section: "standing",
        name: "every",
        kind: Kind::Time(100, 86_400_000),
        about: "how often it is written (needs file)",
        apply: |e, v| e.standing.every = v.time(),
        show: |e| time(e.standing.every),
    },
    Setting {
        section: "standing",
        name: "most",
        kind: Kind::Count(1, 250_000),
        about: "most addresses, and most customers, that it holds (needs file)",
        apply: |e, v| e.standing.most = v.count(),
        show: |e| e.standing.most.to_string(),
    },
];
