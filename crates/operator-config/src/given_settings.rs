//! The settings that a file sets.

use crate::schema::{settings, Dependency, Setting, DEPENDENCIES};
use crate::settings::OperatorSettings;
use crate::value::Value;
use miette::SourceSpan;
use std::collections::BTreeMap;

/// The value of a setting.
#[derive(Clone, Debug)]
struct GivenSetting {
    value: Value,
    /// The position of the setting's name in the file.
    span: SourceSpan,
}

/// The settings that a file sets, by section and name. Settings without an entry have their
/// default.
#[derive(Clone, Debug, Default)]
pub(crate) struct GivenSettings {
    settings: BTreeMap<(&'static str, &'static str), GivenSetting>,
}

impl GivenSettings {
    pub(crate) fn insert(&mut self, setting: &Setting, value: Value, span: SourceSpan) {
        let given = GivenSetting { value, span };
        self.settings.insert((setting.section, setting.name), given);
    }

    /// Returns the position of a setting; `None` if the file does not set it.
    pub(crate) fn span(&self, section: &'static str, name: &'static str) -> Option<SourceSpan> {
        let given = self.settings.get(&(section, name))?;
        Some(given.span)
    }

    /// Returns the position of the setting of a section whose name is the first in alphabetical
    /// order; `None` if the file sets nothing in the section.
    pub(crate) fn first_span_of(&self, section: &str) -> Option<SourceSpan> {
        let mut settings = self.settings.iter();
        let (_, first) = settings.find(|((given, _), _)| *given == section)?;
        Some(first.span)
    }

    /// Returns the dependencies that are not met, as the required setting is missing or `#false`,
    /// with the position of the setting that has no effect for this reason.
    pub(crate) fn unmet_dependencies(
        &self,
    ) -> impl Iterator<Item = (&'static Dependency, SourceSpan)> + '_ {
        DEPENDENCIES.iter().filter_map(|dependency| {
            let is_met = self
                .settings
                .get(&(dependency.section, dependency.required))
                .is_some_and(|required| required.value != Value::Flag(false));
            let span = self.span(dependency.section, dependency.name)?;
            (!is_met).then_some((dependency, span))
        })
    }

    /// Writes the values from the file to the effective settings, in the order of the schema.
    pub(crate) fn apply_to(&self, effective: &mut OperatorSettings) {
        for setting in settings() {
            if let Some(given) = self.settings.get(&(setting.section, setting.name)) {
                (setting.apply)(effective, &given.value);
            }
        }
    }
}
