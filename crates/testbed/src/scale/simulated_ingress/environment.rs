//! What is around simulated ingresses: the counter's totals and the servers.

use roseyard_decision::{CounterKey, Outcome};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// A connect to a server that does not listen fails after this time.
const CONNECT_REFUSED_AFTER: Duration = Duration::from_micros(200);
/// A connect to a server out of reach is given up after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MEAN_SERVICE_TIME_S: f64 = 0.020;

/// An attempt as its server observes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Virtual time.
    pub at: Duration,
    /// The ingress that it comes from.
    pub ingress: usize,
    /// The server.
    pub server: usize,
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptEnd {
    /// Time from its begin to its end.
    pub after: Duration,
    /// Its outcome.
    pub outcome: Outcome,
}

/// Two regions that cannot reach each other: the first has the ingresses and servers of lower
/// numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Ingresses of the first region.
    pub ingresses: usize,
    /// Servers of the first region.
    pub servers: usize,
}

impl Split {
    fn separates(self, arrival: Arrival) -> bool {
        (arrival.ingress < self.ingresses) != (arrival.server < self.servers)
    }
}

/// What is around the ingresses: the counter's totals, the servers, and what the servers observe.
pub struct SimulatedEnvironment {
    random: fastrand::Rng,
    totals: HashMap<CounterKey, f64>,
    /// Servers that do not listen.
    pub down: HashSet<usize>,
    /// Regions that cannot reach each other, if any.
    pub split: Option<Split>,
    /// The attempts at all servers, if they are recorded.
    pub arrivals: Option<Vec<Arrival>>,
}

impl SimulatedEnvironment {
    /// One in which everything runs.
    #[must_use]
    pub fn new(seed: u64) -> SimulatedEnvironment {
        SimulatedEnvironment {
            random: fastrand::Rng::with_seed(seed),
            totals: HashMap::new(),
            down: HashSet::new(),
            split: None,
            arrivals: None,
        }
    }

    /// Takes an attempt in and decides how it ends.
    pub(super) fn attempt(&mut self, arrival: Arrival) -> AttemptEnd {
        if let Some(arrivals) = &mut self.arrivals {
            arrivals.push(arrival);
        }
        if self.down.contains(&arrival.server) {
            return AttemptEnd {
                after: CONNECT_REFUSED_AFTER,
                outcome: Outcome::ConnectFailed,
            };
        }
        if self.split.is_some_and(|split| split.separates(arrival)) {
            return AttemptEnd {
                after: CONNECT_TIMEOUT,
                outcome: Outcome::ConnectFailed,
            };
        }
        AttemptEnd {
            after: exponential(&mut self.random, MEAN_SERVICE_TIME_S),
            outcome: Outcome::Ok,
        }
    }

    /// How an attempt ends whose server the engine does not know any more.
    pub(super) fn not_started() -> AttemptEnd {
        AttemptEnd {
            after: CONNECT_REFUSED_AFTER,
            outcome: Outcome::NotStarted,
        }
    }

    /// Adds to the counter's total of a key and returns it.
    pub(super) fn increment(&mut self, key: CounterKey, amount: f64) -> f64 {
        let total = self.totals.entry(key).or_default();
        *total += amount;
        *total
    }
}

/// A time of exponential distribution.
pub(super) fn exponential(random: &mut fastrand::Rng, mean_s: f64) -> Duration {
    Duration::from_secs_f64(-mean_s * (1.0 - random.f64()).ln())
}
