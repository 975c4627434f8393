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
pub enum Form {
    /// `roseyard: LEVEL: TEXT`.
    Text,
    /// One JSON object a line, with the event's fields.
    Json,
}

/// From now on events of the level info and above go to standard error. Does nothing if the process
/// logs already.
pub fn init(form: Form, lines_a_second: u32) {
    let start = Instant::now();
    let out = Bounded::new(io::stderr, form, lines_a_second, move || {
        start.elapsed().as_secs()
    });
    let builder = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_writer(out);
    let _ = match form {
        Form::Text => tracing::subscriber::set_global_default(builder.event_format(Line).finish()),
        Form::Json => {
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

/// A line of text: the message tells what the fields tell.
struct Line;

struct Message<'a>(&'a mut String);

impl Visit for Message<'_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            // A string takes in whatever is written.
            let _ = write!(self.0, "{value:?}");
        }
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
        let mut text = String::new();
        event.record(&mut Message(&mut text));
        // Guards against a line that passes for several.
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
    form: Form,
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
    pub fn new(make: W, form: Form, most: u32, second: C) -> Bounded<W, C> {
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
                    Form::Text => writeln!((self.make)(), "roseyard: warn: log: {lost} lines dropped"),
                    Form::Json => writeln!(
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
