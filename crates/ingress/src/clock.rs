//! The one clock: monotonic, and comparable with the platform's Unix times.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Times are counted from a day before the start: the module keeps them in seconds as
/// floating-point numbers, whose grain is finest for small ones, and holds no time beyond 10^9 s,
/// which Unix times are.
const START_OFFSET: Duration = Duration::from_secs(24 * 3600);

/// Time since an epoch a day before the start. The Unix clock is read once, so it never steps back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    epoch_unix_time: Duration,
}

impl Clock {
    /// Anchors the clock to the Unix time of this moment.
    pub fn start() -> Clock {
        Clock::at_unix_time(
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or(START_OFFSET),
        )
    }

    /// A clock whose present moment is this Unix time.
    pub fn at_unix_time(unix: Duration) -> Clock {
        Clock {
            start: Instant::now(),
            epoch_unix_time: unix.saturating_sub(START_OFFSET),
        }
    }

    /// The present time.
    pub fn now(&self) -> Duration {
        START_OFFSET + self.start.elapsed()
    }

    /// A Unix time in milliseconds on this clock; what lies over a day before the start is long
    /// ago.
    pub fn from_unix_ms(&self, unix_ms: f64) -> Option<Duration> {
        let unix = Duration::try_from_secs_f64(unix_ms / 1000.0).ok()?;
        unix.checked_sub(self.epoch_unix_time)
            .filter(|d| !d.is_zero())
    }
}
