//! The environment of the simulated ingresses: the shared counter and the form servers.

use roseyard_decision::{CounterKey, Outcome};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The time until a connection to a server that does not listen is refused.
const CONNECT_REFUSED_AFTER: Duration = Duration::from_micros(200);
/// The time until a connection to an unreachable server times out.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const MEAN_SERVICE_TIME_S: f64 = 0.020;

/// An attempt or a health check that an ingress starts at a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The virtual time at which it starts.
    pub at: Duration,
    /// The index of the ingress.
    pub ingress: usize,
    /// The index of the server.
    pub server: usize,
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptEnd {
    /// The time from the start of the attempt to its end.
    pub after: Duration,
    /// The outcome that the ingress observes.
    pub outcome: Outcome,
}

/// A network partition between two regions. The first region has the ingresses and servers with the
/// lower indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// The number of ingresses in the first region.
    pub ingresses: usize,
    /// The number of servers in the first region.
    pub servers: usize,
}

impl Split {
    fn separates(self, arrival: Arrival) -> bool {
        (arrival.ingress < self.ingresses) != (arrival.server < self.servers)
    }
}

/// The environment of the ingresses: the totals of the shared counter, the state of the servers,
/// and the attempts that the servers receive.
pub struct SimulatedEnvironment {
    random: fastrand::Rng,
    totals: HashMap<CounterKey, f64>,
    /// The indices of servers that do not listen.
    pub down: HashSet<usize>,
    /// The network partition; `None` if all servers are reachable.
    pub split: Option<Split>,
    /// The attempts and health checks at all servers; `None` if they are not recorded.
    pub arrivals: Option<Vec<Arrival>>,
}

impl SimulatedEnvironment {
    /// Returns an environment without failures.
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

    /// Records an attempt or a health check and returns how it ends.
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

    /// Returns the end of an attempt at a server that the engine has removed.
    pub(super) fn not_started() -> AttemptEnd {
        AttemptEnd {
            after: CONNECT_REFUSED_AFTER,
            outcome: Outcome::NotStarted,
        }
    }

    /// Adds an amount to the counter's total for a key and returns the new total.
    pub(super) fn increment(&mut self, key: CounterKey, amount: f64) -> f64 {
        let total = self.totals.entry(key).or_default();
        *total += amount;
        *total
    }
}

/// Returns an exponentially distributed duration.
pub(super) fn exponential(random: &mut fastrand::Rng, mean_s: f64) -> Duration {
    Duration::from_secs_f64(-mean_s * (1.0 - random.f64()).ln())
}
