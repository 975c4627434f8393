//! Identifiers. The caller assigns them.

/// Identifies an endpoint (server process) of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// Identifies a service: a group of endpoints that serve the same kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u32);

/// Identifies a client request. Unique for the lifetime of the ingress process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies the customer whose quota a request uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// The key of a total on the counter service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterKey(pub u64);

/// Identifies a timer that the caller was asked to set. The expiry event carries it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerTag(pub u32);
