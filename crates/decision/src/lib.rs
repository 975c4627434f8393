//! The decisions of an ingress for services that are sold by plan: what is admitted, which endpoint
//! gets it, whether it is retried or hedged, when it is given up. It performs no I/O and reads no
//! clock. The caller feeds [`Event`]s with the time to a [`Dispatcher`] and carries out its
//! [`Action`]s: it owns the sockets, the timers, the clock and the calls to the counter service.
//!
//! # The way of a request
//!
//! 1. `dispatcher` hands [`Event::RequestReceived`] to the request's service (`service_table`).
//! 2. `service::admission` consults `quota`, which calls the counter or decides locally; the total
//!    comes back with [`Event::CounterReply`] and is reconciled with the customer's bucket.
//! 3. `balancer` finds the eligible endpoints, scores them and chooses one; `load_shedding` rejects
//!    what would overload them.
//! 4. `service::attempts` forwards it ([`Action::Forward`]). While it waits, `service::timers` and
//!    `service::hedging` may forward it to a second endpoint.
//! 5. [`Event::AttemptEnded`] teaches `health`, `latency` and `load_shedding`; the request is
//!    closed, or retried within the rules of `service::retry`.
//!
//! # Rules by module
//!
//! | module | rule |
//! | --- | --- |
//! | `quota` | admission by a customer's quota, with a total and without |
//! | `quota::token_bucket` | the bucket of a rate quota |
//! | `quota::reconciliation` | totals of the counter, peers' use between them |
//! | `quota::ceiling` | the hard ceiling over all ingresses |
//! | `quota::counter_sampling` | how many requests call the counter; when it is degraded |
//! | `quota::admission_odds` | requests of infrequent customers without a total |
//! | `quota::sharing`, `customer`, `customer_table` | a customer's state, dropped when idle |
//! | `balancer` | eligible endpoints, then the score, then the choice |
//! | `balancer::score` | work in flight and reported, for weight, warm-up and speed |
//! | `balancer::slow_start` | endpoints that are warming up |
//! | `balancer::subset`, `endpoint_ring`, `endpoint_table` | deterministic subsetting |
//! | `health::outlier` | unresponsive and failing endpoints, ejection |
//! | `health::circuit_breaker` | endpoints that accept no connections |
//! | `health::health_check` | which endpoints are checked, and how often |
//! | `latency` | mean latency by class, ratio to the latency objective |
//! | `load_shedding` | the concurrency limit of a service, priority of classes |
//! | `service::admission`, `attempts`, `closing`, `timers` | one request from arrival to answer |
//! | `service::retry` | retry budget; where a request may be executed again |
//! | `service::hedging` | when a second attempt goes out |
//! | `rejection` | why a request is rejected |
//! | `service::upstream` | joins balancer, health, latency and load shedding |
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
//! // The request waits for the total; the caller makes the call and reports it.
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
