//! How likely an idle connection is to be dead when the next request is written to it.
//!
//! An endpoint may close an idle connection long before the time in the settings, and its close may
//! arrive only after the next request was written: that request has then failed, and may have
//! executed. Nothing announces such a close, so the risk is learned from the outcomes of requests:
//! the resets on connections that were idle for this long, compared with the resets on new
//! connections. Resets that affect both alike do not count against idle connections.

use std::time::Duration;

/// Idle times are divided into intervals, each twice as long as the one before; the first ends at
/// twice this.
const FIRST_INTERVAL: Duration = Duration::from_millis(20);
/// Number of intervals; the last has no end.
const INTERVALS: usize = 12;
/// Time constant by which observations decay. Connections that were held to be dead are used again
/// after a few of these, which detects endpoints that no longer close them.
const DECAY_SECONDS: f64 = 10.0;
/// The estimate of the next shorter interval weighs as this many requests: prevents a decision on
/// one reset when few requests were observed.
const PRIOR_REQUESTS: f64 = 8.0;
/// An idle connection is not used for a request that must not be sent twice if its reset
/// probability exceeds that of a new connection by more than this.
const MAX_EXCESS_RISK_NON_IDEMPOTENT: f64 = 0.05;
/// The same for idempotent requests, which lose only the time of one more attempt.
const MAX_EXCESS_RISK_IDEMPOTENT: f64 = 0.15;

/// What to do with an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnectionUse {
    /// Write the request to it.
    Reuse,
    /// Keep it for idempotent requests, and use a new connection for this one.
    LeaveForIdempotent,
    /// Close it, and each that has been idle for longer.
    Close,
}

/// Probabilities that the connection is reset after a request was written to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResetRisk {
    /// On a new connection.
    pub new_connection: f64,
    /// On the idle connection.
    pub idle_connection: f64,
}

/// Estimates the risk of reusing idle connections. Its memory is fixed, whatever the number of
/// endpoints and connections.
#[derive(Clone, Debug, Default)]
pub struct IdleConnectionRisk {
    /// Outcomes on new connections, then by idle interval.
    outcomes: [DecayingOutcomes; INTERVALS + 1],
    updated_at: Duration,
}

/// Decaying counts of requests.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingOutcomes {
    requests: f64,
    resets: f64,
}

impl IdleConnectionRisk {
    /// Records whether the connection of a request was reset after the request was written. `idle`
    /// is how long the connection had been idle; none: it was new.
    pub fn record_outcome(&mut self, idle: Option<Duration>, was_reset: bool, now: Duration) {
        let decay = self.decay(now);
        self.updated_at = self.updated_at.max(now);
        for outcomes in &mut self.outcomes {
            outcomes.requests *= decay;
            outcomes.resets *= decay;
        }
        let outcomes = &mut self.outcomes[idle.map_or(0, interval_index)];
        outcomes.requests += 1.0;
        outcomes.resets += f64::from(u8::from(was_reset));
    }

    /// The reset probability on a new connection and on one that has been idle for this long.
    #[must_use]
    pub fn risks(&self, idle: Duration, now: Duration) -> ResetRisk {
        let decay = self.decay(now);
        let mut risk = 0.0;
        let mut new_connection = 0.0;
        let shorter_or_same = self.outcomes.iter().take(interval_index(idle) + 1);
        for (index, outcomes) in shorter_or_same.enumerate() {
            risk = (outcomes.resets * decay + PRIOR_REQUESTS * risk)
                / (outcomes.requests * decay + PRIOR_REQUESTS);
            if index == 0 {
                new_connection = risk;
            }
        }
        ResetRisk {
            new_connection,
            idle_connection: risk,
        }
    }

    /// Decides whether a request is written to a connection that has been idle for this long.
    #[must_use]
    pub fn choose(&self, idle: Duration, is_idempotent: bool, now: Duration) -> IdleConnectionUse {
        let risk = self.risks(idle, now);
        let excess_risk = risk.idle_connection - risk.new_connection;
        if excess_risk <= MAX_EXCESS_RISK_NON_IDEMPOTENT {
            return IdleConnectionUse::Reuse;
        }
        if excess_risk <= MAX_EXCESS_RISK_IDEMPOTENT {
            return if is_idempotent {
                IdleConnectionUse::Reuse
            } else {
                IdleConnectionUse::LeaveForIdempotent
            };
        }
        IdleConnectionUse::Close
    }

    /// The part of the observations that is left since the last update.
    fn decay(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.updated_at).as_secs_f64() / DECAY_SECONDS).exp()
    }
}

/// Index of an idle time's interval; 0 stands for new connections.
fn interval_index(idle: Duration) -> usize {
    let doublings = (idle.as_secs_f64() / FIRST_INTERVAL.as_secs_f64())
        .max(1.0)
        .log2();
    1 + (doublings as usize).min(INTERVALS - 1)
}
