//! Membership of ingresses: the section `membership`.

use super::format::{duration, list, optional, path};
use super::setting::Setting;
use crate::value_kind::ValueKind;
use roseyard_admission::{DescriptorLimits, DescriptorUse};

pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "membership",
        name: "listen",
        kind: ValueKind::Addresses(1),
        description: "where this ingress listens for the others; without it no socket is opened (next start)",
        apply: |settings, value| {
            settings.membership.listen = value.addresses().first().copied();
            let limits = DescriptorLimits::exactly(1);
            settings.descriptor_limits[DescriptorUse::Peers as usize] = limits;
        },
        format: |settings| optional(settings.membership.listen),
    },
    Setting {
        section: "membership",
        name: "cluster",
        kind: ValueKind::Label(32),
        description: "the cluster's name; datagrams of others are dropped (next start)",
        apply: |settings, value| settings.membership.cluster = value.text().into(),
        format: |settings| settings.membership.cluster.clone(),
    },
    Setting {
        section: "membership",
        name: "key-file",
        kind: ValueKind::Path,
        description: "the key that seals: 64 hex digits in a file that only its owner may read (read again on SIGHUP)",
        apply: |settings, value| settings.membership.key_file = Some(value.text().into()),
        format: |settings| path(&settings.membership.key_file),
    },
    Setting {
        section: "membership",
        name: "other-key-file",
        kind: ValueKind::Path,
        description: "a second key that opens too, during a rotation (read again on SIGHUP)",
        apply: |settings, value| settings.membership.secondary_key_file = Some(value.text().into()),
        format: |settings| path(&settings.membership.secondary_key_file),
    },
    Setting {
        section: "membership",
        name: "seeds",
        kind: ValueKind::Addresses(64),
        description: "where members are asked to be let in; this ingress's own address does no harm (next start)",
        apply: |settings, value| settings.membership.seeds = value.addresses().to_vec(),
        format: |settings| list(&settings.membership.seeds, ToString::to_string),
    },
    Setting {
        section: "membership",
        name: "paths",
        kind: ValueKind::NamedAddresses(1024),
        description: "where members are reached from here, if not where they listen (next start)",
        apply: |settings, value| {
            settings.membership.address_overrides = value.named_addresses().to_vec();
        },
        format: |settings| {
            let overrides = &settings.membership.address_overrides;
            list(overrides, |named| format!("{}={}", named.name, named.address))
        },
    },
    Setting {
        section: "membership",
        name: "expected",
        kind: ValueKind::Count(1, 1024),
        description: "members that there should be, this one included; more than half of them are a majority (next start)",
        apply: |settings, value| settings.membership.expected_members = value.count(),
        format: |settings| settings.membership.expected_members.to_string(),
    },
    Setting {
        section: "membership",
        name: "zone",
        kind: ValueKind::Label(12),
        description: "this ingress's zone, told to the others (next start)",
        apply: |settings, value| settings.membership.zone = value.text().into(),
        format: |settings| {
            let zone = Some(&settings.membership.zone);
            optional(zone.filter(|zone| !zone.is_empty()))
        },
    },
    Setting {
        section: "membership",
        name: "period",
        kind: ValueKind::DurationMs(50, 60_000),
        description: "one member is probed so often (next start)",
        apply: |settings, value| settings.membership.probe_interval = value.duration(),
        format: |settings| duration(settings.membership.probe_interval),
    },
    Setting {
        section: "membership",
        name: "timeout",
        kind: ValueKind::DurationMs(10, 20_000),
        description: "a direct answer is awaited so long before others are asked; at most half of the period (next start)",
        apply: |settings, value| settings.membership.probe_timeout = value.duration(),
        format: |settings| duration(settings.membership.probe_timeout),
    },
    Setting {
        section: "membership",
        name: "gossip",
        kind: ValueKind::DurationMs(10, 60_000),
        description: "news goes out so often (next start)",
        apply: |settings, value| settings.membership.gossip_interval = value.duration(),
        format: |settings| duration(settings.membership.gossip_interval),
    },
    Setting {
        section: "membership",
        name: "sync",
        kind: ValueKind::DurationMs(100, 600_000),
        description: "all that is held is compared with one member so often (next start)",
        apply: |settings, value| settings.membership.sync_interval = value.duration(),
        format: |settings| duration(settings.membership.sync_interval),
    },
    Setting {
        section: "membership",
        name: "suspicion",
        kind: ValueKind::Count(1, 100),
        description: "least time of a suspicion in periods, times the logarithm of the members (next start)",
        apply: |settings, value| settings.membership.suspicion_multiplier = value.count() as u32,
        format: |settings| settings.membership.suspicion_multiplier.to_string(),
    },
    Setting {
        section: "membership",
        name: "datagrams",
        kind: ValueKind::Count(10, 100_000),
        description: "datagrams sent a second at most, of 256 bytes at most; further ones are dropped and counted",
        apply: |settings, value| {
            settings.membership.max_datagrams_per_second = value.count() as u32;
        },
        format: |settings| settings.membership.max_datagrams_per_second.to_string(),
    },
    Setting {
        section: "membership",
        name: "status",
        kind: ValueKind::Path,
        description: "where 'roseyard-ingress status' reads how the members are seen; written anew each second at most",
        apply: |settings, value| settings.membership.status_file = Some(value.text().into()),
        format: |settings| path(&settings.membership.status_file),
    },
];
