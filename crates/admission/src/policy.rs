//! The configurable limits of the admission controller.

use crate::address::{AddressList, PrefixLengths};
use crate::gcra::Rate;
use crate::history_cache::ClientHistory;
use std::time::Duration;

/// The limits of an [`AdmissionController`](crate::AdmissionController). The defaults stated here
/// are those of [`AdmissionPolicy::with_capacity`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Maximum number of client connections. When it is reached, a new connection either evicts an
    /// idle one, as [`Reputation`](crate::Reputation) allows, or is rejected.
    pub capacity: usize,
    /// The part of `capacity`, in connections, that new clients may use only for idle connections,
    /// which can be evicted for known clients at once. When new clients' connections with open
    /// requests fill the rest of the capacity, requests on further connections of new clients are
    /// rejected. Clients that have sent several commands may also use half of the reserve for open
    /// requests. By default an eighth of the capacity.
    pub reserve: usize,
    /// Maximum number of idle connections that have sent no command. When it is exceeded, the one
    /// that has been idle for longest is closed. By default half of the capacity, at least 1.
    pub max_idle_without_command: usize,
    /// Maximum number of idle connections that have sent one command. When it is exceeded, the one
    /// that has been idle for longest is closed. By default three tenths of the capacity, at least
    /// 1.
    pub max_idle_after_one_command: usize,
    /// Whether clients are distinguished by address. If not, no limit or history applies to
    /// addresses, as is necessary behind a proxy that connects for all clients from a few
    /// addresses. False by default.
    pub identify_clients_by_address: bool,
    /// Maximum number of connections per client address. When it is reached, new connections are
    /// rejected. No limit by default.
    pub max_per_client: Option<u32>,
    /// Maximum number of connections per network. When it is reached, new connections are rejected.
    /// No limit by default.
    pub max_per_network: Option<u32>,
    /// Maximum rate of new connections per client address. Excess connections are rejected with the
    /// time after which one is admitted, and count as faults of the address. No limit by default.
    pub client_connect_rate: Option<Rate>,
    /// Maximum rate of new connections per network. Excess connections are rejected with the time
    /// after which one is admitted. No limit by default.
    pub network_connect_rate: Option<Rate>,
    /// Maximum rate of requests on idle connections of all new clients together; excess requests
    /// are rejected. Protects the known clients' share of the servers from a flood that stays
    /// within its customers' quotas and reconnects whenever its connections are closed. No limit by
    /// default.
    pub new_client_request_rate: Option<Rate>,
    /// The numbers of address bits that identify a client and a network.
    pub prefix_lengths: PrefixLengths,
    /// Addresses that are exempt from the limits by address, and whose connections are evicted
    /// last. Empty by default.
    pub allowlist: AddressList,
    /// The number of served requests, decaying with `known_half_life`, at which an address or a
    /// customer becomes known; 3 by default.
    pub known_after_served_requests: f32,
    /// Half-life of the number of served requests; 1 hour by default.
    pub known_half_life: Duration,
    /// The number of faults, decaying with `suspect_half_life`, at which an address becomes
    /// suspect; 5 by default.
    pub suspect_after_faults: f32,
    /// Half-life of the number of faults; 30 s by default.
    pub suspect_half_life: Duration,
    /// A connection gets [`Reputation::New`] at its first request if the customer that it names is
    /// known and has fewer open connections than this. 0, the default, trusts no customer, because
    /// any client can name any customer.
    ///
    /// [`Reputation::New`]: crate::Reputation::New
    pub max_trusted_connections_per_customer: u32,
    /// Maximum number of addresses without an open connection whose history is kept; the same
    /// maximum applies to networks and to customers. When it is exceeded, the oldest histories are
    /// evicted, those of new clients first. 16,384 by default.
    pub history_cache_capacity: usize,
    /// Idle timeout of a connection that has sent no command; 2.2 s by default.
    pub idle_timeout_without_command: Duration,
    /// Idle timeout of a connection that has sent one command; 2.2 s by default.
    pub idle_timeout_after_one_command: Duration,
    /// Idle timeout of a connection that has sent several commands or whose address is on the
    /// allowlist; 6 s by default.
    pub idle_timeout: Duration,
    /// Idle time before which a known client's connection is not evicted for a new client's
    /// connection; 1 s by default.
    pub known_client_grace_period: Duration,
    /// Time that a connection has to send its first command before it may be evicted for a new
    /// client's connection; 10 ms by default.
    pub first_command_grace_period: Duration,
    /// Minimum time after which rejected clients are told to retry; 500 ms by default.
    pub retry_after: Duration,
    /// Time after the start in which one served request, instead of two, is enough for a connection
    /// that has sent several commands to become known; 10 s by default.
    pub warm_up_period: Duration,
}

impl AdmissionPolicy {
    /// Returns the default policy for this capacity. It has no limits by address, so that the
    /// reputation of a connection follows from its own behaviour alone.
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

    /// Whether the address or the customer with this history is known.
    pub(crate) fn is_known(&self, history: &ClientHistory, now: Duration) -> bool {
        history.served.at(now, self.known_half_life) >= self.known_after_served_requests
    }

    /// Whether the address with this history is suspect.
    pub(crate) fn is_suspect(&self, history: &ClientHistory, now: Duration) -> bool {
        history.faults.at(now, self.suspect_half_life) >= self.suspect_after_faults
    }
}
