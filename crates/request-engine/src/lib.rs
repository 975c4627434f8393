//! Manages each request from its submission to its final response. The engine performs no I/O and
//! reads no clock.
//!
//! [`RequestEngine`] wraps [`roseyard_decision::Dispatcher`] and holds the state that every driver
//! needs: the open requests, the attempt in flight of each request, and the endpoints with their
//! states. The driver reports events to the engine and carries out the outputs that
//! [`RequestEngine::poll`] returns. The engine enforces these rules for every driver:
//!
//! - A request has at most one attempt in flight, and the end of an attempt is counted once.
//! - No attempt is written to an endpoint that is draining or removed, for a finished request, or
//!   after the deadline ([`RequestEngine::may_write`]). The driver checks that a pooled connection
//!   still leads to the endpoint's current address ([`RequestEngine::address`]).
//! - A request gets exactly one final response, even if the engine is stopped, or none if its owner
//!   disconnects.

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
