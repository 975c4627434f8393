//! The text format of log lines.

use std::fmt::{self, Write};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Formats an event as one line: the level, the message and the fields as `NAME=VALUE`. Omits the
/// field `event`, which is meant for programs and written in the JSON format only.
pub(super) struct TextFormat;

fn level_name(level: Level) -> &'static str {
    match level {
        Level::ERROR => "error",
        Level::WARN => "warn",
        Level::INFO => "info",
        _ => "debug",
    }
}

/// Collects the message and the formatted fields of an event while its fields are visited.
#[derive(Default)]
struct EventText {
    message: String,
    fields: String,
}

impl EventText {
    fn record(&mut self, field: &Field, value: fmt::Arguments<'_>) {
        // Writing to a string never fails.
        let _ = match field.name() {
            "event" => Ok(()),
            "message" => self.message.write_fmt(value),
            name => write!(self.fields, " {name}={value}"),
        };
    }
}

impl Visit for EventText {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.record(field, format_args!("{value:?}"));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.record(field, format_args!("{value}"));
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static>
    FormatEvent<S, N> for TextFormat
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut text = EventText::default();
        event.record(&mut text);
        let level = level_name(*event.metadata().level());
        // A line feed in a value is escaped. Otherwise one event could look like two.
        let line = (text.message + &text.fields).replace('\n', "\\n");
        writeln!(writer, "roseyard: {level}: {line}")
    }
}
