//! Circuit breakers for endpoints that refuse connections. Such an endpoint gets a request only if
//! no other endpoint is eligible, or as a periodic trial. A breaker stays open until an attempt
//! connects or the endpoint restarts, however long that takes at an ingress with little traffic.

use crate::event::Outcome;

/// The time from an attempt at an endpoint whose breaker is not closed to the next trial.
const TRIAL_INTERVAL_SECONDS: f64 = 2.0;
/// The weight of one sample in the moving average of connect failures.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.3;
/// Above this share of connect failures, untried endpoints are expected to refuse connections too.
const MAX_FAILURE_RATIO: f64 = 0.5;

/// Whether an endpoint accepts connections from this ingress, according to the last attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CircuitBreaker {
    /// No attempt since the endpoint started.
    #[default]
    Untried,
    /// The endpoint accepted the last connection.
    Closed,
    /// The last attempt to connect failed.
    Open,
}

/// The connect failures of a service's endpoints. Times are in seconds.
#[derive(Default)]
pub(crate) struct ConnectFailures {
    /// The moving average of connect failures (1) and successes (0) at endpoints whose breaker was
    /// not closed. Failures at an endpoint whose breaker was already open do not count.
    connect_failure_ratio: f64,
    /// From this time on, one request may be sent to an endpoint that is expected to refuse the
    /// connection, as a trial.
    half_open_at: f64,
}

impl ConnectFailures {
    /// Records how an attempt at an endpoint ended, and updates the endpoint's breaker. If the
    /// attempt closes the breaker, the next trial may follow at once, since other endpoints may
    /// accept connections again too. Outcomes that do not show whether the endpoint accepts
    /// connections are ignored.
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

    /// Records that an attempt is forwarded to an endpoint with this breaker.
    pub(crate) fn record_forward(&mut self, breaker: CircuitBreaker, now: f64) {
        if breaker != CircuitBreaker::Closed {
            self.half_open_at = now + TRIAL_INTERVAL_SECONDS;
        }
    }

    /// Whether an endpoint with this breaker is expected to refuse a connection.
    pub(crate) fn is_refusal_expected(&self, breaker: CircuitBreaker) -> bool {
        match breaker {
            CircuitBreaker::Closed => false,
            CircuitBreaker::Untried => self.connect_failure_ratio > MAX_FAILURE_RATIO,
            CircuitBreaker::Open => true,
        }
    }

    /// Whether a trial is due: a request may be sent to an endpoint that is expected to refuse the
    /// connection.
    pub(crate) fn is_half_open(&self, now: f64) -> bool {
        now >= self.half_open_at
    }
}
