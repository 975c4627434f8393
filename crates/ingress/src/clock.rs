//! The one clock: monotonic, and comparable with the platform's Unix times.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Times are counted from a day before the start: the module keeps them in seconds as
/// floating-point numbers, whose grain is finest for small ones, and holds no time beyond 10^9 s,
/// which Unix times are.
const BEFORE_START: Duration = Duration::from_secs(24 * 3600);

/// Time since an epoch a day before the start. The Unix clock is read once, so it never steps back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    epoch: Duration,
}

impl Clock {
    /// Anchors the clock to the Unix time of this moment.
    pub fn start() -> Clock {
        Clock::anchored(
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or(BEFORE_START),
        )
    }

    /// A clock whose present moment is this Unix time.
    pub fn anchored(unix: Duration) -> Clock {
        Clock {
            start: Instant::now(),
            epoch: unix.saturating_sub(BEFORE_START),
        }
    }

    /// The present time.
    pub fn now(&self) -> Duration {
        BEFORE_START + self.start.elapsed()
    }

    /// A Unix time in milliseconds on this clock; what lies over a day before the start is long
    /// ago.
    pub fn from_unix_ms(&self, ms: f64) -> Option<Duration> {
        let unix = Duration::try_from_secs_f64(ms / 1000.0).ok()?;
        unix.checked_sub(self.epoch).filter(|d| !d.is_zero())
    }
}
