//! The testbed of the ingress, as a library for tests: fakes of the platform, client load and
//! floods, fleets of real daemons with faults and a checker, and what each role costs by size.
//! Everything stays on loopback.

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
