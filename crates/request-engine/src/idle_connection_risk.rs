//! Estimates the risk that an idle connection is reset when the next request is written to it.
//!
//! An endpoint may close an idle connection long before the idle timeout in the settings, and the
//! close may arrive after the next request was written. That request then fails, although it may
//! have been executed. Endpoints do not announce such a close, so the risk is estimated from the
//! outcomes of requests: the rate of resets on connections with a similar idle time is compared
//! with the rate on new connections. Resets that occur equally often on both do not count against
//! idle connections.

use std::time::Duration;

/// Idle times are divided into intervals, each of which is twice as long as the one before. The
/// first interval consists of all idle times below twice this time.
const INTERVAL_BASE: Duration = Duration::from_millis(20);
/// The number of intervals. The last one has no upper bound.
const INTERVAL_COUNT: usize = 12;
/// The time constant of the decay of observations. After a few time constants, connections that
/// were considered too risky are used again, which detects that endpoints no longer close them.
const DECAY_TIME_CONSTANT_SECONDS: f64 = 10.0;
/// The weight of the prior, in requests. The prior of an interval is the estimate of the next
/// shorter one. It prevents a single reset among few observed requests from deciding.
const PRIOR_REQUESTS: f64 = 8.0;
/// The largest difference between the reset probabilities of an idle and of a new connection at
/// which the idle connection is used for a request that must not be sent twice.
const MAX_EXCESS_RISK_NON_IDEMPOTENT: f64 = 0.05;
/// The same limit for idempotent requests, for which a reset costs only the time of another
/// attempt.
const MAX_EXCESS_RISK_IDEMPOTENT: f64 = 0.15;

/// The decision on an idle connection that is available for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnectionUse {
    /// Write the request to this connection.
    Reuse,
    /// Keep this connection for idempotent requests, and open a new one for this request.
    LeaveForIdempotent,
    /// Close this connection and all that have been idle for longer.
    Close,
}

/// The probabilities, from 0 to 1, that a connection is reset after a request was written to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResetRisk {
    /// The probability on a new connection.
    pub new_connection: f64,
    /// The probability on the idle connection.
    pub idle_connection: f64,
}

/// Estimates the risk of reusing idle connections. Its size does not depend on the number of
/// endpoints or connections.
#[derive(Clone, Debug, Default)]
pub struct IdleConnectionRisk {
    /// Outcomes on new connections at index 0, followed by those of each idle interval.
    outcomes: [DecayingOutcomes; INTERVAL_COUNT + 1],
    updated_at: Duration,
}

/// Exponentially decaying counts of requests and of the resets among them.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingOutcomes {
    requests: f64,
    resets: f64,
}

impl IdleConnectionRisk {
    /// Records whether the connection of a request was reset after the request was written. `idle`
    /// is the time for which the connection had been idle, or `None` for a new connection.
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

    /// Returns the reset probability of a new connection and that of one which has been idle for
    /// `idle`.
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

    /// Decides whether to write a request to a connection that has been idle for `idle`.
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

    /// Returns the factor, from 0 to 1, by which the observations have decayed since the last
    /// update.
    fn decay(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.updated_at).as_secs_f64() / DECAY_TIME_CONSTANT_SECONDS).exp()
    }
}

/// Returns the index of the interval that an idle time falls in, from 1; index 0 is that of new
/// connections.
fn interval_index(idle: Duration) -> usize {
    let doublings = (idle.as_secs_f64() / INTERVAL_BASE.as_secs_f64())
        .max(1.0)
        .log2();
    1 + (doublings as usize).min(INTERVAL_COUNT - 1)
}
