//! Routes requests from clients through the request engine to endpoints, and responses back.
//!
//! Each component owns its connections and does not depend on the others:
//!
//! - [`frontend`]: the listener, and clients with their commands and replies
//! - [`upstream`]: connections to endpoints, attempts and health checks
//! - [`counter_client`]: calls to the shared counter
//! - [`discovery`]: the watch that receives endpoint lists
//! - [`membership`]: the membership protocol with the other ingresses
//!
//! [`driver`] connects the request engine with the upstream, the counter client and discovery; the
//! event loop connects the driver with the frontend and membership. The driver and its components
//! do not use the platform's terms for customers, classes and plans: the frontend translates a
//! command into a [`Submission`] for the driver, and the [`Response`] into a reply.

pub mod counter_client;
pub mod discovery;
pub mod driver;
mod endpoint_list;
mod engine;
mod event_source;
pub mod frontend;
mod io;
pub mod membership;
mod shutdown_limits;
pub mod upstream;

pub use counter_client::CounterLimits;
pub use discovery::DiscoveryLimits;
pub use driver::{Driver, DriverConfig, DriverLimits};
pub use engine::{CommandId, CommandResponse, IngressEngine, Response, Submission};
pub use event_source::EventSource;
pub use frontend::{Frontend, FrontendLimits, RequestSchema};
pub use io::{Io, READ_BUFFER_BYTES};
pub use shutdown_limits::ShutdownLimits;
pub use upstream::{connect_timeout, UpstreamLimits};
