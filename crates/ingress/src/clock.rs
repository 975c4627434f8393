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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unix_times_compare_with_the_clock_and_stay_small() {
        let clock = Clock::anchored(Duration::from_millis(1_800_000_000_000));
        let now = clock.now();
        let five_s_ago = clock.from_unix_ms(1_799_999_995_000.0).unwrap();
        let age = now - five_s_ago;
        assert!(
            age >= Duration::from_secs(5) && age < Duration::from_secs(65),
            "{age:?}"
        );
        assert!(
            now < Duration::from_secs(1_000_000),
            "the module's seconds keep their grain"
        );
        assert_eq!(clock.from_unix_ms(0.0), None, "0 is long ago");
        assert_eq!(clock.from_unix_ms(1_799_000_000_000.0), None);
        assert_eq!(clock.from_unix_ms(f64::NAN), None);
    }
}
