//! The formats of log lines, and the limit on their number per second.

use roseyard_operator_config::log::{subscriber, LogFormat, RateLimitedWriter};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tracing_subscriber::fmt::MakeWriter;

/// Collects the output of all its clones.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Output {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns what these events write to the log.
fn log_output(format: LogFormat, log_events: impl FnOnce()) -> String {
    let output = Output::default();
    let writer = output.clone();
    let subscriber = subscriber(format, move || writer.clone());
    tracing::subscriber::with_default(subscriber, log_events);
    output.text()
}

#[test]
fn a_text_line_has_level_and_message_and_fields_but_not_the_event_name() {
    let text = log_output(LogFormat::Text, || {
        let address = std::net::Ipv4Addr::LOCALHOST;
        tracing::info!(event = "test.info", count = 3, %address, text = "a b", debug = ?Some("x"), "it happened");
        tracing::warn!(event = "test.warn", "no fields");
        tracing::error!(
            event = "test.error",
            ratio = 0.5,
            is_on = true,
            "number {}",
            7
        );
        tracing::error!(only = "fields");
    });
    assert_eq!(
        text,
        "roseyard: info: it happened count=3 address=127.0.0.1 text=a b debug=Some(\"x\")\n\
        roseyard: warn: no fields\n\
        roseyard: error: number 7 ratio=0.5 is_on=true\n\
        roseyard: error:  only=fields\n"
    );
}

#[test]
fn line_feeds_in_a_text_line_are_escaped() {
    let text = log_output(LogFormat::Text, || {
        tracing::warn!(
            event = "test.lines",
            error = "first\nsecond",
            "message\nof two lines"
        );
    });
    assert_eq!(
        text,
        "roseyard: warn: message\\nof two lines error=first\\nsecond\n"
    );
}

#[test]
fn events_below_the_level_info_are_not_logged() {
    for format in [LogFormat::Text, LogFormat::Json] {
        let text = log_output(format, || {
            tracing::debug!(event = "test.debug", "debug");
            tracing::trace!(event = "test.trace", "trace");
        });
        assert_eq!(text, "");
    }
}

#[test]
fn a_json_line_has_the_event_name_and_all_fields() {
    let text = log_output(LogFormat::Json, || {
        tracing::info!(event = "test.json", count = 3, "two\nlines");
    });
    assert_eq!(text.lines().count(), 1, "{text}");
    for part in [
        "\"level\":\"INFO\"",
        "\"event\":\"test.json\"",
        "\"count\":3",
        "\"message\":\"two\\nlines\"",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    assert!(!text.contains("\"target\""), "{text}");
}

/// Returns the output of ten lines in one second and one line in the next, at a limit of three
/// lines per second.
fn rate_limited_output(format: LogFormat) -> String {
    let output = Output::default();
    let writer = output.clone();
    let now_s = Arc::new(AtomicU64::new(7));
    let clock = Arc::clone(&now_s);
    let limited = RateLimitedWriter::new(
        move || writer.clone(),
        format,
        3,
        move || clock.load(Ordering::SeqCst),
    );
    for n in 0..10 {
        writeln!(limited.make_writer(), "{n}").unwrap();
    }
    now_s.store(8, Ordering::SeqCst);
    writeln!(limited.make_writer(), "next").unwrap();
    output.text()
}

#[test]
fn log_lines_beyond_the_limit_are_counted_in_the_next_second() {
    assert_eq!(
        rate_limited_output(LogFormat::Text),
        "0\n1\n2\nroseyard: warn: log: 7 lines dropped\nnext\n"
    );
    assert_eq!(
        rate_limited_output(LogFormat::Json),
        "0\n1\n2\n{\"level\":\"WARN\",\"event\":\"log.dropped\",\"lines\":7,\
        \"message\":\"log: 7 lines dropped\"}\nnext\n"
    );
}
