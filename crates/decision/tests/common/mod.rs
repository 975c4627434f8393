//! Simulated ingresses for the tests. `simulation` drives several ingresses through valid sequences
//! of events, with `counter` as their counter service and `attempts` to end their attempts; `rules`
//! checks every action that they return. `service_simulation` drives one ingress with several
//! services. `fixtures` contains settings and endpoint entries.
#![allow(dead_code, unused_imports)]

mod attempts;
mod counter;
mod fixtures;
mod rules;
mod service_simulation;
mod simulation;

pub(crate) use attempts::{end_all_and_advance, run_steady_requests};
pub(crate) use counter::{CallOutcome, CounterEntry, PendingCall};
pub(crate) use fixtures::{ceiling_plan, class, entry, ms, plan, settings};
pub(crate) use service_simulation::{
    endpoint_id, high_quota_settings, ready_entries, service_entry, ServiceSimulation,
    CEILING_PLAN, ENDPOINTS_PER_SERVICE, IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, QUOTA_PLAN,
};
pub(crate) use simulation::{Answer, AttemptId, AttemptRecord, Forward, RequestRecord, Simulation};
