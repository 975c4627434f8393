//! The decision logic of an ingress for services whose customers have quotas by plan. It decides
//! which requests are admitted, which endpoint each one is forwarded to, whether it is retried or
//! hedged, and when it times out.
//!
//! The crate performs no I/O and reads no clock. The caller passes [`Event`]s and the current time
//! to a [`Dispatcher`] and carries out the [`Action`]s that it returns. The caller owns the
//! sockets, the timers, the clock and the calls to the counter service.
//!
//! # How a request is processed
//!
//! 1. `dispatcher` passes [`Event::RequestReceived`] to the service that the request is for
//!    (`service_table`).
//! 2. `service::admission` asks `quota`, which calls the counter or decides locally. The counter's
//!    total arrives with [`Event::CounterReply`] and is reconciled with the customer's token
//!    bucket.
//! 3. `balancer` scores the eligible endpoints and chooses one. `load_shedding` rejects requests
//!    that would overload the endpoints.
//! 4. `service::attempts` forwards the request ([`Action::Forward`]). If the response is slow,
//!    `service::timers` and `service::hedging` may forward the request to a second endpoint.
//! 5. [`Event::AttemptEnded`] updates the statistics of `health`, `latency` and `load_shedding`.
//!    The request is closed, or retried as `service::retry` permits.
//!
//! # Modules
//!
//! | module | responsibility |
//! | --- | --- |
//! | `quota` | admission by a customer's quota, with or without a total of the counter |
//! | `quota::token_bucket` | the token bucket of a rate quota |
//! | `quota::reconciliation` | the counter's totals, and other ingresses' use between them |
//! | `quota::ceiling` | the hard ceiling over all ingresses |
//! | `quota::counter_sampling` | how many requests call the counter, and whether it is degraded |
//! | `quota::admission_odds` | admission of infrequent customers' requests without a total |
//! | `quota::sharing`, `customer`, `customer_table` | a customer's state, dropped when idle |
//! | `balancer` | filters and scores endpoints and chooses one |
//! | `balancer::score` | the score by load, capacity and latency |
//! | `balancer::slow_start` | limits requests to endpoints that are warming up |
//! | `balancer::subset`, `endpoint_ring`, `endpoint_table` | deterministic subsetting |
//! | `health::outlier` | detection and ejection of unresponsive or failing endpoints |
//! | `health::circuit_breaker` | endpoints that refuse connections |
//! | `health::health_check` | which endpoints are checked, and how often |
//! | `latency` | mean latency of each class, and its ratio to the latency objective |
//! | `load_shedding` | the concurrency limit of a service, by priority of the classes |
//! | `service::admission`, `attempts`, `closing`, `timers` | a request from arrival to answer |
//! | `service::retry` | the retry budget, and where a request may be executed again |
//! | `service::hedging` | when a request is hedged |
//! | `service::upstream` | combines balancer, health, latency and load shedding of a service |
//! | `rejection` | the reasons for which requests are rejected |
//!
//! # Example
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
//!         objective_work_factor: 0.0,
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
//! // The request awaits the counter's total: the caller calls the counter and reports the reply.
//! let key = actions.iter().find_map(|action| match action {
//!     Action::IncrementCounter { key, .. } => Some(*key),
//!     _ => None,
//! });
//! actions.clear();
//! let reply = Event::CounterReply {
//!     key: key.unwrap(),
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
mod rejection;
mod service;
mod service_table;
mod settings;
mod util;

pub use action::{Action, Notice};
pub use dispatcher::Dispatcher;
pub use event::{
    AttemptEnd, CounterResult, EndpointEntry, EndpointListUpdate, EndpointState, Event,
    IncomingRequest, LoadReport, Outcome,
};
pub use ids::{CounterKey, CustomerId, EndpointId, RequestId, ServiceId, TimerTag};
pub use rejection::{RejectReason, ShedLoad};
pub use settings::{
    CounterSettings, DeduplicationScope, DiscoveryMode, EndpointLimits, Idempotency, Permissions,
    Plan, RequestClass, Settings, SettingsError,
};
