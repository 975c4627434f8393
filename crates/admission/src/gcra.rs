//! Rate limits with a burst: the generic cell rate algorithm (GCRA; ITU-T I.371, virtual scheduling
//! form), which keeps its state in one time.

use std::time::Duration;

/// The limit of a rate limiter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Events a second in the long run; above 0.
    pub per_second: f64,
    /// Events that may come at once after a pause; less than 1 counts as 1.
    pub burst: f64,
}

/// The state of a rate limiter: the theoretical arrival time, in microseconds. It is the time at
/// which the next event would come if all events so far had come evenly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gcra(u64);

impl Gcra {
    /// Admits an event at `now` under `rate`.
    ///
    /// # Errors
    ///
    /// The time after which the event would be admitted, if it is beyond the rate and its burst. An
    /// event that is not admitted does not count.
    pub fn take(&mut self, now: Duration, rate: Rate) -> Result<(), Duration> {
        let now_us = now.as_micros() as u64;
        let interval_us = (1e6 / rate.per_second).clamp(1.0, 1e12) as u64;
        let tolerance_us = (interval_us as f64 * (rate.burst.max(1.0) - 1.0)) as u64;
        let arrival_us = self.0.max(now_us);
        let early_us = arrival_us - now_us;
        if early_us > tolerance_us {
            return Err(Duration::from_micros(early_us - tolerance_us));
        }
        self.0 = arrival_us + interval_us;
        Ok(())
    }
}
