//! Simulated ingresses for the tests: `simulation` drives them through legal event orders, `rules`
//! checks every action, `attempts` ends attempts, `counter` is the counter service, `fixtures` are
//! settings and entries. `service_simulation` is one ingress with several services.
#![allow(dead_code, unused_imports)]

mod attempts;
mod counter;
mod fixtures;
mod rules;
mod service_simulation;
mod simulation;

pub(crate) use attempts::{end_all_and_advance, steady_requests};
pub(crate) use counter::{CallOutcome, CounterEntry, PendingCall};
pub(crate) use fixtures::{ceiling_plan, class, entry, ms, plan, settings};
pub(crate) use service_simulation::{
    ample_settings, endpoint, ready, service_entry, ServiceSimulation, CEILING, ENDPOINTS,
    IDEMPOTENT, NON_IDEMPOTENT, PLAIN,
};
pub(crate) use simulation::{Answer, AttemptId, AttemptRecord, Forward, RequestRecord, Simulation};
