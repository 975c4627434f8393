//! The schema: a table of all settings except those of the section `services`. Each entry has the
//! section, name, value kind and description of a setting, and the functions that apply and format
//! it. Parsing, checking and `roseyard-ingress explain` are all driven by this table.

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

/// The settings by section. Settings are applied in this order, and some of them reset the defaults
/// of others, such as `descriptors.total` those of the other descriptor limits. Therefore a setting
/// comes after those that its default depends on.
const SECTIONS: [&[Setting]; 5] = [
    descriptors::SETTINGS,
    admission::SETTINGS,
    reputation_snapshot::SETTINGS,
    membership::SETTINGS,
    log::SETTINGS,
];

/// Returns all settings, in the order in which they are applied.
pub(crate) fn settings() -> impl Iterator<Item = &'static Setting> + Clone {
    SECTIONS.into_iter().flatten()
}
