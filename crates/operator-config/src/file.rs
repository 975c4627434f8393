//! A file that was read and checked. A file with an error has no effect at all.

use crate::error::{position, ConfigError, ConfigErrors, OperatorFileError};
use crate::given_settings::GivenSettings;
use crate::schema::{settings, Setting};
use crate::section_reader::{read_sections, Sections};
use crate::services::Services;
use crate::setting_row::SettingRow;
use crate::settings::{MachineLimits, OperatorSettings};
use kdl::{KdlDiagnostic, KdlDocument};
use miette::{NamedSource, SourceSpan};
use roseyard_admission::{DescriptorBudget, DescriptorUse};
use std::path::Path;
use std::sync::Arc;

/// Longest file that is read, in bytes; room for the services of a large platform with a uid for
/// each server.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// A file in which every setting is allowed.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    source: Arc<NamedSource<String>>,
    given: GivenSettings,
    services: Services,
}

impl OperatorFile {
    /// A file that sets nothing: all settings have their defaults.
    #[must_use]
    pub fn empty() -> OperatorFile {
        OperatorFile {
            source: Arc::new(NamedSource::new("defaults", String::new())),
            given: GivenSettings::default(),
            services: Services::none(),
        }
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// If it cannot be read, is longer than 4 MiB, or [`OperatorFile::parse`] finds errors in it.
    pub fn load(path: &Path) -> Result<OperatorFile, OperatorFileError> {
        let io_error = |source| OperatorFileError::Io {
            path: path.to_owned(),
            source,
        };
        let metadata = std::fs::metadata(path).map_err(io_error)?;
        if metadata.len() > MAX_FILE_BYTES {
            return Err(OperatorFileError::TooLarge {
                path: path.to_owned(),
            });
        }
        let text = std::fs::read_to_string(path).map_err(io_error)?;
        Ok(OperatorFile::parse(&path.display().to_string(), &text)?)
    }

    /// Checks a file's text; `name` names it in errors and sources.
    ///
    /// # Errors
    ///
    /// All errors in the file, in its order; only the syntax errors if it has any.
    pub fn parse(name: &str, text: &str) -> Result<OperatorFile, ConfigErrors> {
        let source = Arc::new(NamedSource::new(name, text.to_owned()));
        let document = KdlDocument::parse_v2(text).map_err(|error| {
            let diagnostics = error.diagnostics.iter();
            ConfigErrors(diagnostics.map(|d| syntax_error(&source, d)).collect())
        })?;
        let Sections { given, services } = read_sections(&source, &document)?;
        Ok(OperatorFile {
            source,
            given,
            services,
        })
    }

    /// The settings in force on such a machine.
    ///
    /// # Errors
    ///
    /// If settings contradict one another, or guarantee more descriptors than there are.
    pub fn resolve(&self, machine: &MachineLimits) -> Result<OperatorSettings, ConfigErrors> {
        let mut in_force = OperatorSettings::new(machine);
        self.given.apply_to(&mut in_force);
        // Prevents capacity for clients without a descriptor for each of them when `descriptors`
        // leaves fewer than `places`.
        let max_clients = in_force.descriptor_limits_of(DescriptorUse::Clients).max;
        in_force.policy.capacity = in_force.policy.capacity.min(max_clients).max(1);
        self.check_probe_timeout(&in_force)?;
        self.check_descriptors(&in_force)?;
        Ok(in_force)
    }

    /// Prevents indirect probes whose answers come after the probe's period when the direct probe's
    /// timeout leaves too little of it.
    fn check_probe_timeout(&self, in_force: &OperatorSettings) -> Result<(), ConfigErrors> {
        let membership = &in_force.membership;
        if membership.probe_timeout * 2 <= membership.probe_interval {
            return Ok(());
        }
        let given = |name| self.given.span("membership", name);
        let span = given("timeout").or(given("period"));
        let help = "others are asked once the direct answer has failed, within the same period";
        Err(self.error(span, "'timeout' is over half of 'period'", help))
    }

    fn check_descriptors(&self, in_force: &OperatorSettings) -> Result<(), ConfigErrors> {
        let budget = DescriptorBudget::new(in_force.descriptors, in_force.descriptor_limits);
        let Err(insufficient) = budget else {
            return Ok(());
        };
        let span = self.given.first_span_of("descriptors");
        let help = "lower 'least' of clients or links, or give the process more descriptors";
        Err(self.error(span, insufficient, help))
    }

    /// An error at this place, or at the file's beginning if no setting is given there.
    fn error(&self, span: Option<SourceSpan>, message: impl ToString, help: &str) -> ConfigErrors {
        let span = span.unwrap_or((0, 0).into());
        let error = ConfigError::new(&self.source, span, message.to_string());
        ConfigErrors(vec![error.with_help(help)])
    }

    /// The services with their routes and servers.
    #[must_use]
    pub fn services(&self) -> &Services {
        &self.services
    }

    /// All settings in force on such a machine with their sources, by section.
    ///
    /// # Errors
    ///
    /// As [`OperatorFile::resolve`].
    pub fn setting_rows(&self, machine: &MachineLimits) -> Result<Vec<SettingRow>, ConfigErrors> {
        let in_force = self.resolve(machine)?;
        let defaults = OperatorSettings::new(machine);
        let mut rows: Vec<SettingRow> = settings()
            .map(|setting| self.setting_row(setting, &in_force, &defaults))
            .collect();
        rows.extend(self.services.setting_rows(|span| self.source_of(span)));
        Ok(rows)
    }

    fn setting_row(
        &self,
        setting: &Setting,
        in_force: &OperatorSettings,
        defaults: &OperatorSettings,
    ) -> SettingRow {
        let value = (setting.format)(in_force);
        let source = match self.given.span(setting.section, setting.name) {
            Some(span) => self.source_of(span),
            None if value == (setting.format)(defaults) => "default".to_owned(),
            None => "follows from others".to_owned(),
        };
        SettingRow {
            name: format!("{}.{}", setting.section, setting.name),
            value,
            source,
            description: setting.description,
            allowed: setting.kind.allowed(),
        }
    }

    /// The file's name and the line of a place in it.
    fn source_of(&self, span: SourceSpan) -> String {
        let line = position(&self.source, span).line;
        format!("{}:{line}", self.source.name())
    }
}

fn syntax_error(source: &Arc<NamedSource<String>>, diagnostic: &KdlDiagnostic) -> ConfigError {
    let error = ConfigError::new(source, diagnostic.span, diagnostic.to_string());
    match &diagnostic.help {
        Some(help) => error.with_help(help),
        None => error,
    }
}
