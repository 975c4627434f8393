//! The section `membership`: how ingresses discover each other.

use super::format::{duration, list, optional, path};
use super::setting::Setting;
use crate::value_kind::ValueKind;
use roseyard_admission::{DescriptorLimits, DescriptorUse};

/// The settings of the section.
pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "membership",
        name: "listen",
        kind: ValueKind::Addresses(1),
        description: "address at which this ingress receives datagrams of other ingresses; without it membership is disabled; takes effect after a restart",
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
        description: "name of the cluster; datagrams of other clusters are dropped; takes effect after a restart",
        apply: |settings, value| settings.membership.cluster = value.text().into(),
        format: |settings| settings.membership.cluster.clone(),
    },
    Setting {
        section: "membership",
        name: "key-file",
        kind: ValueKind::Path,
        description: "file of the key that authenticates datagrams: 64 hexadecimal digits; only the owner may have permissions for the file; read again on SIGHUP",
        apply: |settings, value| settings.membership.key_file = Some(value.text().into()),
        format: |settings| path(&settings.membership.key_file),
    },
    Setting {
        section: "membership",
        name: "other-key-file",
        kind: ValueKind::Path,
        description: "file of a second key, with which incoming datagrams may be authenticated too while keys are rotated; read again on SIGHUP",
        apply: |settings, value| settings.membership.secondary_key_file = Some(value.text().into()),
        format: |settings| path(&settings.membership.secondary_key_file),
    },
    Setting {
        section: "membership",
        name: "seeds",
        kind: ValueKind::Addresses(64),
        description: "addresses of members to which requests to join are sent; this ingress's own address may be among them; takes effect after a restart",
        apply: |settings, value| settings.membership.seeds = value.addresses().to_vec(),
        format: |settings| list(&settings.membership.seeds, ToString::to_string),
    },
    Setting {
        section: "membership",
        name: "paths",
        kind: ValueKind::NamedAddresses(1024),
        description: "addresses at which members are reached from this ingress, for those where it differs from their listen address; takes effect after a restart",
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
        description: "expected number of members, including this one; more than half of them are a majority; takes effect after a restart",
        apply: |settings, value| settings.membership.expected_members = value.count(),
        format: |settings| settings.membership.expected_members.to_string(),
    },
    Setting {
        section: "membership",
        name: "zone",
        kind: ValueKind::Label(12),
        description: "zone of this ingress, which the other members receive; takes effect after a restart",
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
        description: "time between two probes, each of one member; takes effect after a restart",
        apply: |settings, value| settings.membership.probe_interval = value.duration(),
        format: |settings| duration(settings.membership.probe_interval),
    },
    Setting {
        section: "membership",
        name: "timeout",
        kind: ValueKind::DurationMs(10, 20_000),
        description: "time to wait for the answer to a direct probe before other members are asked to probe; at most half of 'period'; takes effect after a restart",
        apply: |settings, value| settings.membership.probe_timeout = value.duration(),
        format: |settings| duration(settings.membership.probe_timeout),
    },
    Setting {
        section: "membership",
        name: "gossip",
        kind: ValueKind::DurationMs(10, 60_000),
        description: "time between two rounds of gossip, which send queued updates; takes effect after a restart",
        apply: |settings, value| settings.membership.gossip_interval = value.duration(),
        format: |settings| duration(settings.membership.gossip_interval),
    },
    Setting {
        section: "membership",
        name: "sync",
        kind: ValueKind::DurationMs(100, 600_000),
        description: "mean time between two comparisons of all records with one member; takes effect after a restart",
        apply: |settings, value| settings.membership.sync_interval = value.duration(),
        format: |settings| duration(settings.membership.sync_interval),
    },
    Setting {
        section: "membership",
        name: "suspicion",
        kind: ValueKind::Count(1, 100),
        description: "minimum suspicion timeout, as a multiple of 'period' times the decimal logarithm (at least 1) of the number of members; takes effect after a restart",
        apply: |settings, value| settings.membership.suspicion_multiplier = value.count() as u32,
        format: |settings| settings.membership.suspicion_multiplier.to_string(),
    },
    Setting {
        section: "membership",
        name: "datagrams",
        kind: ValueKind::Count(10, 100_000),
        description: "maximum number of datagrams sent per second, each of at most 256 bytes; excess datagrams are dropped and counted",
        apply: |settings, value| {
            settings.membership.max_datagrams_per_second = value.count() as u32;
        },
        format: |settings| settings.membership.max_datagrams_per_second.to_string(),
    },
    Setting {
        section: "membership",
        name: "status",
        kind: ValueKind::Path,
        description: "file to which this ingress's view of the members is written, at most once per second; 'roseyard-ingress status' prints it; takes effect after a restart",
        apply: |settings, value| settings.membership.status_file = Some(value.text().into()),
        format: |settings| path(&settings.membership.status_file),
    },
];
