//! A simulated ingress: the real engine with its decision module and its endpoint list, and the
//! real codecs, without sockets and in virtual time. What would go over a socket is encoded and
//! counted.

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
