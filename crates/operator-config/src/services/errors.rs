//! Collects the errors of the section.

use super::limits::SECTION;
use super::lines::Name;
use crate::error::{position, ConfigError};
use crate::suggestion::suggest;
use crate::value_syntax::invalid_value_message;
use kdl::KdlEntry;
use miette::{NamedSource, SourceSpan};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum number of errors that are reported one by one; further ones are only counted.
const MAX_REPORTED_ERRORS: usize = 100;

/// The texts of an error.
pub(super) struct Report {
    /// What is wrong.
    pub message: String,
    /// How to correct it, or what is allowed.
    pub help: Option<String>,
}

/// The errors that have been found in the section. The texts of errors are built only for the first
/// [`MAX_REPORTED_ERRORS`], since a long file may have an error on each line.
pub(super) struct SectionErrors<'a> {
    source: &'a Arc<NamedSource<String>>,
    reported: Vec<ConfigError>,
    /// The number of errors beyond [`MAX_REPORTED_ERRORS`].
    unreported_count: usize,
    /// The position of the last error in the file, whether reported or only counted.
    last_span: Option<SourceSpan>,
}

impl<'a> SectionErrors<'a> {
    /// Returns a collection without errors; `source` is the text of the file.
    pub(super) fn new(source: &'a Arc<NamedSource<String>>) -> SectionErrors<'a> {
        SectionErrors {
            source,
            reported: Vec::new(),
            unreported_count: 0,
            last_span: None,
        }
    }

    /// Adds an error. `report` is called only if the error is reported.
    pub(super) fn add(&mut self, span: SourceSpan, report: impl FnOnce(&Self) -> Report) {
        self.last_span = self
            .last_span
            .filter(|last| last.offset() > span.offset())
            .or(Some(span));
        if self.reported.len() >= MAX_REPORTED_ERRORS {
            self.unreported_count += 1;
            return;
        }
        let Report { message, help } = report(self);
        let error = ConfigError::new(self.source, span, message);
        self.reported.push(match help {
            Some(help) => error.with_help(help),
            None => error,
        });
    }

    /// Adds an error with a help text.
    pub(super) fn add_with_help(
        &mut self,
        span: SourceSpan,
        message: impl FnOnce() -> String,
        help: impl FnOnce() -> String,
    ) {
        self.add(span, |_| Report {
            message: message(),
            help: Some(help()),
        });
    }

    /// Adds an error without a help text.
    pub(super) fn add_message(&mut self, span: SourceSpan, message: impl FnOnce() -> String) {
        self.add(span, |_| Report {
            message: message(),
            help: None,
        });
    }

    /// Adds an error for a value that the line or property of this name does not allow.
    pub(super) fn add_invalid_value(
        &mut self,
        entry: &KdlEntry,
        name: &str,
        allowed: impl FnOnce() -> String,
    ) {
        let help = || format!("'{name}' takes {}", allowed());
        self.add_with_help(entry.span(), || invalid_value_message(entry), help);
    }

    /// Adds an error if no line declares this service. A service that is declared but exceeds the
    /// maximum already has an error of its own.
    pub(super) fn add_if_undeclared(&mut self, service: &Name, declared: &BTreeSet<Arc<str>>) {
        if declared.contains(&service.text) {
            return;
        }
        let message = || format!("there is no service '{}'", service.text);
        let help = || suggest(&service.text, declared.iter().map(|name| &**name));
        self.add_with_help(service.span, message, help);
    }

    /// Adds an error for a repeated declaration. `first` is the position of the first one.
    pub(super) fn add_duplicate(&mut self, span: SourceSpan, message: &str, first: SourceSpan) {
        self.add(span, |errors| {
            let first_line = position(errors.source, first).line;
            Report {
                message: format!("{message}, first on line {first_line}"),
                help: None,
            }
        });
    }

    /// Moves the errors to the errors of the file. If any are not reported, adds their number as a
    /// final error.
    pub(super) fn finish(self, errors: &mut Vec<ConfigError>) {
        errors.extend(self.reported);
        if let Some(span) = self.last_span.filter(|_| self.unreported_count > 0) {
            let message = format!(
                "{} more errors in '{SECTION}' are not shown",
                self.unreported_count
            );
            errors.push(ConfigError::new(self.source, span, message));
        }
    }
}
