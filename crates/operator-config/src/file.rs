//! The operator's file, parsed and checked. A file that has any error is rejected as a whole.

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

/// Maximum size of a file. It is sufficient for the services of a large platform with a uid for
/// each server.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// An operator's file without errors.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    source: Arc<NamedSource<String>>,
    given: GivenSettings,
    services: Services,
}

impl OperatorFile {
    /// Returns a file without settings: all of them have their defaults.
    #[must_use]
    pub fn empty() -> OperatorFile {
        OperatorFile {
            source: Arc::new(NamedSource::new("defaults", String::new())),
            given: GivenSettings::default(),
            services: Services::none(),
        }
    }

    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is larger than 4 MiB, or
    /// [`OperatorFile::parse`] finds errors in it.
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

    /// Parses and checks the text of a file. Errors and the sources of settings refer to the file
    /// as `name`.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file, in the order of their positions. If there are syntax errors,
    /// returns only these.
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

    /// Returns the effective settings on a machine with these limits.
    ///
    /// # Errors
    ///
    /// Returns an error if settings contradict each other or guarantee more descriptors than the
    /// process may have.
    pub fn resolve(&self, machine: &MachineLimits) -> Result<OperatorSettings, ConfigErrors> {
        let mut effective = OperatorSettings::new(machine);
        self.given.apply_to(&mut effective);
        // If `descriptors` allows fewer client connections than `places`, the capacity is lowered.
        // Otherwise connections would be admitted for which no descriptor is left.
        let max_clients = effective.descriptor_limits_of(DescriptorUse::Clients).max;
        effective.policy.capacity = effective.policy.capacity.min(max_clients).max(1);
        self.check_probe_timeout(&effective)?;
        self.check_descriptors(&effective)?;
        Ok(effective)
    }

    /// Returns an error if the timeout of direct probes is longer than half of the probe interval.
    /// Such a timeout would leave too little time for the answers to indirect probes, which are
    /// sent after it within the same interval.
    fn check_probe_timeout(&self, effective: &OperatorSettings) -> Result<(), ConfigErrors> {
        let membership = &effective.membership;
        if membership.probe_timeout * 2 <= membership.probe_interval {
            return Ok(());
        }
        let given = |name| self.given.span("membership", name);
        let span = given("timeout").or(given("period"));
        let help = "indirect probes are sent after the timeout and have to be answered within the same period";
        Err(self.error(span, "'timeout' is longer than half of 'period'", help))
    }

    /// Returns an error if the guaranteed minima of all uses exceed the descriptors of the process.
    fn check_descriptors(&self, effective: &OperatorSettings) -> Result<(), ConfigErrors> {
        let budget = DescriptorBudget::new(effective.descriptors, effective.descriptor_limits);
        let Err(insufficient) = budget else {
            return Ok(());
        };
        let span = self.given.first_span_of("descriptors");
        let help = "lower 'least' of 'clients' or 'links', or raise the number of descriptors of the process";
        Err(self.error(span, insufficient, help))
    }

    /// Returns an error at this position; at the beginning of the file if there is none, as the
    /// file does not set any of the settings concerned.
    fn error(&self, span: Option<SourceSpan>, message: impl ToString, help: &str) -> ConfigErrors {
        let span = span.unwrap_or((0, 0).into());
        let error = ConfigError::new(&self.source, span, message.to_string());
        ConfigErrors(vec![error.with_help(help)])
    }

    /// Returns the services with their routes and servers.
    #[must_use]
    pub fn services(&self) -> &Services {
        &self.services
    }

    /// Returns a row for each setting, with its source and its effective value on a machine with
    /// these limits. The rows are ordered by section.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`OperatorFile::resolve`].
    pub fn setting_rows(&self, machine: &MachineLimits) -> Result<Vec<SettingRow>, ConfigErrors> {
        let effective = self.resolve(machine)?;
        let defaults = OperatorSettings::new(machine);
        let mut rows: Vec<SettingRow> = settings()
            .map(|setting| self.setting_row(setting, &effective, &defaults))
            .collect();
        rows.extend(self.services.setting_rows(|span| self.source_of(span)));
        Ok(rows)
    }

    fn setting_row(
        &self,
        setting: &Setting,
        effective: &OperatorSettings,
        defaults: &OperatorSettings,
    ) -> SettingRow {
        let value = (setting.format)(effective);
        let source = match self.given.span(setting.section, setting.name) {
            Some(span) => self.source_of(span),
            None if value == (setting.format)(defaults) => "default".to_owned(),
            None => "derived from other settings".to_owned(),
        };
        SettingRow {
            name: format!("{}.{}", setting.section, setting.name),
            value,
            source,
            description: setting.description,
            allowed: setting.kind.allowed(),
        }
    }

    /// Returns the file's name and the line of a span, as `FILE:LINE`.
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
