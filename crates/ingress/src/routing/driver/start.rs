//! What the driver is started with.

use crate::clock::Clock;
use crate::routing::counter_client::{CounterClient, CounterLimits};
use crate::routing::discovery::DiscoveryLimits;
use crate::routing::upstream::UpstreamLimits;
use roseyard_decision::Settings;
use roseyard_request_engine::{Directory, EngineLimits};
use std::net::SocketAddr;

/// Limits of the driver's components.
#[derive(Clone, Copy, Debug)]
pub struct DriverLimits {
    /// Of the requests held.
    pub engine: EngineLimits,
    /// Of connections to endpoints.
    pub upstream: UpstreamLimits,
    /// Of connections to the counter.
    pub counter: CounterLimits,
    /// Of the watch on discovery.
    pub discovery: DiscoveryLimits,
}

/// What the driver is started with.
pub struct DriverConfig {
    /// The decisions' settings.
    pub settings: Settings,
    /// Seed of their random numbers.
    pub seed: u64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Services with their routes and endpoints.
    pub directory: Directory,
    /// The clock.
    pub clock: Clock,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The counter's address.
    pub counter: Option<SocketAddr>,
    /// Limits of the components.
    pub limits: DriverLimits,
}

/// The client of the counter, if there is one; the settings follow.
///
/// The settings' time-out is the simulator's, where a call that is late is never answered. On
/// sockets a late total still shows what the others use, so a call waits longer here; how long a
/// request waits for it is a decision.
pub(super) fn start_counter(
    address: Option<SocketAddr>,
    settings: &mut Settings,
    limits: CounterLimits,
) -> Option<CounterClient> {
    if let Some(counter) = &mut settings.counter {
        counter.timeout = counter.timeout.max(limits.min_call_timeout);
    }
    let timeout = settings.counter.as_ref().map(|counter| counter.timeout);
    let Some((address, timeout)) = address.zip(timeout) else {
        settings.counter = None;
        return None;
    };
    Some(CounterClient::new(address, timeout, limits))
}
