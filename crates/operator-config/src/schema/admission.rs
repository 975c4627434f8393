//! Admission of connections: the section `admission`.

use super::format::{duration, flag, optional, rate};
use super::setting::Setting;
use crate::value_kind::ValueKind;
use roseyard_admission::{AddressList, AdmissionPolicy, DescriptorUse};

/// A ratio of the capacity, in connections.
fn part_of(capacity: usize, ratio: f64) -> usize {
    (capacity as f64 * ratio).round() as usize
}

pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "admission",
        name: "places",
        kind: ValueKind::Count(1, 1 << 20),
        description: "client connections in all; never more than 'descriptors' leaves them",
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
        description: "share of the places on which newcomers may rest, but not have requests open",
        apply: |settings, value| {
            settings.policy.reserve = part_of(settings.policy.capacity, value.number());
        },
        format: |settings| settings.policy.reserve.to_string(),
    },
    Setting {
        section: "admission",
        name: "silent-room",
        kind: ValueKind::Ratio,
        description: "share of the places for connections that have asked nothing yet",
        apply: |settings, value| {
            let connections = part_of(settings.policy.capacity, value.number());
            settings.policy.max_idle_without_request = connections.max(1);
        },
        format: |settings| settings.policy.max_idle_without_request.to_string(),
    },
    Setting {
        section: "admission",
        name: "once-room",
        kind: ValueKind::Ratio,
        description: "share of the places for connections that rest and have asked once",
        apply: |settings, value| {
            let connections = part_of(settings.policy.capacity, value.number());
            settings.policy.max_idle_after_one_request = connections.max(1);
        },
        format: |settings| settings.policy.max_idle_after_one_request.to_string(),
    },
    Setting {
        section: "admission",
        name: "by-address",
        kind: ValueKind::Flag,
        description: "does the address tell clients apart? Not behind a front that brings all of them",
        apply: |settings, value| settings.policy.by_address = value.flag(),
        format: |settings| flag(settings.policy.by_address),
    },
    Setting {
        section: "admission",
        name: "per-client",
        kind: ValueKind::Count(1, 1 << 20),
        description: "connections of one client address (needs by-address)",
        apply: |settings, value| settings.policy.max_per_client = Some(value.count() as u32),
        format: |settings| optional(settings.policy.max_per_client),
    },
    Setting {
        section: "admission",
        name: "per-neighbourhood",
        kind: ValueKind::Count(1, 1 << 20),
        description: "connections of one neighbourhood of addresses (needs by-address)",
        apply: |settings, value| settings.policy.max_per_network = Some(value.count() as u32),
        format: |settings| optional(settings.policy.max_per_network),
    },
    Setting {
        section: "admission",
        name: "rate-client",
        kind: ValueKind::Rate,
        description: "new connections a second of one client address (needs by-address)",
        apply: |settings, value| settings.policy.client_connect_rate = value.rate(),
        format: |settings| rate(settings.policy.client_connect_rate),
    },
    Setting {
        section: "admission",
        name: "rate-neighbourhood",
        kind: ValueKind::Rate,
        description: "new connections a second of one neighbourhood (needs by-address)",
        apply: |settings, value| settings.policy.network_connect_rate = value.rate(),
        format: |settings| rate(settings.policy.network_connect_rate),
    },
    Setting {
        section: "admission",
        name: "pace-newcomers",
        kind: ValueKind::Rate,
        description: "requests a second of all newcomers together; further ones are refused with advice",
        apply: |settings, value| settings.policy.new_client_request_rate = value.rate(),
        format: |settings| rate(settings.policy.new_client_request_rate),
    },
    Setting {
        section: "admission",
        name: "prefixes",
        kind: ValueKind::PrefixLengths,
        description: "bits of an address that name a neighbourhood (v4, v6) and an IPv6 client (v6-client)",
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
        description: "the operator's own addresses and ranges: no cap holds for them, and they go last",
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
        description: "served requests, fading, from which on an address or a customer is known",
        apply: |settings, value| settings.policy.known_after_served = value.number() as f32,
        format: |settings| settings.policy.known_after_served.to_string(),
    },
    Setting {
        section: "admission",
        name: "known-half-life",
        kind: ValueKind::DurationMs(1_000, 2_592_000_000),
        description: "time in which what was served counts half",
        apply: |settings, value| settings.policy.known_half_life = value.duration(),
        format: |settings| duration(settings.policy.known_half_life),
    },
    Setting {
        section: "admission",
        name: "suspect-after",
        kind: ValueKind::Number(0.5, 1e6),
        description: "faults, fading, from which on an address is suspect",
        apply: |settings, value| settings.policy.suspect_after_faults = value.number() as f32,
        format: |settings| settings.policy.suspect_after_faults.to_string(),
    },
    Setting {
        section: "admission",
        name: "suspect-half-life",
        kind: ValueKind::DurationMs(100, 86_400_000),
        description: "time in which faults count half",
        apply: |settings, value| settings.policy.suspect_half_life = value.duration(),
        format: |settings| duration(settings.policy.suspect_half_life),
    },
    Setting {
        section: "admission",
        name: "vouched",
        kind: ValueKind::Count(0, 1 << 16),
        description: "connections at a time that a known customer's name lifts above those that asked once",
        apply: |settings, value| {
            settings.policy.customer_trusted_connections = value.count() as u32;
        },
        format: |settings| settings.policy.customer_trusted_connections.to_string(),
    },
    Setting {
        section: "admission",
        name: "remembered",
        kind: ValueKind::Count(16, 4 << 20),
        description: "addresses remembered without a connection, and as many neighbourhoods and customers",
        apply: |settings, value| settings.policy.max_remembered = value.count(),
        format: |settings| settings.policy.max_remembered.to_string(),
    },
    Setting {
        section: "admission",
        name: "silent",
        kind: ValueKind::DurationMs(50, 3_600_000),
        description: "a connection that has asked nothing is ended after this",
        apply: |settings, value| settings.policy.idle_timeout_without_request = value.duration(),
        format: |settings| duration(settings.policy.idle_timeout_without_request),
    },
    Setting {
        section: "admission",
        name: "once",
        kind: ValueKind::DurationMs(50, 3_600_000),
        description: "one that has asked once is ended after resting for this",
        apply: |settings, value| settings.policy.idle_timeout_after_one_request = value.duration(),
        format: |settings| duration(settings.policy.idle_timeout_after_one_request),
    },
    Setting {
        section: "admission",
        name: "idle",
        kind: ValueKind::DurationMs(50, 86_400_000),
        description: "one that comes again is ended after resting for this",
        apply: |settings, value| settings.policy.idle_timeout = value.duration(),
        format: |settings| duration(settings.policy.idle_timeout),
    },
    Setting {
        section: "admission",
        name: "guard",
        kind: ValueKind::DurationMs(0, 86_400_000),
        description: "a known client's connection goes for a newcomer's only after resting for this",
        apply: |settings, value| settings.policy.known_client_grace = value.duration(),
        format: |settings| duration(settings.policy.known_client_grace),
    },
    Setting {
        section: "admission",
        name: "breath",
        kind: ValueKind::DurationMs(0, 10_000),
        description: "no connection goes for a newcomer's before it has had this long to speak",
        apply: |settings, value| settings.policy.first_command_grace = value.duration(),
        format: |settings| duration(settings.policy.first_command_grace),
    },
    Setting {
        section: "admission",
        name: "advice",
        kind: ValueKind::DurationMs(1, 3_600_000),
        description: "when those that are turned away are told to come again",
        apply: |settings, value| settings.policy.retry_after = value.duration(),
        format: |settings| duration(settings.policy.retry_after),
    },
    Setting {
        section: "admission",
        name: "warm-up",
        kind: ValueKind::DurationMs(0, 3_600_000),
        description: "for so long after the start one served request makes a connection that comes again known",
        apply: |settings, value| settings.policy.warm_up = value.duration(),
        format: |settings| duration(settings.policy.warm_up),
    },
];
