//! Logs: tracing's events as lines on standard error, so many a second.

use std::fmt::{self, Write as _};
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

/// The form of lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// `roseyard: LEVEL: MESSAGE NAME=VALUE ...`.
    Text,
    /// One JSON object a line, with the event's fields.
    Json,
}

/// From now on events of the level info and above go to standard error. Does nothing if the process
/// logs already.
pub fn init(form: LogFormat, lines_a_second: u32) {
    let start = Instant::now();
    let out = Bounded::new(io::stderr, form, lines_a_second, move || {
        start.elapsed().as_secs()
    });
    let builder = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_writer(out);
    let _ = match form {
        LogFormat::Text => {
            tracing::subscriber::set_global_default(builder.event_format(Line).finish())
        }
        LogFormat::Json => {
            let json = builder.json().flatten_event(true).with_target(false);
            tracing::subscriber::set_global_default(json.finish())
        }
    };
}

fn word(level: tracing::Level) -> &'static str {
    match level {
        tracing::Level::ERROR => "error",
        tracing::Level::WARN => "warn",
        tracing::Level::INFO => "info",
        _ => "debug",
    }
}

/// Formats an event as a line of text: its message, then its fields as `name=value`. The field
/// `event`, a name for programs, stands in JSON alone.
struct Line;

/// The text of an event while its fields are visited.
#[derive(Default)]
struct LineText {
    message: String,
    fields: String,
}

impl LineText {
    fn record(&mut self, field: &Field, value: fmt::Arguments<'_>) {
        // Writing to a string cannot fail.
        let _ = match field.name() {
            "event" => Ok(()),
            "message" => self.message.write_fmt(value),
            name => write!(self.fields, " {name}={value}"),
        };
    }
}

impl Visit for LineText {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.record(field, format_args!("{value:?}"));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.record(field, format_args!("{value}"));
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static>
    FormatEvent<S, N> for Line
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut out: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut text = LineText::default();
        event.record(&mut text);
        let text = text.message + &text.fields;
        // Escaped, as a line feed in a value would make one event look like two.
        writeln!(
            out,
            "roseyard: {}: {}",
            word(*event.metadata().level()),
            text.replace('\n', "\\n")
        )
    }
}

/// A writer that takes so many lines a second; what goes beyond is counted and told with the next
/// second's first line.
pub struct Bounded<W, C> {
    make: W,
    form: LogFormat,
    most: u32,
    second: C,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    second: u64,
    written: u32,
    dropped: u32,
}

impl<W, C: Fn() -> u64> Bounded<W, C> {
    /// Writes to what `make` makes; `second` tells the present second.
    pub fn new(make: W, form: LogFormat, most: u32, second: C) -> Bounded<W, C> {
        Bounded {
            make,
            form,
            most,
            second,
            state: Mutex::default(),
        }
    }
}

/// One line's writer.
pub struct Out<W>(Option<W>);

impl<W: Write> Write for Out<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // A log that cannot be written must not stop the program: errors are passed over.
        if let Some(out) = &mut self.0 {
            let _ = out.write_all(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a, W: Write, M: Fn() -> W + 'a, C: Fn() -> u64> MakeWriter<'a> for Bounded<M, C> {
    type Writer = Out<W>;

    fn make_writer(&'a self) -> Self::Writer {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let second = (self.second)();
        if second != state.second {
            if state.dropped > 0 {
                let lost = state.dropped;
                let _ = match self.form {
                    LogFormat::Text => writeln!((self.make)(), "roseyard: warn: log: {lost} lines dropped"),
                    LogFormat::Json => writeln!(
                        (self.make)(),
                        "{{\"level\":\"WARN\",\"event\":\"log.dropped\",\"lines\":{lost},\"message\":\"log: {lost} lines dropped\"}}"
                    ),
                };
            }
            *state = State {
                second,
                ..State::default()
            };
        }
        let writes = state.written < self.most;
        state.written += u32::from(writes);
        state.dropped += u32::from(!writes);
        Out(writes.then(&self.make))
    }
}
