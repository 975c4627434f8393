//! What the operator decides.

use crate::address::{AddressList, Prefixes};
use crate::history::History;
use crate::rate::Rate;
use std::time::Duration;

/// Settings of admission. Counts are connections unless said otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Client connections in all.
    pub capacity: usize,
    /// Of these, places on which newcomers may connect but not have requests open, so that listed
    /// and known clients find them at once. Newcomers that come again may use half of it.
    pub reserve: usize,
    /// Connections that have asked nothing yet and wait; beyond it the one that has waited longest
    /// goes.
    pub max_idle_without_request: usize,
    /// Connections between requests that have asked once; beyond it the one that has rested longest
    /// goes.
    pub max_idle_after_one_request: usize,
    /// Does the address tell clients apart? Not behind a front that brings all of them from a few
    /// addresses.
    pub by_address: bool,
    /// Connections of one client address.
    pub per_client: Option<u32>,
    /// Connections of one neighbourhood of addresses.
    pub per_neighbourhood: Option<u32>,
    /// New connections of one client address.
    pub rate_client: Option<Rate>,
    /// New connections of one neighbourhood.
    pub rate_neighbourhood: Option<Rate>,
    /// Requests of all newcomers together: guards known clients' share of the servers against a
    /// flood that asks for what its customers' quotas allow and begins again whenever it is closed.
    pub new_client_request_rate: Option<Rate>,
    /// What of an address names a client and its neighbourhood.
    pub prefixes: Prefixes,
    /// The operator's own addresses.
    pub listed: AddressList,
    /// Served requests, halving with `known_half_life`, from which on an address or a customer is
    /// known.
    pub known_after: f32,
    /// Half-life of what was served.
    pub known_half_life: Duration,
    /// Faults, halving with `suspect_half_life`, from which on an address is suspect.
    pub suspect_after: f32,
    /// Half-life of faults.
    pub suspect_half_life: Duration,
    /// Connections at a time that are taken for more than newcomers because their customer is
    /// known; 0 for none: a customer's name is easily said.
    pub customer_trusted_connections: u32,
    /// Addresses remembered without a connection open, and as many neighbourhoods and customers.
    pub max_remembered: usize,
    /// A connection that has asked nothing is ended after this.
    pub idle_timeout_without_request: Duration,
    /// And one that has asked once.
    pub idle_timeout_after_one_request: Duration,
    /// And one that comes again.
    pub idle_timeout: Duration,
    /// A known client's connection is not closed for a newcomer's until it has rested for this.
    pub known_client_grace: Duration,
    /// No connection is closed for another before it has had this long to say its first command.
    pub first_command_grace: Duration,
    /// When those that are turned away are told to come again.
    pub retry_after: Duration,
    /// For so long after the start one served request makes a connection known that comes again; it
    /// takes two later.
    pub warm_up: Duration,
}

impl AdmissionPolicy {
    /// Defaults under so many places: addresses decide nothing, and conduct decides who goes first.
    pub fn of(capacity: usize) -> AdmissionPolicy {
        AdmissionPolicy {
            capacity,
            reserve: capacity / 8,
            max_idle_without_request: (capacity / 2).max(1),
            max_idle_after_one_request: (capacity * 3 / 10).max(1),
            by_address: false,
            per_client: None,
            per_neighbourhood: None,
            rate_client: None,
            rate_neighbourhood: None,
            new_client_request_rate: None,
            prefixes: Prefixes::default(),
            listed: AddressList::default(),
            known_after: 3.0,
            known_half_life: Duration::from_secs(3600),
            suspect_after: 5.0,
            suspect_half_life: Duration::from_secs(30),
            customer_trusted_connections: 0,
            max_remembered: 16_384,
            idle_timeout_without_request: Duration::from_millis(2200),
            idle_timeout_after_one_request: Duration::from_millis(2200),
            idle_timeout: Duration::from_secs(6),
            known_client_grace: Duration::from_secs(1),
            first_command_grace: Duration::from_millis(10),
            retry_after: Duration::from_millis(500),
            warm_up: Duration::from_secs(10),
        }
    }
    /// Has the key of this history been served enough?
    pub(crate) fn is_known(&self, history: &History, now: Duration) -> bool {
        history.served.at(now, self.known_half_life) >= self.known_after
    }

    /// Does enough speak against the key of this history?
    pub(crate) fn is_suspect(&self, history: &History, now: Duration) -> bool {
        history.faults.at(now, self.suspect_half_life) >= self.suspect_after
    }
}
