//! Circuit breakers: endpoints that accept no connections get requests only where no other endpoint
//! is left, and a trial once in a while. An ingress that comes by once in many seconds remembers a
//! failed connection until an attempt gets through.

use crate::event::Outcome;

/// After a forward to an endpoint that may refuse connections, the next trial waits for this.
const TRIAL_INTERVAL_SECONDS: f64 = 2.0;
/// Weight of each attempt to connect in the mean of failures.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.3;
/// Above this share of failures an endpoint that was never tried is taken to refuse too.
const FAILURE_RATIO_MAX: f64 = 0.5;

/// Whether an endpoint accepts connections from this ingress, by the last attempt at it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CircuitBreaker {
    /// Not tried since its start.
    #[default]
    Untried,
    /// It accepted the last connection.
    Closed,
    /// It refused the last connection.
    Open,
}

/// Failed connections of a service. Times are in seconds.
#[derive(Default)]
pub(crate) struct ConnectFailures {
    /// Share of the connections to endpoints with a breaker that was not closed that failed.
    connect_failure_ratio: f64,
    /// From this time on, one request may try an endpoint that refuses connections.
    half_open_at: f64,
}

impl ConnectFailures {
    /// Records how an attempt ended at an endpoint. A closed breaker after a success calls for the
    /// next trial at once.
    pub(crate) fn record(&mut self, breaker: &mut CircuitBreaker, outcome: Outcome, now: f64) {
        if matches!(
            outcome,
            Outcome::Reset | Outcome::Cancelled | Outcome::NotStarted
        ) {
            return;
        }
        let failed = outcome == Outcome::ConnectFailed;
        let is_trial = match breaker {
            CircuitBreaker::Untried => true,
            CircuitBreaker::Open => !failed,
            CircuitBreaker::Closed => false,
        };
        if is_trial {
            let sample = f64::from(u8::from(failed));
            self.connect_failure_ratio +=
                (sample - self.connect_failure_ratio) * FAILURE_SAMPLE_WEIGHT;
            if !failed {
                self.half_open_at = now;
            }
        }
        *breaker = if failed {
            CircuitBreaker::Open
        } else {
            CircuitBreaker::Closed
        };
    }

    /// An attempt goes out to an endpoint with this breaker.
    pub(crate) fn record_forward(&mut self, breaker: CircuitBreaker, now: f64) {
        if breaker != CircuitBreaker::Closed {
            self.half_open_at = now + TRIAL_INTERVAL_SECONDS;
        }
    }

    /// Whether an endpoint with this breaker is expected to refuse a connection.
    pub(crate) fn is_refusal_expected(&self, breaker: CircuitBreaker) -> bool {
        match breaker {
            CircuitBreaker::Closed => false,
            CircuitBreaker::Untried => self.connect_failure_ratio > FAILURE_RATIO_MAX,
            CircuitBreaker::Open => true,
        }
    }

    /// Whether a request may try an endpoint that is expected to refuse it.
    pub(crate) fn is_half_open(&self, now: f64) -> bool {
        now >= self.half_open_at
    }
}
