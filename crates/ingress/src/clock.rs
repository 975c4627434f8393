//! The monotonic clock of the process, to which the platform's Unix times can be converted.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock's value when it is started. Unix times cannot be used, because the decision crate
/// stores times as floating-point seconds, whose resolution is finest for small values, and cannot
/// represent times above 10^9 s. An offset of one day leaves room for times before the start.
const START_OFFSET: Duration = Duration::from_secs(24 * 3600);

/// Measures the time since an epoch that lies one day before the start. Reads the Unix clock only
/// once, so adjustments of that clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    epoch_unix_time: Duration,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Clock {
        Clock::at_unix_time(
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or(START_OFFSET),
        )
    }

    /// Starts a clock for which the current Unix time is `unix`, so that tests can choose it.
    pub fn at_unix_time(unix: Duration) -> Clock {
        Clock {
            start: Instant::now(),
            epoch_unix_time: unix.saturating_sub(START_OFFSET),
        }
    }

    /// Returns the time since the clock's epoch.
    pub fn now(&self) -> Duration {
        START_OFFSET + self.start.elapsed()
    }

    /// Converts a Unix time in milliseconds to this clock. Returns `None` for times that are not
    /// later than the clock's epoch, one day before the start.
    pub fn from_unix_ms(&self, unix_ms: f64) -> Option<Duration> {
        let unix = Duration::try_from_secs_f64(unix_ms / 1000.0).ok()?;
        unix.checked_sub(self.epoch_unix_time)
            .filter(|d| !d.is_zero())
    }
}
