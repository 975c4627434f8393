//! Errors of the operator's file. Each has its position in the file and, where possible, a help
//! text with the allowed values.

use miette::{
    Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceSpan,
};
use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

/// The reason why a file could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file could not be read.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is larger than the limit.
    #[error("{}: file is larger than 4 MiB", .path.display())]
    TooLarge {
        /// The path of the file.
        path: PathBuf,
    },
    /// The file was read, but its content has errors.
    #[error(transparent)]
    Invalid(#[from] ConfigErrors),
}

/// A position in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line number, starting at 1.
    pub line: usize,
    /// The column number in characters, starting at 1.
    pub column: usize,
}

/// One error in a file.
#[derive(Clone, Debug)]
pub struct ConfigError {
    source: Arc<NamedSource<String>>,
    /// The position of the error in the source, in bytes.
    span: SourceSpan,
    message: String,
    help: Option<String>,
}

impl ConfigError {
    pub(crate) fn new(
        source: &Arc<NamedSource<String>>,
        span: SourceSpan,
        message: String,
    ) -> ConfigError {
        ConfigError {
            source: Arc::clone(source),
            span,
            message,
            help: None,
        }
    }

    /// Adds a help text, which says what is allowed or how to correct the error.
    pub(crate) fn with_help(mut self, help: impl Into<String>) -> ConfigError {
        self.help = Some(help.into());
        self
    }

    /// Returns the position at which the error begins.
    #[must_use]
    pub fn position(&self) -> Position {
        position(&self.source, self.span)
    }

    /// Returns the message, without position and help text.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }
}

/// Returns the position at which a span begins.
pub(crate) fn position(source: &NamedSource<String>, span: SourceSpan) -> Position {
    let text = source.inner();
    let end = (0..=span.offset().min(text.len()))
        .rev()
        .find(|at| text.is_char_boundary(*at))
        .unwrap_or(0);
    let before = &text[..end];
    let last_line = before.rsplit('\n').next().unwrap_or("");
    Position {
        line: before.bytes().filter(|byte| *byte == b'\n').count() + 1,
        column: last_line.chars().count() + 1,
    }
}

impl fmt::Display for ConfigError {
    /// Writes `FILE:LINE:COLUMN: MESSAGE; HELP` on one line.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Position { line, column } = self.position();
        let (name, message) = (self.source.name(), &self.message);
        write!(f, "{name}:{line}:{column}: {message}")?;
        match &self.help {
            Some(help) => write!(f, "; {help}"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for ConfigError {}

impl Diagnostic for ConfigError {
    fn help(&self) -> Option<Box<dyn fmt::Display + '_>> {
        self.help
            .as_ref()
            .map(|help| Box::new(help) as Box<dyn fmt::Display>)
    }

    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&*self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(None, self.span);
        Some(Box::new(std::iter::once(label)))
    }
}

/// All errors in a file, in the order of their positions.
#[derive(Clone, Debug)]
pub struct ConfigErrors(pub(crate) Vec<ConfigError>);

impl ConfigErrors {
    /// Returns the errors, in the order of their positions.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigError> {
        self.0.iter()
    }

    /// Returns one line of text for each error.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.iter().map(ConfigError::to_string).collect()
    }

    /// Returns a report for a terminal, which shows each error with its line of the file.
    #[must_use]
    pub fn report(&self) -> String {
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
        let mut report = String::new();
        for error in self.iter() {
            if handler.render_report(&mut report, error).is_err() {
                report.push_str(&error.to_string());
            }
            report.push('\n');
        }
        report
    }
}

impl fmt::Display for ConfigErrors {
    /// Writes all errors on one line, separated by ` | `.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.lines().join(" | "))
    }
}

impl std::error::Error for ConfigErrors {}
