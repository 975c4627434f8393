//! The effective settings with their sources, as `roseyard-ingress explain` prints them.

use crate::file::File;
use crate::schema::{settings, Setting};
use crate::settings::{MachineLimits, OperatorSettings};
use crate::ConfigErrors;

/// One setting, as it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingRow {
    /// Section and name, with a dot between.
    pub name: String,
    /// Its value.
    pub value: String,
    /// File and line, or where else it comes from.
    pub source: String,
    /// What it is for.
    pub about: &'static str,
    /// What it may be.
    pub allowed: String,
}

impl File {
    /// Every setting that there is, by section.
    pub fn explain(&self, machine: &MachineLimits) -> Result<Vec<SettingRow>, ConfigErrors> {
        let effective = self.effective(machine)?;
        let defaults = OperatorSettings::new(machine);
        let row = |setting: &Setting| {
            let value = (setting.show)(&effective);
            // A default may follow from another setting that the file gives.
            let fallback = if value == (setting.show)(&defaults) {
                "default"
            } else {
                "follows from others"
            };
            SettingRow {
                name: format!("{}.{}", setting.section, setting.name),
                source: self.place_of(setting).unwrap_or_else(|| fallback.into()),
                value,
                about: setting.about,
                allowed: setting.kind.allowed(),
            }
        };
        let mut rows: Vec<SettingRow> = settings().map(row).collect();
        rows.extend(self.services().rows(|span| self.place(span)));
        Ok(rows)
    }
}
