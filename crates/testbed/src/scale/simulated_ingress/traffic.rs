//! The request load of a simulated ingress, and the statistics of its traffic.

/// How requests are distributed over the services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// In proportion to the number of servers of each service.
    ByServers,
    /// Evenly over all services.
    Even,
}

/// The requests that clients send to one ingress.
#[derive(Clone, Copy, Debug)]
pub struct RequestLoad {
    /// The mean number of requests per second; the intervals are exponentially distributed.
    pub rate: f64,
    /// The number of tenants; each request is from a random one.
    pub tenants: usize,
    /// How the requests are distributed over the services.
    pub demand: Demand,
}

/// Statistics of the traffic of an ingress and of the results of its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of calls to the counter.
    pub counter_calls: u64,
    /// The bytes of the calls to the counter.
    pub counter_bytes_out: u64,
    /// The bytes of the counter's replies.
    pub counter_bytes_in: u64,
    /// The bytes of the lines received from discovery.
    pub list_bytes_in: u64,
    /// The number of attempts, including those at servers that the engine has removed.
    pub attempts: u64,
    /// The number of attempts that could not connect.
    pub failed_attempts: u64,
    /// The number of health checks that were started.
    pub health_checks: u64,
    /// The number of requests that were served.
    pub served: u64,
    /// The number of requests that were rejected.
    pub rejected: u64,
    /// The number of requests that failed after they had been accepted.
    pub failed: u64,
}

impl Traffic {
    /// Returns the number of requests that were served, rejected, or failed.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.served + self.rejected + self.failed
    }

    /// Returns the percentage of rejected and failed requests among all ended requests; 0 if none
    /// has ended.
    #[must_use]
    pub fn not_served_percent(&self) -> f64 {
        100.0 * (self.rejected + self.failed) as f64 / self.ended().max(1) as f64
    }

    /// Returns the percentage of attempts that could not connect; 0 if there were no attempts.
    #[must_use]
    pub fn failed_attempts_percent(&self) -> f64 {
        100.0 * self.failed_attempts as f64 / self.attempts.max(1) as f64
    }
}

impl std::ops::AddAssign for Traffic {
    fn add_assign(&mut self, other: Traffic) {
        self.counter_calls += other.counter_calls;
        self.counter_bytes_out += other.counter_bytes_out;
        self.counter_bytes_in += other.counter_bytes_in;
        self.list_bytes_in += other.list_bytes_in;
        self.attempts += other.attempts;
        self.failed_attempts += other.failed_attempts;
        self.health_checks += other.health_checks;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }
}

impl std::iter::Sum for Traffic {
    fn sum<I: Iterator<Item = Traffic>>(parts: I) -> Traffic {
        parts.fold(Traffic::default(), |mut total, part| {
            total += part;
            total
        })
    }
}
