//! Settings, events and actions of the decision module.
//!
//! Plain data: nothing here decides or carries a default. Times are durations since an arbitrary
//! epoch chosen by the embedder; all events of one gateway must use the same epoch.

use std::time::Duration;

/// A server process, as named by discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// A service: the servers that answer one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u32);

/// One client try, unique for the life of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The customer whose quota a request draws on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// Name of a number on the counter service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterKey(pub u64);

/// Tag of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerTag(pub u32);

/// How far a class may be repeated once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat anywhere, any time.
    Idempotent,
    /// Repeats are dropped by the servers of one group for `window` after the first send.
    IdempotencyKey {
        /// The servers that share the memory of a key.
        group: DeduplicationScope,
        /// How long they remember.
        window: Duration,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// Which servers drop each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Answers within this time earn the full worth.
    pub latency_objective: Duration,
    /// The aim grows by this multiple of the request's own work.
    pub objective_per_work: f64,
    /// Total time a client waits over all its tries.
    pub deadline: Duration,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth earned after the aim.
    pub late_weight_ratio: f64,
    /// May it be repeated?
    pub idempotency: Idempotency,
    /// Is the answer streamed?
    pub streamed: bool,
}

/// A plan; its quotas hold for each customer over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second; 0 means no rate quota.
    pub rate: f64,
    /// Most units the quota's bucket holds.
    pub burst: f64,
    /// Most attempts out at once; 0 means no such quota.
    pub max_concurrent: u32,
    /// Units a second of the hard ceiling; 0 means none.
    pub ceiling_rate: f64,
    /// Most units the ceiling's bucket holds.
    pub ceiling_burst: f64,
    /// How far the ceiling's bucket may fall below zero.
    pub ceiling_slack: f64,
    /// Factor on the worth.
    pub priority_factor: f64,
    /// Share of the worth earned beyond the quota.
    pub over_quota_weight_ratio: f64,
    /// Share of the worth that a try sent on beyond the quota costs.
    pub over_quota_cost: f64,
}

/// The counter service, where there is one.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterSettings {
    /// A call without an answer by then ends as timed out.
    pub timeout: Duration,
}

/// What the site permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// Attempts for one request.
    pub max_attempts: u32,
    /// May attempts be cancelled?
    pub cancel: bool,
    /// May a request have two attempts out at once?
    pub hedging: bool,
    /// May servers be probed?
    pub health_checks: bool,
    /// Do clients receive retry advice?
    pub retry_after: bool,
    /// The longest advice that clients honour.
    pub max_retry_after: Duration,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLimits {
    /// Cold servers begin at this share of their capacity or more.
    pub initial_capacity_ratio: f64,
    /// And are warm no later than this.
    pub warm_up_duration: Duration,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long, a cold server falls over.
    pub overload_window: Duration,
    /// Sends to a draining or gone server must stop within this.
    pub drain_grace: Duration,
}

/// How the list of servers reaches the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes come unprompted.
    Push,
    /// Changes come only after [`Action::Subscribe`] or [`Action::FetchEndpointList`].
    Poll,
}

/// What a gateway is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways in this tier.
    pub ingress_count: u32,
    /// This gateway's number among them, from 0.
    pub ingress_index: u32,
    /// The zone of this gateway.
    pub zone: u16,
    /// Shortest time between two rounds of events.
    pub tick: Duration,
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// The counter service, if any.
    pub counter: Option<CounterSettings>,
    /// Do load reports that say what a server holds come with probes alone?
    pub load_reports_on_health_check: bool,
    /// Discovery mode.
    pub discovery: DiscoveryMode,
    /// Permissions.
    pub permissions: Permissions,
    /// Rule figures.
    pub endpoint_limits: EndpointLimits,
}

impl Settings {
    /// Are the numbers such that they can be served at all?
    pub fn check(&self) -> Result<(), SettingsError> {
        let good = |v: f64| v.is_finite() && v >= 0.0;
        let figures = |p: &Plan| {
            let numbers = [
                p.rate,
                p.burst,
                p.ceiling_rate,
                p.ceiling_burst,
                p.ceiling_slack,
                p.priority_factor,
            ];
            numbers.into_iter().all(good) && (p.rate <= 0.0 || p.burst > 0.0)
        };
        let timed = |c: &RequestClass| {
            good(c.priority_weight) && good(c.late_weight_ratio) && !c.latency_objective.is_zero()
        };
        let g = &self.endpoint_limits;
        if self.ingress_index >= self.ingress_count {
            return Err(SettingsError::InvalidNumber(
                "the number of gateways, or this one's among them,",
            ));
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        if self.plans.is_empty() {
            return Err(SettingsError::NoPlan);
        }
        if !self.plans.iter().all(figures) {
            return Err(SettingsError::InvalidNumber("a plan's figure"));
        }
        if !self.classes.iter().all(timed) {
            return Err(SettingsError::InvalidNumber("a class's figure"));
        }
        if !(g.initial_capacity_ratio <= 1.0
            && good(g.initial_capacity_ratio)
            && good(g.overload_multiple))
        {
            return Err(SettingsError::InvalidNumber("a guarantee"));
        }
        Ok(())
    }
}

/// Settings that cannot be served.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// No request class.
    #[error("no request class is given")]
    NoClass,
    /// No plan.
    #[error("no plan is given")]
    NoPlan,
    /// A number is out of range.
    #[error("{0} must be a finite number in its range")]
    InvalidNumber(&'static str),
}

/// State of a server in a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Finishes its work; takes nothing new.
    Draining,
    /// Removed.
    #[default]
    Removed,
}

/// One line of the list of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// The server.
    pub endpoint: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its zone.
    pub zone: u16,
    /// Its cell, a set of servers that share memory of keys.
    pub cell: u16,
    /// Its state.
    pub state: EndpointState,
    /// Size relative to the others.
    pub weight: f64,
    /// Its place in an order that is the same at every gateway, such as a hash of its name.
    pub rank: u64,
    /// Its latest start; none means long ago.
    pub started_at: Option<Duration>,
}

/// What a list event holds.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListUpdate {
    /// Changed lines only.
    Changes(Vec<EndpointEntry>),
    /// The whole list.
    Full(Vec<EndpointEntry>),
    /// A call to discovery failed or the subscription broke.
    Unavailable,
}

/// Load that a server told of itself; delayed and noisy.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct LoadReport {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Share of its cores in use.
    pub utilisation: Option<f64>,
    /// Recent service time without waiting.
    pub service_time: Option<Duration>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server returned an error; it may have run.
    Error,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotStarted,
}

/// How a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResult {
    /// The total after the call.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// No answer; it may have been added.
    Unknown,
}

/// A request that a client sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Its id.
    pub request: RequestId,
    /// The service whose servers may answer it.
    pub service: ServiceId,
    /// Index of its class.
    pub class: usize,
    /// Index of its customer's plan.
    pub plan: usize,
    /// Its customer.
    pub customer: CustomerId,
    /// Units it takes from the quota, perhaps a guess.
    pub units: f64,
    /// Through how many gateways the customer's requests may come.
    pub ingress_count: u32,
    /// Time until the client gives this try up.
    pub time_left: Duration,
    /// The client says that it asks again; never where clients do not mark that.
    pub is_retry: bool,
}

/// How an attempt ended, with what came along.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u16,
    /// The server.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Duration,
    /// The request is finished; nothing is owed.
    pub finished: bool,
    /// True units, where the request's were a guess.
    pub true_units: Option<f64>,
    /// The server's load report.
    pub load: Option<LoadReport>,
}

/// What the gateway is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    EndpointListChanged(EndpointListUpdate),
    /// A request has come.
    RequestReceived(IncomingRequest),
    /// A streamed answer has started.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has left; nothing is owed.
    ClientDisconnected(RequestId),
    /// A counter call has ended; for one name in the order of the calls.
    CounterReply {
        /// The name.
        key: CounterKey,
        /// How it ended.
        result: CounterResult,
        /// Time since the call.
        elapsed: Duration,
    },
    /// A timer is due.
    TimerExpired(TimerTag),
    /// A probe has ended.
    HealthCheckEnded {
        /// The service that the server belongs to.
        service: ServiceId,
        /// The server.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The server's load report.
        load: Option<LoadReport>,
    },
}

/// What the gateway wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Forward {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// When this attempt is given up.
        deadline: Duration,
    },
    /// Final answer: refused, harmless to try again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed, effect unknown.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting on an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
    },
    /// Add to a number on the counter service and tell the total.
    IncrementCounter {
        /// The name.
        key: CounterKey,
        /// The amount.
        amount: f64,
        /// A new name is forgotten after this.
        time_to_live: Duration,
    },
    /// Send [`Event::TimerExpired`] after this time.
    SetTimer {
        /// From now.
        after: Duration,
        /// Comes back with the event.
        tag: TimerTag,
    },
    /// Probe a server.
    CheckHealth {
        /// The server.
        endpoint: EndpointId,
    },
    /// Ask discovery for changes from now on.
    Subscribe,
    /// Ask discovery for the whole list once.
    FetchEndpointList,
    /// Write a line to the operators' log.
    Log(Notice),
}

/// A change of state that operators want to see in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// An endpoint has not answered for so long that it is taken for unresponsive.
    EndpointUnresponsive(EndpointId),
    /// The counter is slow or failing: fewer than half of the requests call it.
    CounterDegraded,
    /// The counter answers again: every request calls it.
    CounterRecovered,
}

impl std::fmt::Display for Notice {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Notice::EndpointUnresponsive(endpoint) => {
                write!(f, "endpoint unresponsive, endpoint {}", endpoint.0)
            }
            Notice::CounterDegraded => f.write_str("counter degraded"),
            Notice::CounterRecovered => f.write_str("counter recovered"),
        }
    }
}
