//! What is wrong with a file, with its place and what is allowed.

use miette::{
    Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceSpan,
};
use std::fmt;
use std::sync::Arc;

/// One thing that is wrong.
#[derive(Clone, Debug)]
pub struct ConfigError {
    source: Arc<NamedSource<String>>,
    /// Where it stands, in bytes.
    span: SourceSpan,
    what: String,
    help: Option<String>,
}

impl ConfigError {
    pub(crate) fn new(
        source: &Arc<NamedSource<String>>,
        span: SourceSpan,
        what: String,
    ) -> ConfigError {
        ConfigError {
            source: Arc::clone(source),
            span,
            what,
            help: None,
        }
    }

    pub(crate) fn help(mut self, help: impl Into<String>) -> ConfigError {
        self.help = Some(help.into());
        self
    }

    /// Line and column, both from 1; a column counts characters.
    pub fn place(&self) -> (usize, usize) {
        place(self.source.inner(), self.span.offset())
    }

    /// What is wrong.
    pub fn what(&self) -> &str {
        &self.what
    }
}

pub(crate) fn place(text: &str, offset: usize) -> (usize, usize) {
    let end = (0..=offset.min(text.len()))
        .rev()
        .find(|at| text.is_char_boundary(*at))
        .unwrap_or(0);
    let before = &text[..end];
    let line = before.bytes().filter(|b| *b == b'\n').count() + 1;
    (
        line,
        before.rsplit('\n').next().unwrap_or("").chars().count() + 1,
    )
}

impl fmt::Display for ConfigError {
    /// `FILE:LINE:COLUMN: WHAT`, on one line.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (line, column) = self.place();
        write!(f, "{}:{line}:{column}: {}", self.source.name(), self.what)?;
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
        Some(Box::new(std::iter::once(LabeledSpan::new_with_span(
            None, self.span,
        ))))
    }
}

/// All that is wrong with a file, in its order.
#[derive(Clone, Debug)]
pub struct ConfigErrors(pub(crate) Vec<ConfigError>);

impl ConfigErrors {
    /// The mistakes.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigError> {
        self.0.iter()
    }

    /// Each on a line of its own.
    pub fn lines(&self) -> Vec<String> {
        self.0.iter().map(ConfigError::to_string).collect()
    }

    /// With the lines of the file that they stand on, for a terminal.
    pub fn report(&self) -> String {
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
        let mut out = String::new();
        for mistake in &self.0 {
            // What cannot be drawn is at least said.
            if handler.render_report(&mut out, mistake).is_err() {
                out.push_str(&mistake.to_string());
            }
            out.push('\n');
        }
        out
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.lines().join(" | "))
    }
}

impl std::error::Error for ConfigErrors {}

/// So many words are listed where none is like the one that was written.
const MOST_LISTED: usize = 64;

/// The likeliest word, or those that there are.
pub(crate) fn hint<'a>(word: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
    let near = |k: &&str| strsim::jaro_winkler(word, k);
    let best = known.clone().max_by(|a, b| near(a).total_cmp(&near(b)));
    if let Some(best) = best.filter(|best| near(best) >= 0.75) {
        return format!("did you mean '{best}'?");
    }
    let mut all: Vec<&str> = known.collect();
    all.dedup();
    match all.len().saturating_sub(MOST_LISTED) {
        0 => format!("there are {}", all.join(", ")),
        more => format!(
            "there are {} and {more} more",
            all[..MOST_LISTED].join(", ")
        ),
    }
}
