//! One service: its requests from arrival to their final answer. Nothing that happens to one
//! service costs or changes another.
//!
//! A request is admitted ([`admission`]), forwarded and retried ([`attempts`], [`retry`]), hedged
//! while it waits ([`timers`], [`hedging`]) and closed ([`closing`]). [`upstream`] is what the
//! service knows of its endpoints.

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
pub(crate) use self::state::{IngressState, Service};
