//! Fixtures of the socket tests: an ingress that runs in the test process or as a process of its
//! own, and fakes of its peers on loopback.
#![allow(dead_code, unused_imports)]

mod config;
mod connection;
mod fake_counter;
mod harness;
pub(crate) mod ingress_process;
mod messages;
mod peer;
mod pending_change;
mod steps;

pub(crate) use config::{
    config, operator_file, parse_config, parse_operator_file, protocol_limits, tier_limits,
    PLATFORM_SETTINGS,
};
pub(crate) use connection::Connection;
pub(crate) use fake_counter::{CounterMode, FakeCounter};
pub(crate) use harness::Harness;
pub(crate) use messages::{
    chunk, endpoint_entry, endpoint_list, many_endpoint_entries, read_request,
    read_request_of_customer, request, request_of_customer, served_reply, unfinished_write,
    write_with_body, READ_FIELDS, WATCH_HEAD, WRITE_FIELDS,
};
pub(crate) use peer::Peer;
pub(crate) use pending_change::{
    DiscoveryFault, DiscoveryMode, PendingChange, DISCOVERY_FAULTS, DISCOVERY_MODES,
    MAX_NOTIFICATION_DELAY, MAX_NOTIFICATION_DELAY_AFTER_RELOAD, STEP_MS,
};
pub(crate) use steps::{
    assert_nothing_forwarded, assert_total_after_next_request, disconnect_client,
    has_unanswered_call, serve_request,
};
