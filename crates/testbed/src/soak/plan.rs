//! The plan of a soak: a pseudo-random sequence of signals that its seed determines.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// The time of the first series of signals.
const FIRST_SERIES_AT: Duration = Duration::from_millis(500);
/// The time between the starts of two series.
const SERIES_INTERVAL_MS: Range<u64> = 200..1500;
/// The minimum time between the start of a series and the end of the soak, so that the series
/// completes.
const MIN_TIME_AFTER_SERIES_START: Duration = Duration::from_millis(4500);
/// The time after which a member that was told to exit is running again.
const MAX_RESTART_TIME: Duration = Duration::from_millis(5500);
/// The time after which a member whose process was killed is running again.
const MAX_CRASH_RECOVERY_TIME: Duration = Duration::from_millis(1500);
/// The upper bound of the time for which a process is paused: the platform's own bound.
const MAX_PAUSE_MS: u64 = 150;
/// The time from SIGTERM to each further signal of the same series.
const FOLLOW_UP_DELAY_MS: Range<u64> = 0..3000;
/// The time between two reloads of a series, and from a reload to a following SIGTERM.
const RELOAD_INTERVAL_MS: Range<u64> = 0..60;

/// A signal to the process of a daemon, or a restart that uses signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakSignal {
    /// SIGHUP, which reloads the configuration.
    Reload,
    /// SIGTERM, followed by SIGKILL at the earliest time that the protocol allows if the process
    /// has not exited. Then a new process is started.
    Restart,
    /// A further SIGTERM to a process that is shutting down.
    TerminateAgain,
    /// SIGINT to a process that is shutting down.
    Interrupt,
    /// SIGSTOP, which pauses the process.
    Pause,
    /// SIGCONT, which resumes a paused process.
    Resume,
    /// SIGKILL without a preceding SIGTERM. A new process is started shortly after.
    Crash,
}

/// One signal of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedSignal {
    /// The time since the start of the soak at which the signal is sent.
    pub at: Duration,
    /// The number of the daemon that receives the signal.
    pub member: usize,
    /// The signal to send.
    pub signal: SoakSignal,
}

/// Returns the signals of a soak of this length, sorted by time. The same arguments give the same
/// plan.
#[must_use]
pub fn plan(seed: u64, members: usize, length: Duration) -> Vec<PlannedSignal> {
    let mut planner = Planner {
        random: StdRng::seed_from_u64(seed),
        signals: Vec::new(),
        idle_from: vec![Duration::ZERO; members],
    };
    let mut at = FIRST_SERIES_AT;
    while at + MIN_TIME_AFTER_SERIES_START < length {
        planner.add_series(at);
        at += planner.random_duration(SERIES_INTERVAL_MS);
    }
    planner.signals.sort_by_key(|planned| planned.at);
    planner.signals
}

struct Planner {
    random: StdRng,
    signals: Vec<PlannedSignal>,
    /// The time at which the latest series of each member is over.
    idle_from: Vec<Duration>,
}

impl Planner {
    fn random_duration(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn add(&mut self, at: Duration, member: usize, signal: SoakSignal) {
        self.signals.push(PlannedSignal { at, member, signal });
    }

    /// Adds a series of signals to a random member, unless an earlier series of that member is not
    /// over yet.
    fn add_series(&mut self, at: Duration) {
        let member = self.random.random_range(0..self.idle_from.len());
        if self.idle_from[member] > at {
            return;
        }
        let series_duration = match self.random.random_range(0..10) {
            0..5 => self.add_restart(at, member),
            5..7 => self.add_reloads(at, member),
            7..9 => self.add_pause(at, member),
            _ => self.add_crash(at, member),
        };
        self.idle_from[member] = at + series_duration;
    }

    fn add_restart(&mut self, at: Duration, member: usize) -> Duration {
        if self.random.random_bool(0.3) {
            let before = self.random_duration(RELOAD_INTERVAL_MS);
            self.add(at.saturating_sub(before), member, SoakSignal::Reload);
        }
        self.add(at, member, SoakSignal::Restart);
        for signal in [
            SoakSignal::TerminateAgain,
            SoakSignal::Interrupt,
            SoakSignal::Reload,
        ] {
            if self.random.random_bool(0.3) {
                let after = self.random_duration(FOLLOW_UP_DELAY_MS);
                self.add(at + after, member, signal);
            }
        }
        if self.random.random_bool(0.3) {
            let after = self.random_duration(FOLLOW_UP_DELAY_MS);
            self.add_pause(at + after, member);
        }
        MAX_RESTART_TIME
    }

    fn add_reloads(&mut self, at: Duration, member: usize) -> Duration {
        let count = self.random.random_range(1..6);
        let mut after = Duration::ZERO;
        for _ in 0..count {
            self.add(at + after, member, SoakSignal::Reload);
            after += self.random_duration(RELOAD_INTERVAL_MS);
        }
        after
    }

    fn add_pause(&mut self, at: Duration, member: usize) -> Duration {
        let length = self.random_duration(1..MAX_PAUSE_MS);
        self.add(at, member, SoakSignal::Pause);
        self.add(at + length, member, SoakSignal::Resume);
        length
    }

    fn add_crash(&mut self, at: Duration, member: usize) -> Duration {
        self.add(at, member, SoakSignal::Crash);
        MAX_CRASH_RECOVERY_TIME
    }
}
