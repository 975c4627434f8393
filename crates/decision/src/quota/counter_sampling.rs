//! Adaptive sampling of counter calls. The share of requests that call the counter decreases with
//! each failed or late reply and increases with each quick one, so that an overloaded counter gets
//! fewer calls. After the counter recovers, it takes some seconds until all requests call it again.

use crate::action::{Action, Notice};
use crate::event::CounterResult;
use crate::settings::Settings;
use crate::util::seconds;

/// A request waits for its total for at most this share of the shortest latency objective.
const WAIT_OBJECTIVE_RATIO: f64 = 0.08;
/// The factor on the call ratio after a failed or late reply.
const DECREASE_FACTOR: f64 = 0.7;
/// The factor on the call ratio after a quick reply.
const INCREASE_FACTOR: f64 = 1.3;
/// The lower bound of the call ratio. The totals of a slow counter are still useful.
const MIN_CALL_RATIO: f64 = 0.2;
/// The counter counts as degraded from when the call ratio falls below this value until it is back
/// at 1.
const DEGRADED_CALL_RATIO: f64 = 0.5;
/// Without quicker replies, the counter's minimum latency rises by the maximum wait within this
/// time.
const MIN_LATENCY_MEMORY_SECONDS: f64 = 10.0;
/// The range from the minimum latency to the maximum wait is divided into this many equal parts.
/// Replies within the first part are quick.
const QUICK_REPLY_DIVISOR: f64 = 3.0;

/// The sampling state. Times are in seconds.
pub(crate) struct CounterSampling {
    /// The longest time that a request waits for its total.
    pub wait_seconds: f64,
    /// The share of requests that call the counter, at most 1.
    pub counter_call_ratio: f64,
    /// The lowest latency of recent replies.
    min_latency: f64,
    last_reply_at: f64,
    degraded: bool,
}

impl CounterSampling {
    pub(crate) fn new(settings: &Settings) -> CounterSampling {
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.map(seconds).fold(f64::MAX, f64::min);
        let timeout = settings
            .counter
            .as_ref()
            .map_or(0.0, |counter| seconds(counter.timeout));
        CounterSampling {
            wait_seconds: (shortest_objective * WAIT_OBJECTIVE_RATIO).min(timeout),
            counter_call_ratio: 1.0,
            min_latency: 0.0,
            last_reply_at: 0.0,
            degraded: false,
        }
    }

    /// Whether only a part of the requests calls the counter.
    pub(crate) fn is_reduced(&self) -> bool {
        self.counter_call_ratio < 1.0
    }

    /// Adapts the call ratio to a call that took `latency` seconds.
    ///
    /// A call that started before `resumed_at`, the end of this ingress's last stall, is ignored
    /// because its latency may include the stall. A call without a reply that ended within the wait
    /// is ignored as well: its connection broke, which says nothing about the counter's latency.
    pub(crate) fn record_counter_latency(
        &mut self,
        result: CounterResult,
        latency: f64,
        now: f64,
        resumed_at: f64,
        actions: &mut Vec<Action>,
    ) {
        let is_lost_early = result == CounterResult::Unknown && latency < self.wait_seconds;
        if now - latency < resumed_at || is_lost_early {
            return;
        }
        let latency = match result {
            CounterResult::Total(_) => latency,
            CounterResult::NotAdded | CounterResult::Unknown => f64::MAX,
        };
        let elapsed = now - std::mem::replace(&mut self.last_reply_at, now);
        self.min_latency = latency
            .min(self.min_latency + self.wait_seconds * elapsed / MIN_LATENCY_MEMORY_SECONDS);
        let max_quick_latency =
            self.min_latency + (self.wait_seconds - self.min_latency) / QUICK_REPLY_DIVISOR;
        let factor = if latency > self.wait_seconds {
            DECREASE_FACTOR
        } else if latency < max_quick_latency {
            INCREASE_FACTOR
        } else {
            1.0
        };
        self.counter_call_ratio = (self.counter_call_ratio * factor).clamp(MIN_CALL_RATIO, 1.0);
        self.update_degraded(actions);
    }

    fn update_degraded(&mut self, actions: &mut Vec<Action>) {
        let threshold = if self.degraded {
            1.0
        } else {
            DEGRADED_CALL_RATIO
        };
        let degraded = self.counter_call_ratio < threshold;
        if degraded == self.degraded {
            return;
        }
        self.degraded = degraded;
        actions.push(Action::Log(if degraded {
            Notice::CounterDegraded
        } else {
            Notice::CounterRecovered
        }));
    }
}
