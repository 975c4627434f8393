//! The schema: each setting once, with its section, name, kind, description, effect and format. The
//! checks, the settings in force and their explanation all go by it.

mod admission;
mod dependencies;
mod descriptors;
mod format;
mod log;
mod membership;
mod reputation_snapshot;
mod setting;

pub(crate) use dependencies::{Dependency, DEPENDENCIES};
pub(crate) use setting::Setting;

/// The settings by section. A setting whose default follows from another stands after it.
const SECTIONS: [&[Setting]; 5] = [
    descriptors::SETTINGS,
    admission::SETTINGS,
    reputation_snapshot::SETTINGS,
    membership::SETTINGS,
    log::SETTINGS,
];

/// All settings, in the order in which they take effect.
pub(crate) fn settings() -> impl Iterator<Item = &'static Setting> + Clone {
    SECTIONS.into_iter().flatten()
}
