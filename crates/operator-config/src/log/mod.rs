//! Logging: events of `tracing` are written as lines to standard error, up to a limit per second.

mod log_format;
mod rate_limited_writer;
mod text_format;

use std::io;
use std::time::Instant;
use tracing::Subscriber;
use tracing_subscriber::fmt::MakeWriter;

pub use log_format::LogFormat;
pub use rate_limited_writer::{LineWriter, RateLimitedWriter};

/// Installs the subscriber of the process, which writes events of the level info and above to
/// standard error, up to `max_lines_per_second`. Has no effect if a subscriber is already
/// installed.
pub fn init(format: LogFormat, max_lines_per_second: u32) {
    let start = Instant::now();
    let now_s = move || start.elapsed().as_secs();
    let writer = RateLimitedWriter::new(io::stderr, format, max_lines_per_second, now_s);
    let _ = tracing::subscriber::set_global_default(subscriber(format, writer));
}

/// Returns a subscriber that writes events of the level info and above as lines of this format.
pub fn subscriber<W>(format: LogFormat, make_writer: W) -> Box<dyn Subscriber + Send + Sync>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let builder = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_writer(make_writer);
    match format {
        LogFormat::Text => Box::new(builder.event_format(text_format::TextFormat).finish()),
        LogFormat::Json => {
            let builder = builder.json().flatten_event(true).with_target(false);
            Box::new(builder.finish())
        }
    }
}
