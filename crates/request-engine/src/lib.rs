//! One request from its submission to its final response, with the decision module: no I/O and no
//! clock.
//!
//! [`RequestEngine`] wraps the [`roseyard_decision::Dispatcher`] and keeps the state that every
//! frontend needs as well: the requests, the attempt in flight of each, and the endpoints with
//! their states. Its driver reports what has happened and does what [`RequestEngine::poll`]
//! returns. The engine enforces these rules for every driver:
//!
//! - a request has at most one attempt in flight, and the end of an attempt counts once;
//! - nothing is written to an endpoint that drains or is gone, for a request that is finished, or
//!   after the deadline ([`RequestEngine::may_write`]); whether a connection still leads to
//!   [`RequestEngine::address`] is checked by its owner;
//! - a request has exactly one final response, also when the engine is stopped; it has none if its
//!   owner disconnects.

mod attempt;
mod directory;
mod endpoint_list_message;
mod endpoint_registry;
mod engine;
mod hash_table;
mod idle_connection_risk;
mod network_table;
mod output;
mod request;
mod slots;
mod submission;

pub use attempt::AttemptResult;
pub use directory::{
    Directory, DirectoryBounds, DirectoryChange, DirectoryEffect, DirectoryError, EndpointSelector,
    MAX_NAME_BYTES, SINGLE_SERVICE,
};
pub use endpoint_list_message::{EndpointListMessage, EndpointRecord, EndpointRecordState};
pub use endpoint_registry::{
    AppliedEndpointList, Endpoint, EndpointRegistry, RecordResolver, RegistryUpdate,
};
pub use engine::{EngineLimits, RequestEngine};
pub use idle_connection_risk::{IdleConnectionRisk, IdleConnectionUse, ResetRisk};
pub use output::{Output, Response};
pub use slots::{Key, Slots};
pub use submission::{AtCapacity, Submission};
