//! The ingress: sockets, event loop and configuration around the decisions.
//!
//! Four layers, each knowing only those before it: [`transport`] (epoll, sockets, buffers, tables,
//! deadlines), [`protocol`] (parsers and encoders), [`routing`] (clients, requests and their
//! attempts, the counter, discovery, membership) and [`program`] (configuration, start, event loop,
//! signals, log). Bounds stand next to what they bound; [`limits`] computes them all at start.

pub mod clock;
pub mod limits;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
