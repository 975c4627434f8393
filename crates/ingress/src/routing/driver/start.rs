//! The configuration of the driver, and the creation of the counter client.

use crate::clock::Clock;
use crate::routing::counter_client::{CounterClient, CounterLimits};
use crate::routing::discovery::DiscoveryLimits;
use crate::routing::upstream::UpstreamLimits;
use roseyard_decision::Settings;
use roseyard_request_engine::{Directory, EngineLimits};
use std::net::SocketAddr;

/// Limits of the request engine and of the driver's components.
#[derive(Clone, Copy, Debug)]
pub struct DriverLimits {
    /// Limits on open requests.
    pub engine: EngineLimits,
    /// Limits on connections to endpoints.
    pub upstream: UpstreamLimits,
    /// Limits on connections to the counter.
    pub counter: CounterLimits,
    /// Limits on the watch on discovery.
    pub discovery: DiscoveryLimits,
}

/// Configuration with which the driver is created.
pub struct DriverConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Seed of the decision module's random numbers and of the backoff's jitter.
    pub seed: u64,
    /// Names of the zones. Zones are identified by their index in this list.
    pub zones: Vec<String>,
    /// Services with their routes and endpoints, from the operator's file.
    pub directory: Directory,
    /// Converts Unix times in endpoint lists to the time of the event loop.
    pub clock: Clock,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the counter; `None` if there is no counter.
    pub counter: Option<SocketAddr>,
    /// Limits of the request engine and of the components.
    pub limits: DriverLimits,
}

/// Creates the counter client, and adapts the counter's settings. Returns `None`, and removes the
/// counter from the settings, if it has no address or no settings.
///
/// The time-out in the settings suits the simulator, which never answers a late call. On a socket
/// the late reply still shows how much the other ingresses use, so the time-out is at least
/// [`CounterLimits::min_call_timeout`] here. How long a request waits for the call is up to the
/// decision module.
pub(super) fn create_counter_client(
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
