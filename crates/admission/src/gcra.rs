//! Rate limiting by the generic cell rate algorithm (GCRA; ITU-T I.371, virtual scheduling form),
//! whose only state is one timestamp.

use std::time::Duration;

/// The rate and the burst that a rate limiter allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// The sustained number of events per second; must be greater than 0.
    pub per_second: f64,
    /// The number of events that are admitted at once after a pause; values below 1 count as 1.
    pub burst: f64,
}

/// The state of a rate limiter: the theoretical arrival time in microseconds, which is when the
/// next event would arrive if events were evenly spaced at the rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gcra(u64);

impl Gcra {
    /// Admits an event at `now` if it conforms to `rate`.
    ///
    /// # Errors
    ///
    /// Returns the time after which the event would be admitted, if it exceeds the rate and the
    /// burst. An event that is not admitted leaves the state unchanged.
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
