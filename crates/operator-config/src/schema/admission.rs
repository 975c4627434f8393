//! The section `admission`: admission and eviction of client connections.

use super::format::{duration, flag, optional, rate};
use super::setting::Setting;
use crate::value_kind::ValueKind;
use roseyard_admission::{AddressList, AdmissionPolicy, DescriptorUse};

/// Returns the number of connections that a ratio of the capacity amounts to, rounded.
fn connections_from_ratio(capacity: usize, ratio: f64) -> usize {
    (capacity as f64 * ratio).round() as usize
}

/// The settings of the section.
pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "admission",
        name: "places",
        kind: ValueKind::Count(1, 1 << 20),
        description: "maximum number of client connections; lowered to the maximum of 'descriptors.clients' if that is smaller",
        apply: |settings, value| {
            let max_clients = settings.descriptor_limits_of(DescriptorUse::Clients).max;
            settings.policy = AdmissionPolicy::with_capacity(value.count().min(max_clients));
        },
        format: |settings| settings.policy.capacity.to_string(),
    },
    Setting {
        section: "admission",
        name: "reserve",
        kind: ValueKind::Ratio,
        description: "part of 'places', as a ratio, that new clients may use for idle connections but not for connections with open requests",
        apply: |settings, value| {
            settings.policy.reserve = connections_from_ratio(settings.policy.capacity, value.number());
        },
        format: |settings| settings.policy.reserve.to_string(),
    },
    Setting {
        section: "admission",
        name: "silent-room",
        kind: ValueKind::Ratio,
        description: "maximum number of idle connections that have sent no command, as a ratio of 'places'; beyond it, the connection that has been idle for longest is closed",
        apply: |settings, value| {
            let connections = connections_from_ratio(settings.policy.capacity, value.number());
            settings.policy.max_idle_without_command = connections.max(1);
        },
        format: |settings| settings.policy.max_idle_without_command.to_string(),
    },
    Setting {
        section: "admission",
        name: "once-room",
        kind: ValueKind::Ratio,
        description: "maximum number of idle connections that have sent one command, as a ratio of 'places'; beyond it, the connection that has been idle for longest is closed",
        apply: |settings, value| {
            let connections = connections_from_ratio(settings.policy.capacity, value.number());
            settings.policy.max_idle_after_one_command = connections.max(1);
        },
        format: |settings| settings.policy.max_idle_after_one_command.to_string(),
    },
    Setting {
        section: "admission",
        name: "by-address",
        kind: ValueKind::Flag,
        description: "whether clients are distinguished by address; disable it if a proxy connects for all clients from a few addresses",
        apply: |settings, value| settings.policy.identify_clients_by_address = value.flag(),
        format: |settings| flag(settings.policy.identify_clients_by_address),
    },
    Setting {
        section: "admission",
        name: "per-client",
        kind: ValueKind::Count(1, 1 << 20),
        description: "maximum number of open connections of one client address; requires by-address",
        apply: |settings, value| settings.policy.max_per_client = Some(value.count() as u32),
        format: |settings| optional(settings.policy.max_per_client),
    },
    Setting {
        section: "admission",
        name: "per-neighbourhood",
        kind: ValueKind::Count(1, 1 << 20),
        description: "maximum number of open connections of one network, as defined by 'prefixes'; requires by-address",
        apply: |settings, value| settings.policy.max_per_network = Some(value.count() as u32),
        format: |settings| optional(settings.policy.max_per_network),
    },
    Setting {
        section: "admission",
        name: "rate-client",
        kind: ValueKind::Rate,
        description: "maximum rate of new connections of one client address, per second; requires by-address",
        apply: |settings, value| settings.policy.client_connect_rate = value.rate(),
        format: |settings| rate(settings.policy.client_connect_rate),
    },
    Setting {
        section: "admission",
        name: "rate-neighbourhood",
        kind: ValueKind::Rate,
        description: "maximum rate of new connections of one network, as defined by 'prefixes', per second; requires by-address",
        apply: |settings, value| settings.policy.network_connect_rate = value.rate(),
        format: |settings| rate(settings.policy.network_connect_rate),
    },
    Setting {
        section: "admission",
        name: "pace-newcomers",
        kind: ValueKind::Rate,
        description: "maximum rate of requests of all new clients together, per second; excess requests are rejected with a retry time",
        apply: |settings, value| settings.policy.new_client_request_rate = value.rate(),
        format: |settings| rate(settings.policy.new_client_request_rate),
    },
    Setting {
        section: "admission",
        name: "prefixes",
        kind: ValueKind::PrefixLengths,
        description: "number of address bits that identify a network (v4, v6) and an IPv6 client (v6-client); requires by-address",
        apply: |settings, value| {
            let lengths = &mut settings.policy.prefix_lengths;
            let given = |name, default: u8| value.property(name).map_or(default, |bits| bits as u8);
            lengths.ipv4_network = given("v4", lengths.ipv4_network);
            lengths.ipv6_network = given("v6", lengths.ipv6_network);
            lengths.ipv6_client = given("v6-client", lengths.ipv6_client);
        },
        format: |settings| {
            let lengths = settings.policy.prefix_lengths;
            format!(
                "v4={} v6-client={} v6={}",
                lengths.ipv4_network, lengths.ipv6_client, lengths.ipv6_network
            )
        },
    },
    Setting {
        section: "admission",
        name: "listed",
        kind: ValueKind::Networks,
        description: "addresses and networks that are exempt from the limits by address and whose connections are evicted last",
        apply: |settings, value| {
            settings.policy.allowlist = AddressList::new(value.networks().iter().copied());
        },
        format: |settings| match settings.policy.allowlist.len() {
            0 => "none".into(),
            count => format!("{count} ranges"),
        },
    },
    Setting {
        section: "admission",
        name: "known-after",
        kind: ValueKind::Number(0.5, 1e6),
        description: "number of served requests, decaying with known-half-life, at which an address or a customer becomes known",
        apply: |settings, value| settings.policy.known_after_served_requests = value.number() as f32,
        format: |settings| settings.policy.known_after_served_requests.to_string(),
    },
    Setting {
        section: "admission",
        name: "known-half-life",
        kind: ValueKind::DurationMs(1_000, 2_592_000_000),
        description: "half-life of the number of served requests",
        apply: |settings, value| settings.policy.known_half_life = value.duration(),
        format: |settings| duration(settings.policy.known_half_life),
    },
    Setting {
        section: "admission",
        name: "suspect-after",
        kind: ValueKind::Number(0.5, 1e6),
        description: "number of faults, decaying with suspect-half-life, at which an address becomes suspect",
        apply: |settings, value| settings.policy.suspect_after_faults = value.number() as f32,
        format: |settings| settings.policy.suspect_after_faults.to_string(),
    },
    Setting {
        section: "admission",
        name: "suspect-half-life",
        kind: ValueKind::DurationMs(100, 86_400_000),
        description: "half-life of the number of faults",
        apply: |settings, value| settings.policy.suspect_half_life = value.duration(),
        format: |settings| duration(settings.policy.suspect_half_life),
    },
    Setting {
        section: "admission",
        name: "vouched",
        kind: ValueKind::Count(0, 1 << 16),
        description: "maximum number of open connections per known customer that are evicted only after other connections that have sent one command; 0 trusts no customer",
        apply: |settings, value| {
            settings.policy.max_trusted_connections_per_customer = value.count() as u32;
        },
        format: |settings| settings.policy.max_trusted_connections_per_customer.to_string(),
    },
    Setting {
        section: "admission",
        name: "remembered",
        kind: ValueKind::Count(16, 4 << 20),
        description: "maximum number of addresses without an open connection whose history is kept; the same maximum applies to networks and to customers",
        apply: |settings, value| settings.policy.history_cache_capacity = value.count(),
        format: |settings| settings.policy.history_cache_capacity.to_string(),
    },
    Setting {
        section: "admission",
        name: "silent",
        kind: ValueKind::DurationMs(50, 3_600_000),
        description: "idle timeout of connections that have sent no command",
        apply: |settings, value| settings.policy.idle_timeout_without_command = value.duration(),
        format: |settings| duration(settings.policy.idle_timeout_without_command),
    },
    Setting {
        section: "admission",
        name: "once",
        kind: ValueKind::DurationMs(50, 3_600_000),
        description: "idle timeout of connections that have sent one command",
        apply: |settings, value| settings.policy.idle_timeout_after_one_command = value.duration(),
        format: |settings| duration(settings.policy.idle_timeout_after_one_command),
    },
    Setting {
        section: "admission",
        name: "idle",
        kind: ValueKind::DurationMs(50, 86_400_000),
        description: "idle timeout of connections that have sent several commands or come from a listed address",
        apply: |settings, value| settings.policy.idle_timeout = value.duration(),
        format: |settings| duration(settings.policy.idle_timeout),
    },
    Setting {
        section: "admission",
        name: "guard",
        kind: ValueKind::DurationMs(0, 86_400_000),
        description: "idle time before which a known client's connection is not evicted for a new client's connection",
        apply: |settings, value| settings.policy.known_client_grace_period = value.duration(),
        format: |settings| duration(settings.policy.known_client_grace_period),
    },
    Setting {
        section: "admission",
        name: "breath",
        kind: ValueKind::DurationMs(0, 10_000),
        description: "time that a connection has to send its first command before it may be evicted for a new client's connection",
        apply: |settings, value| settings.policy.first_command_grace_period = value.duration(),
        format: |settings| duration(settings.policy.first_command_grace_period),
    },
    Setting {
        section: "admission",
        name: "advice",
        kind: ValueKind::DurationMs(1, 3_600_000),
        description: "minimum time after which rejected clients are told to retry",
        apply: |settings, value| settings.policy.retry_after = value.duration(),
        format: |settings| duration(settings.policy.retry_after),
    },
    Setting {
        section: "admission",
        name: "warm-up",
        kind: ValueKind::DurationMs(0, 3_600_000),
        description: "time after the start in which a connection that has sent several commands becomes known after one served request instead of two",
        apply: |settings, value| settings.policy.warm_up_period = value.duration(),
        format: |settings| duration(settings.policy.warm_up_period),
    },
];
