//! The planned size of the platform, and what control may cost each ingress there.

use std::time::Duration;

/// Ingresses.
pub const INGRESSES: usize = 4_300;
/// Form servers.
pub const SERVERS: usize = 54_000;
/// Services.
pub const SERVICES: usize = 3_200;
/// Servers of the largest service.
pub const LARGEST_SERVICE: usize = 2_000;
/// Routes.
pub const ROUTES: usize = 11_000;
/// Tenants, each with its own quota.
pub const TENANTS: usize = 95_000;
/// Requests a second at one ingress at the peak, in the mean.
pub const REQUESTS_PER_INGRESS: f64 = 256.0;
/// Servers and ingresses that are restarted or replaced on an ordinary day.
pub const RESTARTS_A_DAY: f64 = 6_000.0;
/// Changes of configuration a day.
pub const CHANGES_A_DAY: f64 = 21_000.0;
/// Machines set aside for control.
pub const CONTROL_MACHINES: usize = 9;
/// Bytes a second that control may move at each ingress.
pub const BYTES_PER_SECOND: f64 = 12_000.0;
/// Time in which a started ingress is ready.
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// Seconds of a day.
pub const SECONDS_A_DAY: f64 = 86_400.0;
