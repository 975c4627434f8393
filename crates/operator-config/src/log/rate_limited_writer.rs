//! A limit on the number of log lines per second.

use super::log_format::LogFormat;
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use tracing_subscriber::fmt::MakeWriter;

/// Provides a writer for each log line. Lines that exceed the limit within one second are dropped;
/// a line with their number is written before the first line of a later second.
pub struct RateLimitedWriter<W, C> {
    make_writer: W,
    format: LogFormat,
    max_lines_per_second: u32,
    now_s: C,
    current: Mutex<SecondCounts>,
}

/// The numbers of lines written and dropped in one second.
#[derive(Default)]
struct SecondCounts {
    /// The second, counted by the clock of the writer.
    number: u64,
    written_lines: u32,
    dropped_lines: u32,
}

impl<W, C: Fn() -> u64> RateLimitedWriter<W, C> {
    /// Returns a writer that writes each line to a writer from `make_writer`. `now_s` is the clock:
    /// it returns whole seconds since any fixed time.
    pub fn new(
        make_writer: W,
        format: LogFormat,
        max_lines_per_second: u32,
        now_s: C,
    ) -> RateLimitedWriter<W, C> {
        RateLimitedWriter {
            make_writer,
            format,
            max_lines_per_second,
            now_s,
            current: Mutex::default(),
        }
    }
}

/// The writer of one line; `None` if the line is dropped. Write errors are ignored, since the
/// program has to go on when its log cannot be written.
pub struct LineWriter<W>(Option<W>);

impl<W: Write> Write for LineWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(writer) = &mut self.0 {
            let _ = writer.write_all(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a line with the number of lines that were dropped in an earlier second.
fn write_dropped_count(mut writer: impl Write, format: LogFormat, lines: u32) {
    let _ = match format {
        LogFormat::Text => writeln!(writer, "roseyard: warn: log: {lines} lines dropped"),
        LogFormat::Json => writeln!(
            writer,
            "{{\"level\":\"WARN\",\"event\":\"log.dropped\",\"lines\":{lines},\"message\":\"log: {lines} lines dropped\"}}"
        ),
    };
}

impl<'a, W: Write, M: Fn() -> W + 'a, C: Fn() -> u64> MakeWriter<'a> for RateLimitedWriter<M, C> {
    type Writer = LineWriter<W>;

    fn make_writer(&'a self) -> Self::Writer {
        let mut second = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let number = (self.now_s)();
        if number != second.number {
            if second.dropped_lines > 0 {
                write_dropped_count((self.make_writer)(), self.format, second.dropped_lines);
            }
            *second = SecondCounts {
                number,
                ..SecondCounts::default()
            };
        }
        let is_within_limit = second.written_lines < self.max_lines_per_second;
        second.written_lines += u32::from(is_within_limit);
        second.dropped_lines += u32::from(!is_within_limit);
        LineWriter(is_within_limit.then(&self.make_writer))
    }
}
