//! A limit on the number of log lines a second.

use super::log_format::LogFormat;
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use tracing_subscriber::fmt::MakeWriter;

/// Makes a writer for each line. Lines beyond the limit of their second are dropped; a line with
/// their number precedes the first line of a later second.
pub struct RateLimitedWriter<W, C> {
    make_writer: W,
    format: LogFormat,
    max_lines_per_second: u32,
    now_s: C,
    current: Mutex<Second>,
}

/// The lines of one second.
#[derive(Default)]
struct Second {
    number: u64,
    written_lines: u32,
    dropped_lines: u32,
}

impl<W, C: Fn() -> u64> RateLimitedWriter<W, C> {
    /// Writes to the writers that `make_writer` makes; `now_s` is the clock, in whole seconds.
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

/// The writer of one line; none if the line is dropped. Errors are ignored, as a log that cannot be
/// written must not stop the program.
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

fn write_dropped(mut writer: impl Write, format: LogFormat, lines: u32) {
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
                write_dropped((self.make_writer)(), self.format, second.dropped_lines);
            }
            *second = Second {
                number,
                ..Second::default()
            };
        }
        let is_within_limit = second.written_lines < self.max_lines_per_second;
        second.written_lines += u32::from(is_within_limit);
        second.dropped_lines += u32::from(!is_within_limit);
        LineWriter(is_within_limit.then(&self.make_writer))
    }
}
