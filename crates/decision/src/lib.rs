//! **roseyard** decides what an admission gateway does with each request of a service sold by plan:
//! send it to which server, refuse it, try again, give up. It performs no I/O and reads no clock.
//! The embedder feeds [`Event`]s with the time and carries out the [`Action`]s: it owns the
//! sockets, the timers, the clock and the calls to the counter service.
//!
//! ```
//! use roseyard_decision::*;
//! use std::time::Duration;
//!
//! let ms = Duration::from_millis;
//! let settings = Settings {
//!     ingress_count: 2,
//!     ingress_index: 0,
//!     zone: 0,
//!     tick: ms(1),
//!     classes: vec![RequestClass {
//!         latency_objective: ms(500),
//!         objective_per_work: 0.0,
//!         deadline: ms(2000),
//!         priority_weight: 1.0,
//!         late_weight_ratio: 0.0,
//!         idempotency: Idempotency::Idempotent,
//!         streamed: false,
//!     }],
//!     plans: vec![Plan {
//!         rate: 5.0,
//!         burst: 10.0,
//!         max_concurrent: 0,
//!         ceiling_rate: 0.0,
//!         ceiling_burst: 0.0,
//!         ceiling_slack: 0.0,
//!         priority_factor: 1.0,
//!         over_quota_weight_ratio: 0.0,
//!         over_quota_cost: 1.0,
//!     }],
//!     counter: Some(CounterSettings { timeout: ms(50) }),
//!     load_reports_on_health_check: false,
//!     discovery: DiscoveryMode::Push,
//!     permissions: Permissions {
//!         max_attempts: 3,
//!         cancel: true,
//!         hedging: true,
//!         health_checks: false,
//!         retry_after: true,
//!         max_retry_after: ms(1000),
//!     },
//!     endpoint_limits: EndpointLimits {
//!         initial_capacity_ratio: 0.3,
//!         warm_up_duration: ms(10_000),
//!         overload_multiple: 2.0,
//!         overload_window: ms(2000),
//!         drain_grace: ms(500),
//!     },
//! };
//! let mut dispatcher = Dispatcher::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let endpoint = EndpointEntry {
//!     endpoint: EndpointId(1),
//!     service: ServiceId(0),
//!     zone: 0,
//!     cell: 0,
//!     state: EndpointState::Ready,
//!     weight: 1.0,
//!     rank: 1,
//!     started_at: None,
//! };
//! let list = EndpointListUpdate::Full(vec![endpoint]);
//! dispatcher.handle(ms(0), Event::EndpointListChanged(list), &mut actions);
//! let request = IncomingRequest {
//!     request: RequestId(1),
//!     service: ServiceId(0),
//!     class: 0,
//!     plan: 0,
//!     customer: CustomerId(9),
//!     units: 1.0,
//!     ingress_count: 2,
//!     time_left: ms(2000),
//!     is_retry: false,
//! };
//! dispatcher.handle(ms(1), Event::RequestReceived(request), &mut actions);
//! // The request waits for its increment; the embedder performs the call and reports the total.
//! let name = actions.iter().find_map(|action| match action {
//!     Action::IncrementCounter { key: name, .. } => Some(*name),
//!     _ => None,
//! });
//! actions.clear();
//! let reply = Event::CounterReply {
//!     key: name.unwrap(),
//!     result: CounterResult::Total(1.0),
//!     elapsed: ms(1),
//! };
//! dispatcher.handle(ms(2), reply, &mut actions);
//! let forwarded = |action: &Action| {
//!     matches!(action, Action::Forward { endpoint: EndpointId(1), .. })
//! };
//! assert!(actions.iter().any(forwarded));
//! # Ok::<(), SettingsError>(())
//! ```

mod action;
mod balancer;
mod dispatcher;
mod endpoint;
mod event;
mod health;
mod ids;
mod latency;
mod load_shedding;
mod quota;
mod service;
mod settings;
mod util;

pub use action::{Action, Notice};
pub use dispatcher::Dispatcher;
pub use event::{
    AttemptEnd, CounterResult, EndpointEntry, EndpointListUpdate, EndpointState, Event,
    IncomingRequest, LoadReport, Outcome,
};
pub use ids::{CounterKey, CustomerId, EndpointId, RequestId, ServiceId, TimerTag};
pub use settings::{
    CounterSettings, DeduplicationScope, DiscoveryMode, EndpointLimits, Idempotency, Permissions,
    Plan, RequestClass, Settings, SettingsError,
};
