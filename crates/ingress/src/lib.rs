//! The real ingress around roseyard's decisions.
//!
//! Four layers, each knowing only those before it: [`transport`] (epoll, sockets, buffers, tables,
//! deadlines), [`protocol`] (parsers and encoders), [`routing`] (drives the module; requests and
//! attempts, the list of servers, the counter, probes) and [`program`] (configuration, start,
//! signals, log). All sizes, counts and times stand in [`limits`].

pub mod clock;
pub mod limits;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
