//! Which connections are accepted and which go first.

use super::show::{flag, optional, rate, time};
use super::Setting;
use crate::value::{Kind, Value};
use roseyard_admission::{AddressList, AdmissionPolicy, DescriptorUse};

fn share_of(capacity: usize, share: f64) -> usize {
    (capacity as f64 * share).round() as usize
}

pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "admission",
        name: "places",
        kind: Kind::Count(1, 1 << 20),
        about: "client connections in all; never more than 'descriptors' leaves them",
        apply: |e, v| e.policy = AdmissionPolicy::with_capacity(v.count().min(e.share(DescriptorUse::Clients).max)),
        show: |e| e.policy.capacity.to_string(),
    },
    Setting {
        section: "admission",
        name: "reserve",
        kind: Kind::Ratio,
        about: "share of the places on which newcomers may rest, but not have requests open",
        apply: |e, v| e.policy.reserve = share_of(e.policy.capacity, v.number()),
        show: |e| e.policy.reserve.to_string(),
    },
    Setting {
        section: "admission",
        name: "silent-room",
        kind: Kind::Ratio,
        about: "share of the places for connections that have asked nothing yet",
        apply: |e, v| e.policy.max_idle_without_request = share_of(e.policy.capacity, v.number()).max(1),
        show: |e| e.policy.max_idle_without_request.to_string(),
    },
    Setting {
        section: "admission",
        name: "once-room",
        kind: Kind::Ratio,
        about: "share of the places for connections that rest and have asked once",
        apply: |e, v| e.policy.max_idle_after_one_request = share_of(e.policy.capacity, v.number()).max(1),
        show: |e| e.policy.max_idle_after_one_request.to_string(),
    },
    Setting {
        section: "admission",
        name: "by-address",
        kind: Kind::Flag,
        about: "does the address tell clients apart? Not behind a front that brings all of them",
        apply: |e, v| e.policy.by_address = v.on(),
        show: |e| flag(e.policy.by_address),
    },
    Setting {
        section: "admission",
        name: "per-client",
        kind: Kind::Count(1, 1 << 20),
        about: "connections of one client address (needs by-address)",
        apply: |e, v| e.policy.max_per_client = Some(v.count() as u32),
        show: |e| optional(e.policy.max_per_client),
    },
    Setting {
        section: "admission",
        name: "per-neighbourhood",
        kind: Kind::Count(1, 1 << 20),
        about: "connections of one neighbourhood of addresses (needs by-address)",
        apply: |e, v| e.policy.max_per_network = Some(v.count() as u32),
        show: |e| optional(e.policy.max_per_network),
    },
    Setting {
        section: "admission",
        name: "rate-client",
        kind: Kind::Rate,
        about: "new connections a second of one client address (needs by-address)",
        apply: |e, v| e.policy.client_connect_rate = v.rate(),
        show: |e| rate(e.policy.client_connect_rate),
    },
    Setting {
        section: "admission",
        name: "rate-neighbourhood",
        kind: Kind::Rate,
        about: "new connections a second of one neighbourhood (needs by-address)",
        apply: |e, v| e.policy.network_connect_rate = v.rate(),
        show: |e| rate(e.policy.network_connect_rate),
    },
    Setting {
        section: "admission",
        name: "pace-newcomers",
        kind: Kind::Rate,
        about: "requests a second of all newcomers together; further ones are refused with advice",
        apply: |e, v| e.policy.new_client_request_rate = v.rate(),
        show: |e| rate(e.policy.new_client_request_rate),
    },
    Setting {
        section: "admission",
        name: "prefixes",
        kind: Kind::Prefixes,
        about: "bits of an address that name a neighbourhood (v4, v6) and an IPv6 client (v6-client)",
        apply: |e, v| {
            let held = &mut e.policy.prefix_lengths;
            let bits = |name, old: u8| v.named(name).map_or(old, |n| n as u8);
            held.ipv4_network = bits("v4", held.ipv4_network);
            held.ipv6_network = bits("v6", held.ipv6_network);
            held.ipv6_client = bits("v6-client", held.ipv6_client);
        },
        show: |e| {
            let held = e.policy.prefix_lengths;
            format!("v4={} v6-client={} v6={}", held.ipv4_network, held.ipv6_client, held.ipv6_network)
        },
    },
    Setting {
        section: "admission",
        name: "listed",
        kind: Kind::Ranges,
        about: "the operator's own addresses and ranges: no cap holds for them, and they go last",
        apply: |e, v| {
            if let Value::Ranges(ranges) = v {
                e.policy.allowlist = AddressList::new(ranges.iter().copied());
            }
        },
        show: |e| match e.policy.allowlist.len() {
            0 => "none".into(),
            n => format!("{n} ranges"),
        },
    },
    Setting {
        section: "admission",
        name: "known-after",
        kind: Kind::Number(0.5, 1e6),
        about: "served requests, fading, from which on an address or a customer is known",
        apply: |e, v| e.policy.known_after_served = v.number() as f32,
        show: |e| e.policy.known_after_served.to_string(),
    },
    Setting {
        section: "admission",
        name: "known-half-life",
        kind: Kind::Time(1_000, 2_592_000_000),
        about: "time in which what was served counts half",
        apply: |e, v| e.policy.known_half_life = v.time(),
        show: |e| time(e.policy.known_half_life),
    },
    Setting {
        section: "admission",
        name: "suspect-after",
        kind: Kind::Number(0.5, 1e6),
        about: "faults, fading, from which on an address is suspect",
        apply: |e, v| e.policy.suspect_after_faults = v.number() as f32,
        show: |e| e.policy.suspect_after_faults.to_string(),
    },
    Setting {
        section: "admission",
        name: "suspect-half-life",
        kind: Kind::Time(100, 86_400_000),
        about: "time in which faults count half",
        apply: |e, v| e.policy.suspect_half_life = v.time(),
        show: |e| time(e.policy.suspect_half_life),
    },
    Setting {
        section: "admission",
        name: "vouched",
        kind: Kind::Count(0, 1 << 16),
        about: "connections at a time that a known customer's name lifts above those that asked once",
        apply: |e, v| e.policy.customer_trusted_connections = v.count() as u32,
        show: |e| e.policy.customer_trusted_connections.to_string(),
    },
    Setting {
        section: "admission",
        name: "remembered",
        kind: Kind::Count(16, 4 << 20),
        about: "addresses remembered without a connection, and as many neighbourhoods and customers",
        apply: |e, v| e.policy.max_remembered = v.count(),
        show: |e| e.policy.max_remembered.to_string(),
    },
    Setting {
        section: "admission",
        name: "silent",
        kind: Kind::Time(50, 3_600_000),
        about: "a connection that has asked nothing is ended after this",
        apply: |e, v| e.policy.idle_timeout_without_request = v.time(),
        show: |e| time(e.policy.idle_timeout_without_request),
    },
    Setting {
        section: "admission",
        name: "once",
        kind: Kind::Time(50, 3_600_000),
        about: "one that has asked once is ended after resting for this",
        apply: |e, v| e.policy.idle_timeout_after_one_request = v.time(),
        show: |e| time(e.policy.idle_timeout_after_one_request),
    },
    Setting {
        section: "admission",
        name: "idle",
        kind: Kind::Time(50, 86_400_000),
        about: "one that comes again is ended after resting for this",
        apply: |e, v| e.policy.idle_timeout = v.time(),
        show: |e| time(e.policy.idle_timeout),
    },
    Setting {
        section: "admission",
        name: "guard",
        kind: Kind::Time(0, 86_400_000),
        about: "a known client's connection goes for a newcomer's only after resting for this",
        apply: |e, v| e.policy.known_client_grace = v.time(),
        show: |e| time(e.policy.known_client_grace),
    },
    Setting {
        section: "admission",
        name: "breath",
        kind: Kind::Time(0, 10_000),
        about: "no connection goes for a newcomer's before it has had this long to speak",
        apply: |e, v| e.policy.first_command_grace = v.time(),
        show: |e| time(e.policy.first_command_grace),
    },
    Setting {
        section: "admission",
        name: "advice",
        kind: Kind::Time(1, 3_600_000),
        about: "when those that are turned away are told to come again",
        apply: |e, v| e.policy.retry_after = v.time(),
        show: |e| time(e.policy.retry_after),
    },
    Setting {
        section: "admission",
        name: "warm-up",
        kind: Kind::Time(0, 3_600_000),
        about: "for so long after the start one served request makes a connection that comes again known",
        apply: |e, v| e.policy.warm_up = v.time(),
        show: |e| time(e.policy.warm_up),
    },
];
