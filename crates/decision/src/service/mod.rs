//! One service and its requests, from arrival to the final answer. Services are independent: the
//! events of one service neither affect another service nor cause work for it.
//!
//! A request is admitted ([`admission`]), forwarded and retried ([`attempts`], [`retry`]), hedged
//! if the response is slow ([`timers`], [`hedging`]) and closed ([`closing`]). [`upstream`] holds
//! the endpoints of the service and the statistics about them.

mod admission;
mod attempts;
mod closing;
mod hedging;
mod request;
mod retry;
mod state;
mod timers;
mod upstream;

pub(crate) use self::admission::QuotaDecision;
pub(crate) use self::state::{EventContext, Service};
