//! The project's laboratory, as a library for tests: stand-ins of what is around the ingress,
//! fleets of real daemons and the faults between them. Everything stays on loopback.

pub mod daemon;
pub mod flood;
pub mod judge;
pub mod net;
pub mod rig;
pub mod scale;
pub mod scenario;
pub mod site;
pub mod standins;
pub mod usual;
