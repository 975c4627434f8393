//! The generic cell rate algorithm (ITU-T I.371, virtual scheduling form): a rate with a burst,
//! kept as one time.

use std::time::Duration;

/// Events a second, and how many may come at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Events a second in the long run; above 0.
    pub per_second: f64,
    /// Events that may come at once after a rest; at least 1.
    pub burst: f64,
}

/// The state of the algorithm: the theoretical arrival time, when the next event would come if all
/// had come evenly, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gcra(u64);

impl Gcra {
    /// Takes an event in, or says how long it would have to wait; what is turned away takes
    /// nothing.
    pub fn take(&mut self, now: Duration, rate: Rate) -> Result<(), Duration> {
        let now = now.as_micros() as u64;
        let step = (1e6 / rate.per_second).clamp(1.0, 1e12) as u64;
        let room = (step as f64 * (rate.burst.max(1.0) - 1.0)) as u64;
        let due = self.0.max(now);
        match due - now {
            early if early <= room => {
                self.0 = due + step;
                Ok(())
            }
            early => Err(Duration::from_micros(early - room)),
        }
    }
}
