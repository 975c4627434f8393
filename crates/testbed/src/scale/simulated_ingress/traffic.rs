//! What clients request of a simulated ingress, and what goes in and out of it.

/// Which service a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// In proportion to the servers of a service.
    ByServers,
    /// All services alike.
    Even,
}

/// What clients request of one ingress.
#[derive(Clone, Copy, Debug)]
pub struct RequestLoad {
    /// Requests a second.
    pub rate: f64,
    /// Tenants, whose requests are as many.
    pub tenants: usize,
    /// Which services they are for.
    pub demand: Demand,
}

/// What has gone in and out of an ingress, and what became of its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls to the counter.
    pub counter_calls: u64,
    /// Bytes of the calls.
    pub counter_bytes_out: u64,
    /// Bytes of the counter's replies.
    pub counter_bytes_in: u64,
    /// Bytes of endpoint lists.
    pub list_bytes_in: u64,
    /// Attempts started at servers.
    pub attempts: u64,
    /// Attempts that could not connect.
    pub failed_attempts: u64,
    /// Health checks started at servers.
    pub health_checks: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
}

impl Traffic {
    /// Requests that have ended.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.served + self.rejected + self.failed
    }

    /// Requests that were rejected or failed, in percent of those that have ended.
    #[must_use]
    pub fn not_served_percent(&self) -> f64 {
        100.0 * (self.rejected + self.failed) as f64 / self.ended().max(1) as f64
    }

    /// Attempts that could not connect, in percent of all.
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
