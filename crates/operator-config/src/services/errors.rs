//! Collects the errors of the section.

use super::limits::SECTION;
use super::lines::Name;
use crate::error::{position, ConfigError};
use crate::suggestion::suggest;
use crate::value_syntax::not_allowed;
use kdl::KdlEntry;
use miette::{NamedSource, SourceSpan};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Errors that are reported one by one; those beyond are counted.
const MAX_REPORTED_ERRORS: usize = 100;

/// What is wrong, and what would be right.
pub(super) struct Report {
    pub message: String,
    pub help: Option<String>,
}

/// The errors of the section so far. Reports are made for the first ones alone, as a long file may
/// have an error on each line.
pub(super) struct SectionErrors<'a> {
    source: &'a Arc<NamedSource<String>>,
    reported: Vec<ConfigError>,
    /// Errors beyond [`MAX_REPORTED_ERRORS`].
    unreported: usize,
    /// The place of an error, reported or not, that is the furthest on in the file.
    last_span: Option<SourceSpan>,
}

impl<'a> SectionErrors<'a> {
    /// No errors yet; `source` is the file's text.
    pub(super) fn new(source: &'a Arc<NamedSource<String>>) -> SectionErrors<'a> {
        SectionErrors {
            source,
            reported: Vec::new(),
            unreported: 0,
            last_span: None,
        }
    }

    /// Adds an error.
    pub(super) fn add(&mut self, span: SourceSpan, report: impl FnOnce(&Self) -> Report) {
        self.last_span = self
            .last_span
            .filter(|last| last.offset() > span.offset())
            .or(Some(span));
        if self.reported.len() >= MAX_REPORTED_ERRORS {
            self.unreported += 1;
            return;
        }
        let Report { message, help } = report(self);
        let error = ConfigError::new(self.source, span, message);
        self.reported.push(match help {
            Some(help) => error.with_help(help),
            None => error,
        });
    }

    /// Adds an error with its help.
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

    /// Adds an error without help.
    pub(super) fn add_message(&mut self, span: SourceSpan, message: impl FnOnce() -> String) {
        self.add(span, |_| Report {
            message: message(),
            help: None,
        });
    }

    /// Adds an error for a value that is not allowed for a line or property of this name.
    pub(super) fn add_not_allowed(
        &mut self,
        entry: &KdlEntry,
        name: &str,
        allowed: impl FnOnce() -> String,
    ) {
        let help = || format!("'{name}' takes {}", allowed());
        self.add_with_help(entry.span(), || not_allowed(entry), help);
    }

    /// Adds an error for a service that no line declares. Nothing is added for one that is declared
    /// but beyond the maximum, as that has an error of its own.
    pub(super) fn add_if_undeclared(&mut self, service: &Name, declared: &BTreeSet<Arc<str>>) {
        if declared.contains(&service.text) {
            return;
        }
        let message = || format!("there is no service '{}'", service.text);
        let help = || suggest(&service.text, declared.iter().map(|name| &**name));
        self.add_with_help(service.span, message, help);
    }

    /// Adds an error for what stands a second time.
    pub(super) fn add_duplicate(&mut self, span: SourceSpan, message: &str, first: SourceSpan) {
        self.add(span, |errors| {
            let first_line = position(errors.source, first).line;
            Report {
                message: format!("{message}, first on line {first_line}"),
                help: None,
            }
        });
    }

    /// Moves the errors to those of the file.
    pub(super) fn finish(self, errors: &mut Vec<ConfigError>) {
        errors.extend(self.reported);
        if let Some(span) = self.last_span.filter(|_| self.unreported > 0) {
            let message = format!("and {} mistakes more in '{SECTION}'", self.unreported);
            errors.push(ConfigError::new(self.source, span, message));
        }
    }
}
