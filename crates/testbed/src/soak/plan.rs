//! The signals of a soak, drawn from its seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

const FIRST_SIGNAL: Duration = Duration::from_millis(500);
/// Time between the beginnings of two series, in milliseconds.
const GAP_MS: Range<u64> = 200..1500;
/// A series that begins later than this before the end would not be over by then.
const LAST_SERIES: Duration = Duration::from_millis(4500);
/// A member that was told to end is back by then.
const RESTART_TIME: Duration = Duration::from_millis(5500);
/// A member whose process was killed is back by then.
const CRASH_TIME: Duration = Duration::from_millis(1500);
/// Longest time that a process is held up, in milliseconds: the platform's own bound.
const MAX_PAUSE_MS: u64 = 150;
/// Time from SIGTERM to a further signal of its series, in milliseconds.
const FOLLOW_UP_MS: Range<u64> = 0..3000;
/// Time between two signals of a series of reloads, in milliseconds.
const RELOAD_GAP_MS: Range<u64> = 0..60;

/// What is done to a daemon's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakSignal {
    /// SIGHUP.
    Reload,
    /// SIGTERM, and SIGKILL at the earliest time that the protocol allows; then a new process.
    Restart,
    /// One more SIGTERM to a process that ends.
    TerminateAgain,
    /// SIGINT to a process that ends.
    Interrupt,
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// SIGKILL without a warning; a new process soon after.
    Crash,
}

/// One signal of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedSignal {
    /// When it is sent, since the start.
    pub at: Duration,
    /// To which daemon.
    pub member: usize,
    /// The signal.
    pub signal: SoakSignal,
}

/// The signals of a soak of this length, in the order of their times. The same seed gives the same
/// plan.
#[must_use]
pub fn plan(seed: u64, members: usize, length: Duration) -> Vec<PlannedSignal> {
    let mut planner = Planner {
        random: StdRng::seed_from_u64(seed),
        signals: Vec::new(),
        free_at: vec![Duration::ZERO; members],
    };
    let mut at = FIRST_SIGNAL;
    while at + LAST_SERIES < length {
        planner.add_series(at);
        at += planner.milliseconds(GAP_MS);
    }
    planner.signals.sort_by_key(|planned| planned.at);
    planner.signals
}

struct Planner {
    random: StdRng,
    signals: Vec<PlannedSignal>,
    /// When each member's last series is over.
    free_at: Vec<Duration>,
}

impl Planner {
    fn milliseconds(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn add(&mut self, at: Duration, member: usize, signal: SoakSignal) {
        self.signals.push(PlannedSignal { at, member, signal });
    }

    /// One series of signals to a member that has none; nothing if the drawn one is busy.
    fn add_series(&mut self, at: Duration) {
        let member = self.random.random_range(0..self.free_at.len());
        if self.free_at[member] > at {
            return;
        }
        let over_after = match self.random.random_range(0..10) {
            0..5 => self.add_restart(at, member),
            5..7 => self.add_reloads(at, member),
            7..9 => self.add_pause(at, member),
            _ => self.add_crash(at, member),
        };
        self.free_at[member] = at + over_after;
    }

    fn add_restart(&mut self, at: Duration, member: usize) -> Duration {
        if self.random.random_bool(0.3) {
            let before = self.milliseconds(RELOAD_GAP_MS);
            self.add(at.saturating_sub(before), member, SoakSignal::Reload);
        }
        self.add(at, member, SoakSignal::Restart);
        for signal in [
            SoakSignal::TerminateAgain,
            SoakSignal::Interrupt,
            SoakSignal::Reload,
        ] {
            if self.random.random_bool(0.3) {
                let after = self.milliseconds(FOLLOW_UP_MS);
                self.add(at + after, member, signal);
            }
        }
        if self.random.random_bool(0.3) {
            let after = self.milliseconds(FOLLOW_UP_MS);
            self.add_pause(at + after, member);
        }
        RESTART_TIME
    }

    fn add_reloads(&mut self, at: Duration, member: usize) -> Duration {
        let count = self.random.random_range(1..6);
        let mut after = Duration::ZERO;
        for _ in 0..count {
            self.add(at + after, member, SoakSignal::Reload);
            after += self.milliseconds(RELOAD_GAP_MS);
        }
        after
    }

    fn add_pause(&mut self, at: Duration, member: usize) -> Duration {
        let length = self.milliseconds(1..MAX_PAUSE_MS);
        self.add(at, member, SoakSignal::Pause);
        self.add(at + length, member, SoakSignal::Resume);
        length
    }

    fn add_crash(&mut self, at: Duration, member: usize) -> Duration {
        self.add(at, member, SoakSignal::Crash);
        CRASH_TIME
    }
}
