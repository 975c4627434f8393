//! How likely a connection that has rested is to be dead when the next request is written to it.
//!
//! A server may close a connection that rests long before the time in the settings, and its end may
//! reach us only after the next request was written: that request has then failed, and may have
//! run. Nothing announces it, so it is learned from what became of the requests: by the time that
//! the connection had rested, against what becomes of requests on new connections. Resets that fall
//! on both alike cost the comparison nothing.

use std::time::Duration;

/// Rests are told apart by their doubling from here on; shorter ones are one kind.
const FIRST: Duration = Duration::from_millis(20);
const RESTS: usize = 12;
/// What is known fades over so long: what was held to be dead is tried again after some of these,
/// at the cost of a few requests, and servers that have mended are found out.
const FADES: f64 = 10.0;
/// What is known of the next shorter rest weighs as so many requests: guards against one reset
/// among few requests.
const NEIGHBOUR: f64 = 8.0;
/// A rested connection is passed over for a new one if it is likelier to fail by more than this:
/// for requests that must not be sent twice, and for those that may, which lose only the time of
/// one more attempt.
const BEAR_ONCE: f64 = 0.05;
const BEAR_REPEATABLE: f64 = 0.15;

/// Requests of one kind, fading.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    all: f64,
    reset: f64,
}

/// What is to be done with a connection that has rested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnectionUse {
    /// Write to it.
    Reuse,
    /// Leave it to requests that may be sent twice.
    Leave,
    /// Close it, and each that has rested longer.
    Close,
}

/// What has been learned of connections that rest. A fixed number of figures, whatever the number
/// of servers.
#[derive(Clone, Debug, Default)]
pub struct IdleConnectionRisk {
    /// On new connections, then by rest.
    seen: [Seen; RESTS + 1],
    at: Duration,
}

/// Which figure a rest falls to.
fn kind(rest: Duration) -> usize {
    let doublings = (rest.as_secs_f64() / FIRST.as_secs_f64()).max(1.0).log2();
    1 + (doublings as usize).min(RESTS - 1)
}

impl IdleConnectionRisk {
    /// What is left by now of what was known when something was last told.
    fn fade(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / FADES).exp()
    }

    /// Tells what became of a request at this time: on a connection that had rested so long, or on
    /// a new one; and whether the connection broke after it was written.
    pub fn told(&mut self, rest: Option<Duration>, reset: bool, now: Duration) {
        let fade = self.fade(now);
        self.at = self.at.max(now);
        for seen in &mut self.seen {
            (seen.all, seen.reset) = (seen.all * fade, seen.reset * fade);
        }
        let seen = &mut self.seen[rest.map_or(0, kind)];
        seen.all += 1.0;
        seen.reset += f64::from(u8::from(reset));
    }

    /// The chance that a request on a new connection is reset, and one on a connection that has
    /// rested so long.
    pub fn risks(&self, rest: Duration, now: Duration) -> (f64, f64) {
        let fade = self.fade(now);
        let mut risk = 0.0;
        let mut new = 0.0;
        for (n, seen) in self.seen.iter().enumerate().take(kind(rest) + 1) {
            risk = (seen.reset * fade + NEIGHBOUR * risk) / (seen.all * fade + NEIGHBOUR);
            if n == 0 {
                new = risk;
            }
        }
        (new, risk)
    }

    /// What to do with a connection that has rested so long, for a request that may be sent twice
    /// or not.
    pub fn choose(&self, rest: Duration, is_idempotent: bool, now: Duration) -> IdleConnectionUse {
        let (new, risk) = self.risks(rest, now);
        match risk - new {
            more if more <= BEAR_ONCE || is_idempotent && more <= BEAR_REPEATABLE => {
                IdleConnectionUse::Reuse
            }
            more if more <= BEAR_REPEATABLE => IdleConnectionUse::Leave,
            _ => IdleConnectionUse::Close,
        }
    }
}
