//! The planned size of the platform, and the budget of each ingress for control traffic.

use std::time::Duration;

/// The number of ingresses.
pub const INGRESSES: usize = 4_300;
/// The number of form servers.
pub const SERVERS: usize = 54_000;
/// The number of services that the form servers are divided into.
pub const SERVICES: usize = 3_200;
/// The number of servers of the largest service.
pub const LARGEST_SERVICE: usize = 2_000;
/// The number of routes to the services.
pub const ROUTES: usize = 11_000;
/// The number of tenants, each with its own quota.
pub const TENANTS: usize = 95_000;
/// The mean number of requests per second at an ingress at peak time.
pub const REQUESTS_PER_INGRESS: f64 = 256.0;
/// The number of servers and ingresses that are restarted or replaced on an ordinary day.
pub const RESTARTS_A_DAY: f64 = 6_000.0;
/// The number of configuration changes per day.
pub const CHANGES_A_DAY: f64 = 21_000.0;
/// The number of machines that are reserved for the control plane.
pub const CONTROL_MACHINES: usize = 9;
/// The maximum rate of control traffic at each ingress.
pub const MAX_CONTROL_BYTES_PER_SECOND: f64 = 12_000.0;
/// The maximum time from the start of an ingress until it is ready.
pub const MAX_STARTUP_TIME: Duration = Duration::from_secs(10);
/// The number of seconds in a day, for rates per second.
pub const SECONDS_A_DAY: f64 = 86_400.0;
