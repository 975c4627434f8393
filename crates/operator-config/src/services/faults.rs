//! Mistakes of the section as they are found.

use super::reader::Named;
use super::SECTION;
use crate::error::{hint, ConfigError};
use kdl::KdlEntry;
use miette::{NamedSource, SourceSpan};
use std::collections::BTreeSet;
use std::sync::Arc;

/// So many mistakes are told one by one; those beyond are counted.
const MOST_MISTAKES: usize = 100;

/// Mistakes as they are found. What they say is worked out for the first ones alone: a long file
/// may hold a mistake on each line.
pub(super) struct Faults<'a> {
    source: &'a Arc<NamedSource<String>>,
    found: Vec<ConfigError>,
    /// Those beyond [`MOST_MISTAKES`].
    more: usize,
    /// The place of all of them that is the furthest on in the file.
    last: Option<SourceSpan>,
}

impl<'a> Faults<'a> {
    /// None yet, of a file with this text.
    pub(super) fn new(source: &'a Arc<NamedSource<String>>) -> Faults<'a> {
        Faults {
            source,
            found: Vec::new(),
            more: 0,
            last: None,
        }
    }

    pub(super) fn add(
        &mut self,
        span: SourceSpan,
        say: impl FnOnce(&Self) -> (String, Option<String>),
    ) {
        self.last = self
            .last
            .filter(|last| last.offset() > span.offset())
            .or(Some(span));
        if self.found.len() >= MOST_MISTAKES {
            self.more += 1;
            return;
        }
        let (what, help) = say(self);
        let mistake = ConfigError::new(self.source, span, what);
        self.found.push(match help {
            Some(help) => mistake.help(help),
            None => mistake,
        });
    }

    /// One without a hint.
    pub(super) fn plain(&mut self, span: SourceSpan, what: impl FnOnce() -> String) {
        self.add(span, |_| (what(), None));
    }

    /// A value that may not stand there.
    pub(super) fn not_allowed(
        &mut self,
        entry: &KdlEntry,
        name: &str,
        allowed: impl FnOnce() -> String,
    ) {
        self.add(entry.span(), |_| {
            let shown = entry.value().as_string().map(|text| format!("{text:?}"));
            let shown = shown.unwrap_or_else(|| entry.value().to_string());
            (
                format!("{shown} is not allowed here"),
                Some(format!("'{name}' takes {}", allowed())),
            )
        });
    }

    /// A service that the directory lacks is unknown, unless it is one beyond the bound, which was
    /// named.
    pub(super) fn check_service(&mut self, named: &Named, declared: &BTreeSet<Arc<str>>) {
        if !declared.contains(&named.name) {
            let known = declared.iter().map(|name| &**name);
            let what = format!("there is no service '{}'", named.name);
            self.add(named.span, |_| (what, Some(hint(&named.name, known))));
        }
    }

    /// What stands there a second time.
    pub(super) fn twice(&mut self, what: &str, span: SourceSpan, first: SourceSpan) {
        self.add(span, |faults| {
            (
                format!("{what}, first on line {}", faults.line(first)),
                None,
            )
        });
    }

    fn line(&self, span: SourceSpan) -> usize {
        ConfigError::new(self.source, span, String::new()).place().0
    }

    pub(super) fn finish(self, wrong: &mut Vec<ConfigError>) {
        wrong.extend(self.found);
        if let Some(span) = self.last.filter(|_| self.more > 0) {
            let what = format!("and {} mistakes more in '{SECTION}'", self.more);
            wrong.push(ConfigError::new(self.source, span, what));
        }
    }
}
