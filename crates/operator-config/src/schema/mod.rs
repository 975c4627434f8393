//! Every setting once: its section, name, kind, what it is for, how it takes effect and how it is
//! shown. The checks, the effective values and the explanation all go by this table.

mod admission;
mod descriptors;
mod log;
mod membership;
mod show;
mod standing;

use crate::settings::OperatorSettings;
use crate::value::{Kind, Value};

/// One setting of the file.
pub(crate) struct Setting {
    pub section: &'static str,
    pub name: &'static str,
    pub kind: Kind,
    pub about: &'static str,
    pub apply: fn(&mut OperatorSettings, &Value),
    pub show: fn(&OperatorSettings) -> String,
}

/// Where settings follow from others, the others stand before them.
const SECTIONS: [&[Setting]; 5] = [
    descriptors::SETTINGS,
    admission::SETTINGS,
    standing::SETTINGS,
    membership::SETTINGS,
    log::SETTINGS,
];

/// All settings, in the order in which they take effect.
pub(crate) fn settings() -> impl Iterator<Item = &'static Setting> + Clone {
    SECTIONS.into_iter().flatten()
}

/// Settings that mean nothing without another, which must be given (and on) too.
pub(crate) const NEEDS: &[(&str, &str, &str)] = &[
    ("admission", "per-client", "by-address"),
    ("admission", "per-neighbourhood", "by-address"),
    ("admission", "rate-client", "by-address"),
    ("admission", "rate-neighbourhood", "by-address"),
    ("admission", "prefixes", "by-address"),
    ("standing", "every", "file"),
    ("standing", "most", "file"),
    ("membership", "listen", "key-file"),
    ("membership", "key-file", "listen"),
    ("membership", "cluster", "listen"),
    ("membership", "other-key-file", "listen"),
    ("membership", "seeds", "listen"),
    ("membership", "paths", "listen"),
    ("membership", "expected", "listen"),
    ("membership", "zone", "listen"),
    ("membership", "period", "listen"),
    ("membership", "timeout", "listen"),
    ("membership", "gossip", "listen"),
    ("membership", "sync", "listen"),
    ("membership", "suspicion", "listen"),
    ("membership", "datagrams", "listen"),
    ("membership", "status", "listen"),
];
