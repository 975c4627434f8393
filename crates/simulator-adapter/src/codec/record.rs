//! The records of a batch.

/// An event for an instance, or a numbered endpoint list that later events refer to. Each names the
/// instance that it is for. Outcomes are the wire's codes; times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// `Membership`: discovery has sent a list.
    EndpointListChanged {
        /// The instance.
        instance: u16,
        /// The wire's code for changes, a full list or a failure.
        form: u8,
        /// The list's revision.
        revision: u64,
        /// Number of the [`Record::EndpointList`] with the entries.
        list: u32,
    },
    /// `ClosedAttempt`: an attempt has ended.
    AttemptEnded(AttemptEndedRecord),
    /// `Flowing`: an attempt's reply has begun to stream.
    StreamStarted {
        /// The instance.
        instance: u16,
        /// The request.
        request: u64,
        /// Time since the attempt was forwarded.
        elapsed_ms: f64,
        /// Number of the attempt.
        attempt: u16,
        /// The endpoint.
        endpoint: u32,
    },
    /// `Wakeup`: a timer has expired.
    TimerExpired {
        /// The instance.
        instance: u16,
        /// The tag that the timer was set with.
        tag: u32,
    },
    /// `WorkItem`: a request has come.
    RequestReceived(RequestRecord),
    /// `Census`: a numbered list for all instances, which replaces the one with its number.
    EndpointList {
        /// Its number.
        list: u32,
        /// Its entries.
        endpoints: Vec<EndpointRecord>,
    },
    /// `HealthResult`: a health check has ended.
    HealthCheckEnded(HealthCheckEndedRecord),
    /// `Aborted`: a request's client has disconnected.
    ClientDisconnected {
        /// The instance.
        instance: u16,
        /// The request.
        request: u64,
    },
    /// `Create`: an instance starts.
    InstanceStarted {
        /// The instance.
        instance: u16,
        /// Seed of its random choices.
        seed: u64,
        /// The platform's settings as JSON.
        settings: Vec<u8>,
    },
    /// `Whisper`: a message of a peer.
    PeerMessage {
        /// The instance.
        instance: u16,
        /// The peer.
        sender: u16,
        /// The message.
        bytes: Vec<u8>,
    },
    /// `Shutdown`: an instance stops.
    InstanceStopped {
        /// The instance.
        instance: u16,
    },
    /// `Added`: a call to the counter has ended.
    CounterReply(CounterReplyRecord),
}

/// An attempt that has ended: `ClosedAttempt`.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEndedRecord {
    /// The instance.
    pub instance: u16,
    /// The request.
    pub request: u64,
    /// 1 more than the customer's use of its rate through all instances, in percent; 0 if unknown.
    pub metered_usage: u16,
    /// Number of the attempt.
    pub attempt: u16,
    /// Time since it was forwarded.
    pub elapsed_ms: f64,
    /// Whether the request is finished.
    pub is_finished: bool,
    /// The endpoint.
    pub endpoint: u32,
    /// The request's true units; 0 if unknown.
    pub true_units: u16,
    /// The wire's code of its outcome.
    pub outcome_code: u16,
    /// Values of the load report, in the order of the settings.
    pub load_report: Vec<f32>,
}

/// A request that has come: `WorkItem`.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// The instance.
    pub instance: u16,
    /// The request's id.
    pub request: u64,
    /// Units that it takes from the quota, perhaps an estimate.
    pub units: f32,
    /// Index of its class.
    pub class: u16,
    /// Number of the first ingress that the customer's requests may come through.
    pub first_ingress: f32,
    /// Time until the client gives up.
    pub time_left_ms: f64,
    /// Its customer.
    pub customer: u64,
    /// Number of ingresses that the customer's requests may come through.
    pub ingress_count: f32,
    /// Index of its customer's plan.
    pub plan: u16,
    /// Bits: 2 a retry of the client, 4 a write.
    pub flags: u16,
}

/// A health check that has ended: `HealthResult`.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckEndedRecord {
    /// The instance.
    pub instance: u16,
    /// The endpoint.
    pub endpoint: u32,
    /// The wire's code of its outcome.
    pub outcome_code: u16,
    /// Time since it was started.
    pub elapsed_ms: f64,
    /// Values of the load report, in the order of the settings.
    pub load_report: Vec<f32>,
}

/// A call to the counter that has ended: `Added`.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterReplyRecord {
    /// The instance.
    pub instance: u16,
    /// The counter's total after the call.
    pub total: f32,
    /// The counter's key.
    pub key: u64,
    /// The wire's code of its outcome.
    pub outcome_code: u16,
    /// Time since the call.
    pub elapsed_ms: f64,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: u32,
    /// Number of its zone.
    pub zone: u8,
    /// Kind of its machine.
    pub machine_kind: u8,
    /// Number of its cell.
    pub cell: u16,
    /// The wire's code of its state.
    pub state_code: u8,
    /// Its capacity relative to the other endpoints.
    pub weight: f32,
    /// When it started; 0 for long ago.
    pub started_at_ms: f64,
}
