//! Parses the sections of a file. The schema determines which settings each section may contain.

use crate::error::{position, ConfigError, ConfigErrors};
use crate::given_settings::GivenSettings;
use crate::schema::{settings, Setting};
use crate::services::{self, Services};
use crate::suggestion::suggest;
use crate::value_reader::{read_value, ValueError};
use kdl::{KdlDocument, KdlNode};
use miette::{NamedSource, SourceSpan};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The parsed contents of all sections of a file.
pub(crate) struct Sections {
    /// The settings that the file sets, of all sections except `services`.
    pub given: GivenSettings,
    /// The section `services`.
    pub services: Services,
}

/// Parses the sections of a document, whose text is `source`. Returns all errors, in the order of
/// their positions in the file.
pub(crate) fn read_sections(
    source: &Arc<NamedSource<String>>,
    document: &KdlDocument,
) -> Result<Sections, ConfigErrors> {
    let mut reader = SectionReader {
        source,
        given: GivenSettings::default(),
        services: services::Reader::new(source),
        errors: Vec::new(),
        first_lines: BTreeMap::new(),
    };
    for section in document.nodes() {
        reader.read_section(section);
    }
    reader.finish()
}

/// The state of parsing: the settings and the errors that have been found.
struct SectionReader<'a> {
    source: &'a Arc<NamedSource<String>>,
    given: GivenSettings,
    services: services::Reader<'a>,
    errors: Vec<ConfigError>,
    /// The line on which each setting is set for the first time, by section and name.
    first_lines: BTreeMap<(&'static str, &'static str), usize>,
}

/// Returns the names of all sections. Names may repeat.
fn sections() -> impl Iterator<Item = &'static str> + Clone {
    settings()
        .map(|setting| setting.section)
        .chain([services::SECTION])
}

fn settings_of(section: &str) -> impl Iterator<Item = &'static Setting> + Clone + '_ {
    settings().filter(move |setting| setting.section == section)
}

impl SectionReader<'_> {
    fn add_error(&mut self, span: SourceSpan, message: String) {
        self.errors
            .push(ConfigError::new(self.source, span, message));
    }

    fn add_error_with_help(&mut self, span: SourceSpan, message: String, help: String) {
        let error = ConfigError::new(self.source, span, message);
        self.errors.push(error.with_help(help));
    }

    fn read_section(&mut self, section: &KdlNode) {
        let name = section.name().value();
        let span = section.name().span();
        if !sections().any(|known| known == name) {
            let message = format!("there is no section '{name}'");
            return self.add_error_with_help(span, message, suggest(name, sections()));
        }
        if let Some(entry) = section.entries().first() {
            let message = format!("'{name}' takes settings in braces, not values");
            self.add_error(entry.span(), message);
        }
        let Some(children) = section.children() else {
            let message = format!("section '{name}' has no settings in braces");
            let help = format!("write '{name} {{ … }}' or remove the section");
            return self.add_error_with_help(span, message, help);
        };
        if name == services::SECTION {
            return self.services.read(section, children.nodes());
        }
        for node in children.nodes() {
            self.read_setting(name, node);
        }
    }

    fn read_setting(&mut self, section: &str, node: &KdlNode) {
        let name = node.name().value();
        let span = node.name().span();
        let Some(setting) = settings_of(section).find(|setting| setting.name == name) else {
            let message = format!("'{section}' has no setting '{name}'");
            let help = suggest(name, settings_of(section).map(|setting| setting.name));
            return self.add_error_with_help(span, message, help);
        };
        let line = position(self.source, node.span()).line;
        let key = (setting.section, setting.name);
        if let Some(first_line) = self.first_lines.insert(key, line) {
            let message = format!("'{name}' is set twice, first on line {first_line}");
            return self.add_error(span, message);
        }
        match read_value(&setting.kind, node) {
            Ok(value) => self.given.insert(setting, value, span),
            Err(ValueError { span, message }) => {
                let help = format!("'{name}' takes {}", setting.kind.allowed());
                self.add_error_with_help(span, message, help);
            }
        }
    }

    fn finish(mut self) -> Result<Sections, ConfigErrors> {
        let services = self.services.finish(&mut self.errors);
        for (dependency, span) in self.given.unmet_dependencies() {
            let (name, required) = (dependency.name, dependency.required);
            let message = format!("'{name}' has no effect without '{required}'");
            let help = format!("set '{required}' too");
            let error = ConfigError::new(self.source, span, message);
            self.errors.push(error.with_help(help));
        }
        if self.errors.is_empty() {
            return Ok(Sections {
                given: self.given,
                services,
            });
        }
        self.errors.sort_by_cached_key(ConfigError::position);
        Err(ConfigErrors(self.errors))
    }
}
