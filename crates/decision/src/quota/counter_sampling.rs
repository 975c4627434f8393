//! Which share of requests calls the counter. It falls with each failed or late reply and grows
//! with each quick one, so that an overloaded counter gets fewer calls. After a recovery it takes
//! some seconds until all requests call again.

use crate::action::{Action, Notice};
use crate::event::CounterResult;
use crate::settings::Settings;
use crate::util::seconds;

/// A total is awaited for this share of the shortest latency objective.
const WAIT_OF_OBJECTIVE: f64 = 0.08;
/// Factor on the ratio for a failed or late reply.
const DECREASE_FACTOR: f64 = 0.7;
/// Factor on the ratio for a quick reply.
const INCREASE_FACTOR: f64 = 1.3;
/// The ratio never falls below this: a slow counter's totals are still useful.
const CALL_RATIO_MIN: f64 = 0.2;
/// Below this ratio the counter is degraded, until all requests call again.
const DEGRADED_BELOW_RATIO: f64 = 0.5;
/// The counter's least latency is forgotten in about this time.
const MIN_LATENCY_MEMORY_SECONDS: f64 = 10.0;
/// A reply is quick within this part of the time between the least latency and the wait.
const QUICK_REPLY_DIVISOR: f64 = 3.0;

/// The adaptive share of requests that call the counter.
pub(crate) struct CounterSampling {
    /// So long a request waits for its total.
    pub wait_seconds: f64,
    /// The share of requests that call the counter.
    pub counter_call_ratio: f64,
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
            wait_seconds: (shortest_objective * WAIT_OF_OBJECTIVE).min(timeout),
            counter_call_ratio: 1.0,
            min_latency: 0.0,
            last_reply_at: 0.0,
            degraded: false,
        }
    }

    /// Whether fewer than all requests call the counter.
    pub(crate) fn is_reduced(&self) -> bool {
        self.counter_call_ratio < 1.0
    }

    /// Adapts the ratio to a call that took `latency` seconds. A call from before `resumed_at`,
    /// the end of this ingress's last stall, proves nothing; nor does one that was lost within the
    /// wait: its connection broke.
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
        let quick = self.min_latency + (self.wait_seconds - self.min_latency) / QUICK_REPLY_DIVISOR;
        let factor = if latency > self.wait_seconds {
            DECREASE_FACTOR
        } else if latency < quick {
            INCREASE_FACTOR
        } else {
            1.0
        };
        self.counter_call_ratio = (self.counter_call_ratio * factor).clamp(CALL_RATIO_MIN, 1.0);
        self.update_degraded(actions);
    }

    fn update_degraded(&mut self, actions: &mut Vec<Action>) {
        let threshold = if self.degraded {
            1.0
        } else {
            DEGRADED_BELOW_RATIO
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
