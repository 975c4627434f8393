//! Errors of the operator's file, with their place and what is allowed there.

use miette::{
    Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceSpan,
};
use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

/// Why a file could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// It could not be read.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is longer than any file that is read.
    #[error("{}: longer than 4 MiB", .path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
    },
    /// It was read, and its content is wrong.
    #[error(transparent)]
    Invalid(#[from] ConfigErrors),
}

/// A place in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

/// One error in a file.
#[derive(Clone, Debug)]
pub struct ConfigError {
    source: Arc<NamedSource<String>>,
    /// Where it is, in bytes.
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

    /// Adds what would be right.
    pub(crate) fn with_help(mut self, help: impl Into<String>) -> ConfigError {
        self.help = Some(help.into());
        self
    }

    /// Where it is.
    #[must_use]
    pub fn position(&self) -> Position {
        position(&self.source, self.span)
    }

    /// What is wrong.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }
}

/// Where a span begins.
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
    /// `FILE:LINE:COLUMN: MESSAGE; HELP`, on one line.
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

/// All errors in a file, in the order of their places.
#[derive(Clone, Debug)]
pub struct ConfigErrors(pub(crate) Vec<ConfigError>);

impl ConfigErrors {
    /// The errors, in order.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigError> {
        self.0.iter()
    }

    /// Each error on a line of its own.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.iter().map(ConfigError::to_string).collect()
    }

    /// The errors with the lines of the file that they are in, for a terminal.
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
    /// All errors on one line.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.lines().join(" | "))
    }
}

impl std::error::Error for ConfigErrors {}
