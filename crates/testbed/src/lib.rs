//! The test bed of the ingress, as a library for tests: fakes of the platform, client load,
//! connection floods, fleets of real daemons with fault injection and a checker, and measurements
//! of the cost of each role by size. All connections stay on loopback.

pub mod checker;
mod client_connection;
pub mod client_load;
pub mod daemon;
pub mod fakes;
pub mod faulty_network;
pub mod fleet;
pub mod flood;
pub mod platform_settings;
pub mod request;
pub mod runtime;
pub mod scale;
pub mod scenario;
pub mod soak;
