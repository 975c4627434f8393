//! Simulated ingresses: the real engine with its decision module and endpoint list, and the real
//! codecs, without sockets and in virtual time. Messages to the counter and from discovery are
//! encoded to count their bytes.

mod environment;
mod fleet;
mod ingress;
mod outputs;
mod pending;
mod traffic;

pub use environment::{Arrival, SimulatedEnvironment, Split};
pub(crate) use fleet::SimulatedFleet;
pub use ingress::{settings_of_ingress, SimulatedIngress, VIRTUAL_START_UNIX_MS};
pub use traffic::{Demand, RequestLoad, Traffic};
