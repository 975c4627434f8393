//! The records of a batch.

/// A record of a batch: an event for an instance, or a numbered endpoint list that later records
/// refer to. Outcomes are codes of the wire format; times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// `Membership`: discovery has sent an endpoint list.
    EndpointListChanged {
        /// The number of the instance.
        instance: u16,
        /// The code of the form of the list: changes, a full list or a failure.
        form: u8,
        /// The revision of the list.
        revision: u64,
        /// The number of the [`Record::EndpointList`] that contains the entries.
        list: u32,
    },
    /// `ClosedAttempt`: an attempt has ended.
    AttemptEnded(AttemptEndedRecord),
    /// `Flowing`: the endpoint has started to stream the reply to an attempt.
    StreamStarted {
        /// The number of the instance.
        instance: u16,
        /// The id of the request.
        request: u64,
        /// The time since the attempt was forwarded.
        elapsed_ms: f64,
        /// The number of the attempt.
        attempt: u16,
        /// The number of the endpoint.
        endpoint: u32,
    },
    /// `Wakeup`: a timer has expired.
    TimerExpired {
        /// The number of the instance.
        instance: u16,
        /// The tag that the timer was set with.
        tag: u32,
    },
    /// `WorkItem`: a request was received.
    RequestReceived(RequestRecord),
    /// `Census`: an endpoint list for all instances. It replaces an earlier list with the same
    /// number.
    EndpointList {
        /// The number of the list.
        list: u32,
        /// The entries of the list.
        endpoints: Vec<EndpointRecord>,
    },
    /// `HealthResult`: a health check has ended.
    HealthCheckEnded(HealthCheckEndedRecord),
    /// `Aborted`: the client of a request has disconnected.
    ClientDisconnected {
        /// The number of the instance.
        instance: u16,
        /// The id of the request.
        request: u64,
    },
    /// `Create`: an instance is started.
    InstanceStarted {
        /// The number of the instance.
        instance: u16,
        /// The seed of the random choices of the instance.
        seed: u64,
        /// The platform's settings as JSON.
        settings: Vec<u8>,
    },
    /// `Whisper`: a message from another instance was received.
    PeerMessage {
        /// The number of the instance.
        instance: u16,
        /// The number of the sending instance.
        sender: u16,
        /// The content of the message.
        bytes: Vec<u8>,
    },
    /// `Shutdown`: an instance is stopped.
    InstanceStopped {
        /// The number of the instance.
        instance: u16,
    },
    /// `Added`: a call to the counter has ended.
    CounterReply(CounterReplyRecord),
}

/// `ClosedAttempt`: an attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEndedRecord {
    /// The number of the instance.
    pub instance: u16,
    /// The id of the request.
    pub request: u64,
    /// The customer's usage of its rate through all instances, in percent plus 1; 0 if unknown.
    pub metered_usage: u16,
    /// The number of the attempt.
    pub attempt: u16,
    /// The time since the attempt was forwarded.
    pub elapsed_ms: f64,
    /// Whether the request has its final response.
    pub is_finished: bool,
    /// The number of the endpoint.
    pub endpoint: u32,
    /// The actual units of the request; 0 if unknown.
    pub true_units: u16,
    /// The code of the outcome.
    pub outcome_code: u16,
    /// The values of the load report, in the order of the names in the settings.
    pub load_report: Vec<f32>,
}

/// `WorkItem`: a request that was received.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// The number of the instance.
    pub instance: u16,
    /// The id of the request.
    pub request: u64,
    /// The units that the request takes from the quota, possibly an estimate.
    pub units: f32,
    /// The index of the request's class.
    pub class: u16,
    /// The number of the first ingress that receives requests of the customer.
    pub first_ingress: f32,
    /// The time until the client stops waiting for the response.
    pub time_left_ms: f64,
    /// The id of the customer.
    pub customer: u64,
    /// The number of ingresses that receive requests of the customer.
    pub ingress_count: f32,
    /// The index of the customer's plan.
    pub plan: u16,
    /// Bits: 2 for a retry of the client, 4 for a write.
    pub flags: u16,
}

/// `HealthResult`: a health check that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckEndedRecord {
    /// The number of the instance.
    pub instance: u16,
    /// The number of the endpoint.
    pub endpoint: u32,
    /// The code of the outcome.
    pub outcome_code: u16,
    /// The time since the health check was started.
    pub elapsed_ms: f64,
    /// The values of the load report, in the order of the names in the settings.
    pub load_report: Vec<f32>,
}

/// `Added`: a call to the counter that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterReplyRecord {
    /// The number of the instance.
    pub instance: u16,
    /// The total of the counter after the call.
    pub total: f32,
    /// The key of the counter.
    pub key: u64,
    /// The code of the outcome.
    pub outcome_code: u16,
    /// The time since the call was made.
    pub elapsed_ms: f64,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The number of the endpoint.
    pub endpoint: u32,
    /// The number of the endpoint's zone.
    pub zone: u8,
    /// The code of the type of the endpoint's machine.
    pub machine_kind: u8,
    /// The number of the endpoint's cell.
    pub cell: u16,
    /// The code of the endpoint's state.
    pub state_code: u8,
    /// The capacity relative to the other endpoints.
    pub weight: f32,
    /// The time at which the endpoint started; 0 for a long time ago.
    pub started_at_ms: f64,
}
