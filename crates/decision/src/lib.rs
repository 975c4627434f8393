//! **roseyard** decides what an admission gateway does with each request of a service sold by plan:
//! send it to which server, refuse it, try again, give up. It performs no I/O and reads no clock.
//! The embedder feeds [`Event`]s with the time and carries out the [`Action`]s: it owns the
//! sockets, the timers, the clock and the calls to the counter service.
//!
//! ```
//! use std::time::Duration;
//! use roseyard_decision::*;
//!
//! let ms = Duration::from_millis;
//! let settings = Settings {
//!     gateways: 2, number: 0, zone: 0, tick: ms(1),
//!     classes: vec![Class { aim: ms(500), aim_stretch: 0.0, deadline: ms(2000), worth: 1.0, late_worth: 0.0,
//!         effect: Effect::Safe, streamed: false }],
//!     plans: vec![Plan { rate: 5.0, burst: 10.0, max_open: 0, ceiling_rate: 0.0, ceiling_burst: 0.0,
//!         ceiling_slack: 0.0, price: 1.0, excess_worth: 0.0, excess_cost: 1.0 }],
//!     counter: Some(Counter { timeout: ms(50) }), reports_on_probe: false,
//!     discovery: Discovery::Push,
//!     limits: Limits { max_attempts: 3, cancel: true, duplicates: true, probes: false, retry_advice: true,
//!         max_retry_advice: ms(1000) },
//!     guarantees: Guarantees { cold_share: 0.3, warm_within: ms(10_000), tip_multiple: 2.0,
//!         tip_after: ms(2000), drain_grace: ms(500) },
//! };
//! let mut gateway = Gateway::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let server = ServerEntry { server: ServerId(1), service: ServiceId(0), zone: 0, cell: 0,
//!     state: ServerState::Ready, weight: 1.0, rank: 1, started_at: None };
//! gateway.handle(ms(0), Event::Servers(ListUpdate::Full(vec![server])), &mut actions);
//! gateway.handle(ms(1), Event::Request(NewRequest { request: RequestId(1), service: ServiceId(0), class: 0,
//!     plan: 0, customer: CustomerId(9), units: 1.0, spread: 2, time_left: ms(2000),
//!     retry: false }), &mut actions);
//! // The request waits for its add; the embedder performs the call and tells the total.
//! let name = actions.iter().find_map(|a| match a { Action::Count { name, .. } => Some(*name), _ => None });
//! actions.clear();
//! gateway.handle(ms(2), Event::Counted { name: name.unwrap(), result: CountResult::Total(1.0),
//!     elapsed: ms(1) }, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! # Ok::<(), SettingsError>(())
//! ```

mod alarms;
mod aperture;
mod average;
mod choice;
mod draw;
mod gateway;
mod interface;
mod ledgers;
mod quota;
mod roster;
mod service;

pub use gateway::Gateway;
pub use interface::*;
