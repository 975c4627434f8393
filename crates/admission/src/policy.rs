//! The limits of admission.

use crate::address::{AddressList, PrefixLengths};
use crate::gcra::Rate;
use crate::history_cache::ClientHistory;
use std::time::Duration;

/// The limits of admission. Counts are connections unless stated otherwise; defaults are those of
/// [`AdmissionPolicy::with_capacity`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Client connections in all. At the limit a new connection evicts an idle one of lower
    /// reputation or is rejected.
    pub capacity: usize,
    /// Part of `capacity` on which new clients may be connected but have no requests open, so that
    /// it can be given to known clients at once; requests of new clients beyond the rest of the
    /// capacity are rejected. Clients that have sent several commands may use half of it. By
    /// default an eighth of the capacity.
    pub reserve: usize,
    /// Idle connections that have sent no command. Beyond it the one that has been idle for longest
    /// is closed. By default half of the capacity, at least 1.
    pub max_idle_without_command: usize,
    /// Idle connections that have sent one command. Beyond it the one that has been idle for
    /// longest is closed. By default three tenths of the capacity, at least 1.
    pub max_idle_after_one_command: usize,
    /// Does the address tell clients apart? False by default, for a proxy in front that connects
    /// for all clients from a few addresses; then no limit or history goes by address.
    pub identify_clients_by_address: bool,
    /// Connections of one client address. At the limit new ones are rejected. No limit by default.
    pub max_per_client: Option<u32>,
    /// Connections of one network. At the limit new ones are rejected. No limit by default.
    pub max_per_network: Option<u32>,
    /// New connections of one client address. Those beyond it are rejected with the time after
    /// which one is admitted, and count against the address. No limit by default.
    pub client_connect_rate: Option<Rate>,
    /// New connections of one network. Those beyond it are rejected with the time after which one
    /// is admitted. No limit by default.
    pub network_connect_rate: Option<Rate>,
    /// Requests of all new clients together, as far as their connections were idle; those beyond it
    /// are rejected. Prevents a flood within its customers' quotas, which reconnects whenever it is
    /// closed, from taking the known clients' part of the servers. No limit by default.
    pub new_client_request_rate: Option<Rate>,
    /// How many bits of an address identify a client and a network.
    pub prefix_lengths: PrefixLengths,
    /// The operator's own addresses: exempt from limits by address, and evicted last. Empty by
    /// default.
    pub allowlist: AddressList,
    /// Requests served, decaying with `known_half_life`, from which on an address or a customer is
    /// known; 3 by default.
    pub known_after_served_requests: f32,
    /// Half-life of requests served; 1 hour by default.
    pub known_half_life: Duration,
    /// Faults, decaying with `suspect_half_life`, from which on an address is suspect; 5 by
    /// default.
    pub suspect_after_faults: f32,
    /// Half-life of faults; 30 s by default.
    pub suspect_half_life: Duration,
    /// Open connections of one customer up to which a new one counts as [`Reputation::New`] at its
    /// first request because the customer is known. 0, the default, trusts no customer: anybody can
    /// send a customer's name.
    ///
    /// [`Reputation::New`]: crate::Reputation::New
    pub max_trusted_connections_per_customer: u32,
    /// Addresses without an open connection whose history is kept, and as many networks and
    /// customers; 16,384 by default. Beyond it old ones are evicted, new clients first.
    pub history_cache_capacity: usize,
    /// Idle time after which a connection that has sent no command is closed; 2.2 s by default.
    pub idle_timeout_without_command: Duration,
    /// Idle time after which a connection that has sent one command is closed; 2.2 s by default.
    pub idle_timeout_after_one_command: Duration,
    /// Idle time after which any other connection is closed; 6 s by default.
    pub idle_timeout: Duration,
    /// Idle time before which a known client's connection is not evicted for a new client's; 1 s by
    /// default.
    pub known_client_grace_period: Duration,
    /// Time that a connection has to send its first command before it is evicted for a new
    /// client's; 10 ms by default.
    pub first_command_grace_period: Duration,
    /// Shortest time after which rejected clients are asked to retry; 500 ms by default.
    pub retry_after: Duration,
    /// Time after the start in which one served request, instead of two, makes a connection that
    /// has sent several commands known; 10 s by default.
    pub warm_up_period: Duration,
}

impl AdmissionPolicy {
    /// The defaults at this capacity: no limits by address; connections are evicted by their own
    /// behaviour.
    #[must_use]
    pub fn with_capacity(capacity: usize) -> AdmissionPolicy {
        AdmissionPolicy {
            capacity,
            reserve: capacity / 8,
            max_idle_without_command: (capacity / 2).max(1),
            max_idle_after_one_command: (capacity * 3 / 10).max(1),
            identify_clients_by_address: false,
            max_per_client: None,
            max_per_network: None,
            client_connect_rate: None,
            network_connect_rate: None,
            new_client_request_rate: None,
            prefix_lengths: PrefixLengths::default(),
            allowlist: AddressList::default(),
            known_after_served_requests: 3.0,
            known_half_life: Duration::from_secs(3600),
            suspect_after_faults: 5.0,
            suspect_half_life: Duration::from_secs(30),
            max_trusted_connections_per_customer: 0,
            history_cache_capacity: 16_384,
            idle_timeout_without_command: Duration::from_millis(2200),
            idle_timeout_after_one_command: Duration::from_millis(2200),
            idle_timeout: Duration::from_secs(6),
            known_client_grace_period: Duration::from_secs(1),
            first_command_grace_period: Duration::from_millis(10),
            retry_after: Duration::from_millis(500),
            warm_up_period: Duration::from_secs(10),
        }
    }

    /// Does a history make its address or customer known?
    pub(crate) fn is_known(&self, history: &ClientHistory, now: Duration) -> bool {
        history.served.at(now, self.known_half_life) >= self.known_after_served_requests
    }

    /// Does a history make its address suspect?
    pub(crate) fn is_suspect(&self, history: &ClientHistory, now: Duration) -> bool {
        history.faults.at(now, self.suspect_half_life) >= self.suspect_after_faults
    }
}
