//! Routes requests: from clients through the request engine to endpoints, and the responses back.
//!
//! Each component owns its connections and knows no other:
//!
//! - [`frontend`]: the listener, clients, their commands and replies
//! - [`upstream`]: connections to endpoints, attempts and health checks
//! - [`counter_client`]: calls to the shared counter
//! - [`discovery`]: the watch on the endpoint list
//! - [`membership`]: the other ingresses
//!
//! [`driver`] joins the request engine with upstream, counter and discovery; the event loop joins
//! it with frontend and membership. Neither the driver nor what it joins knows the platform's words
//! for customers, classes and plans: the frontend hands it a [`Submission`] and gets the
//! [`Response`].

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
