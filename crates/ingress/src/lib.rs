//! The ingress process: sockets, event loop and configuration around the request engine.
//!
//! The code has four layers, each of which uses only the preceding ones: [`transport`] (epoll,
//! sockets, buffers, deadlines), [`protocol`] (parsers and encoders), [`routing`] (clients,
//! requests and their attempts, the counter, discovery, membership) and [`program`] (configuration,
//! startup, event loop, signals, log). Each component defines its own limits; [`limits`] computes
//! all of them at startup.

pub mod clock;
pub mod limits;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
