//! One request's life around the decision module: taken in, counted, attempted, answered exactly
//! once.
//!
//! [`RequestEngine`] wraps the module's [`roseyard_decision::Dispatcher`] and keeps what every
//! front needs beside it: which requests are held, the one attempt that is out for each, which
//! servers there are and what they take. It performs no I/O and reads no clock. Whoever drives it
//! tells what has happened and carries out what [`RequestEngine::poll`] hands over; the daemon does
//! so on epoll. The rules that hold for all of them stand here:
//!
//! - one attempt of a request at a time, and an end is taken once, by the attempt's number;
//! - nothing is written to a server that drains or is gone, for a request that is over, or too late
//!   ([`RequestEngine::may_write`]); whether the connection at hand still leads to
//!   [`RequestEngine::address`] is for its owner to see;
//! - a request has exactly one final answer, also when its owner leaves and when the engine is
//!   stopped.

mod directory;
mod endpoint_registry;
mod engine;
mod links;
mod list;
mod networks;
mod slots;
mod tables;

pub use directory::{
    Directory, DirectoryBounds, DirectoryChange, DirectoryEffect, DirectoryError, EndpointSelector,
    MOST_NAME_BYTES, SINGLE_SERVICE,
};
pub use endpoint_registry::{Endpoint, EndpointRegistry, EntryContext, RegistryUpdate};
pub use engine::{
    AtCapacity, AttemptResult, EngineLimits, Output, RequestEngine, Response, Submission,
};
pub use links::{IdleConnectionRisk, IdleConnectionUse};
pub use list::{EndpointListMessage, EndpointRecord};
pub use slots::{Key, Slots};
