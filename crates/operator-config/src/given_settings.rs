//! The settings that a file gives.

use crate::schema::{settings, Dependency, Setting, DEPENDENCIES};
use crate::settings::OperatorSettings;
use crate::value::Value;
use miette::SourceSpan;
use std::collections::BTreeMap;

/// A value, and where the setting's name stands.
#[derive(Clone, Debug)]
struct GivenSetting {
    value: Value,
    span: SourceSpan,
}

/// The settings that a file gives, by section and name.
#[derive(Clone, Debug, Default)]
pub(crate) struct GivenSettings {
    settings: BTreeMap<(&'static str, &'static str), GivenSetting>,
}

impl GivenSettings {
    pub(crate) fn insert(&mut self, setting: &Setting, value: Value, span: SourceSpan) {
        let given = GivenSetting { value, span };
        self.settings.insert((setting.section, setting.name), given);
    }

    /// Where a setting is given.
    pub(crate) fn span(&self, section: &'static str, name: &'static str) -> Option<SourceSpan> {
        let given = self.settings.get(&(section, name))?;
        Some(given.span)
    }

    /// Where the first setting of a section, by name, is given.
    pub(crate) fn first_span_of(&self, section: &str) -> Option<SourceSpan> {
        let mut settings = self.settings.iter();
        let (_, first) = settings.find(|((given, _), _)| *given == section)?;
        Some(first.span)
    }

    /// The settings that have no effect, as what they depend on is missing or off; and where they
    /// are given.
    pub(crate) fn without_effect(
        &self,
    ) -> impl Iterator<Item = (&'static Dependency, SourceSpan)> + '_ {
        DEPENDENCIES.iter().filter_map(|dependency| {
            let is_on = self
                .settings
                .get(&(dependency.section, dependency.needed))
                .is_some_and(|needed| needed.value != Value::Flag(false));
            let span = self.span(dependency.section, dependency.name)?;
            (!is_on).then_some((dependency, span))
        })
    }

    /// Changes the settings in force to those that are given.
    pub(crate) fn apply_to(&self, in_force: &mut OperatorSettings) {
        for setting in settings() {
            if let Some(given) = self.settings.get(&(setting.section, setting.name)) {
                (setting.apply)(in_force, &given.value);
            }
        }
    }
}
