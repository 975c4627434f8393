//! Reads the file against the table of settings. Nothing of a file with a mistake takes effect.

use crate::error::{hint, ConfigError, ConfigErrors};
use crate::schema::{settings, Setting, NEEDS};
use crate::services::{self, Services};
use crate::settings::{MachineLimits, Membership, OperatorSettings};
use crate::value::Value;
use kdl::{KdlDocument, KdlNode};
use miette::{NamedSource, SourceSpan};
use roseyard_admission::{DescriptorBudget, DescriptorUse};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

/// Longest file that is read: room for the services of a large platform with a uid for each server.
const MAX_SNAPSHOT_BYTES: u64 = 4 << 20;

/// A file whose every setting can be read.
#[derive(Clone, Debug)]
pub struct File {
    source: Arc<NamedSource<String>>,
    given: BTreeMap<(&'static str, &'static str), (Value, SourceSpan)>,
    services: Services,
}

impl File {
    /// No file: defaults alone.
    pub fn none() -> File {
        File {
            source: Arc::new(NamedSource::new("defaults", String::new())),
            given: BTreeMap::new(),
            services: Services::none(),
        }
    }

    /// Reads and checks a file; what is wrong with it is said on one line.
    pub fn read(path: &Path) -> Result<File, String> {
        File::load(path)?.map_err(|wrong| wrong.to_string())
    }

    /// Reads and checks a file. The outer error says why it cannot be read at all.
    pub fn load(path: &Path) -> Result<Result<File, ConfigErrors>, String> {
        let named = |e: std::io::Error| format!("{}: {e}", path.display());
        if std::fs::metadata(path).map_err(named)?.len() > MAX_SNAPSHOT_BYTES {
            return Err(format!("{}: longer than 4 MiB", path.display()));
        }
        let text = std::fs::read_to_string(path).map_err(named)?;
        Ok(File::parse(&path.display().to_string(), &text))
    }

    /// Checks a file's text. All mistakes are found at once.
    pub fn parse(name: &str, text: &str) -> Result<File, ConfigErrors> {
        let source = Arc::new(NamedSource::new(name, text.to_owned()));
        let document = KdlDocument::parse_v2(text).map_err(|wrong| {
            let told = |d: &kdl::KdlDiagnostic| {
                let mistake = ConfigError::new(&source, d.span, d.to_string());
                match &d.help {
                    Some(help) => mistake.help(help),
                    None => mistake,
                }
            };
            ConfigErrors(wrong.diagnostics.iter().map(told).collect())
        })?;
        let mut file = File {
            source: Arc::clone(&source),
            given: BTreeMap::new(),
            services: Services::none(),
        };
        let mut wrong = Vec::new();
        let mut seen = BTreeMap::new();
        let mut services = services::Reader::new(&source);
        for section in document.nodes() {
            file.take_section(section, &mut seen, &mut services, &mut wrong);
        }
        file.services = services.finish(&mut wrong);
        for (section, name, needed) in NEEDS {
            let on = file
                .given
                .get(&(*section, *needed))
                .is_some_and(|(v, _)| *v != Value::Flag(false));
            if let Some((_, span)) = file.given.get(&(*section, *name)).filter(|_| !on) {
                let what = format!("'{name}' has no effect without '{needed}'");
                wrong.push(
                    ConfigError::new(&file.source, *span, what).help(format!("set '{needed}' too")),
                );
            }
        }
        if wrong.is_empty() {
            Ok(file)
        } else {
            wrong.sort_by_cached_key(ConfigError::place);
            Err(ConfigErrors(wrong))
        }
    }

    fn take_section<'a>(
        &mut self,
        section: &'a KdlNode,
        seen: &mut BTreeMap<(&'a str, &'a str), usize>,
        services: &mut services::Reader,
        wrong: &mut Vec<ConfigError>,
    ) {
        let name = section.name();
        let sections = || settings().map(|s| s.section).chain([services::SECTION]);
        let mistake = |span: SourceSpan, what: String| ConfigError::new(&self.source, span, what);
        if !sections().any(|s| s == name.value()) {
            let what = format!("there is no section '{}'", name.value());
            return wrong.push(mistake(name.span(), what).help(hint(name.value(), sections())));
        }
        if let Some(entry) = section.entries().first() {
            let what = format!("'{}' holds settings in braces, not values", name.value());
            wrong.push(mistake(entry.span(), what));
        }
        let Some(children) = section.children() else {
            return wrong.push(
                mistake(name.span(), format!("'{}' holds nothing", name.value()))
                    .help(format!("write '{} {{ … }}' or leave it out", name.value())),
            );
        };
        if name.value() == services::SECTION {
            return services.read(section, children.nodes());
        }
        for node in children.nodes() {
            let of = || settings().filter(|s| s.section == name.value());
            let Some(setting) = of().find(|s| s.name == node.name().value()) else {
                let what = format!(
                    "'{}' has no setting '{}'",
                    name.value(),
                    node.name().value()
                );
                let help = hint(node.name().value(), of().map(|s| s.name));
                wrong.push(mistake(node.name().span(), what).help(help));
                continue;
            };
            let line = mistake(node.span(), String::new()).place().0;
            if let Some(first) = seen.insert((setting.section, setting.name), line) {
                let what = format!("'{}' is set twice, first on line {first}", setting.name);
                wrong.push(mistake(node.name().span(), what));
                continue;
            }
            match setting.kind.read(node) {
                Ok(value) => {
                    self.given
                        .insert((setting.section, setting.name), (value, node.name().span()));
                }
                Err((span, what)) => {
                    let mistake = ConfigError::new(&self.source, span, what);
                    let help = format!("'{}' takes {}", setting.name, setting.kind.allowed());
                    wrong.push(mistake.help(help));
                }
            }
        }
    }

    /// All settings on such a machine. An error if they do not fit it.
    pub fn effective(&self, machine: &MachineLimits) -> Result<OperatorSettings, ConfigErrors> {
        let mut effective = OperatorSettings::new(machine);
        for setting in settings() {
            if let Some((value, _)) = self.given.get(&(setting.section, setting.name)) {
                (setting.apply)(&mut effective, value);
            }
        }
        // Guards against places for clients that no descriptor stands for.
        let most = effective.share(DescriptorUse::Clients).max;
        effective.policy.capacity = effective.policy.capacity.min(most).max(1);
        // An answer that may come after the probe's end would be awaited in vain.
        let Membership {
            timeout, period, ..
        } = effective.membership;
        if timeout * 2 > period {
            let given = |name| self.given.get(&("membership", name)).map(|(_, span)| *span);
            let span = given("timeout")
                .or(given("period"))
                .unwrap_or((0, 0).into());
            let what = "'timeout' is over half of 'period'".to_string();
            let help = "others are asked once the direct answer has failed, within the same period";
            return Err(ConfigErrors(vec![ConfigError::new(
                &self.source,
                span,
                what,
            )
            .help(help)]));
        }
        match DescriptorBudget::new(effective.sockets, effective.shares) {
            Ok(_) => Ok(effective),
            Err(few) => {
                let first = self
                    .given
                    .iter()
                    .find(|((section, _), _)| *section == "descriptors");
                let span = first.map_or((0, 0).into(), |(_, (_, span))| *span);
                let help =
                    "lower 'least' of clients or links, or give the process more descriptors";
                Err(ConfigErrors(vec![ConfigError::new(
                    &self.source,
                    span,
                    few.to_string(),
                )
                .help(help)]))
            }
        }
    }

    /// The services with their routes and servers.
    pub fn services(&self) -> &Services {
        &self.services
    }

    /// Where a setting stands in the file: its name and line.
    pub(crate) fn place_of(&self, setting: &Setting) -> Option<String> {
        let (_, span) = self.given.get(&(setting.section, setting.name))?;
        Some(self.place(*span))
    }

    /// The file's name and the line of a place in it.
    pub(crate) fn place(&self, span: SourceSpan) -> String {
        let line = ConfigError::new(&self.source, span, String::new())
            .place()
            .0;
        format!("{}:{line}", self.source.name())
    }
}
