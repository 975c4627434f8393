//! How ingresses learn of one another.

use super::show::{all, file, optional, time};
use super::Setting;
use crate::value::{Kind, Value};
use roseyard_admission::{DescriptorLimits, DescriptorUse};

pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "membership",
        name: "listen",
        kind: Kind::Addresses(1),
        about: "where this ingress listens for the others; without it no socket is opened (next start)",
        apply: |e, v| {
            e.membership.listen = v.addresses().first().copied();
            e.shares[DescriptorUse::Peers as usize] = DescriptorLimits { guaranteed: 1, max: 1 };
        },
        show: |e| optional(e.membership.listen),
    },
    Setting {
        section: "membership",
        name: "cluster",
        kind: Kind::Label(32),
        about: "the cluster's name; datagrams of others are dropped (next start)",
        apply: |e, v| e.membership.cluster = v.text().into(),
        show: |e| e.membership.cluster.clone(),
    },
    Setting {
        section: "membership",
        name: "key-file",
        kind: Kind::Path,
        about: "the key that seals: 64 hex digits in a file that only its owner may read (read again on SIGHUP)",
        apply: |e, v| e.membership.key_file = Some(v.text().into()),
        show: |e| file(&e.membership.key_file),
    },
    Setting {
        section: "membership",
        name: "other-key-file",
        kind: Kind::Path,
        about: "a second key that opens too, during a rotation (read again on SIGHUP)",
        apply: |e, v| e.membership.other_key_file = Some(v.text().into()),
        show: |e| file(&e.membership.other_key_file),
    },
    Setting {
        section: "membership",
        name: "seeds",
        kind: Kind::Addresses(64),
        about: "where members are asked to be let in; this ingress's own address does no harm (next start)",
        apply: |e, v| e.membership.seeds = v.addresses().to_vec(),
        show: |e| all(&e.membership.seeds, ToString::to_string),
    },
    Setting {
        section: "membership",
        name: "paths",
        kind: Kind::Paths(1024),
        about: "where members are reached from here, if not where they listen (next start)",
        apply: |e, v| {
            if let Value::Paths(paths) = v {
                e.membership.paths = paths.clone();
            }
        },
        show: |e| all(&e.membership.paths, |(n, at)| format!("{n}={at}")),
    },
    Setting {
        section: "membership",
        name: "expected",
        kind: Kind::Count(1, 1024),
        about: "members that there should be, this one included; more than half of them are a majority (next start)",
        apply: |e, v| e.membership.expected = v.count(),
        show: |e| e.membership.expected.to_string(),
    },
    Setting {
        section: "membership",
        name: "zone",
        kind: Kind::Label(12),
        about: "this ingress's zone, told to the others (next start)",
        apply: |e, v| e.membership.zone = v.text().into(),
        show: |e| optional(Some(&e.membership.zone).filter(|z| !z.is_empty())),
    },
    Setting {
        section: "membership",
        name: "period",
        kind: Kind::Time(50, 60_000),
        about: "one member is probed so often (next start)",
        apply: |e, v| e.membership.period = v.time(),
        show: |e| time(e.membership.period),
    },
    Setting {
        section: "membership",
        name: "timeout",
        kind: Kind::Time(10, 20_000),
        about: "a direct answer is awaited so long before others are asked; at most half of the period (next start)",
        apply: |e, v| e.membership.timeout = v.time(),
        show: |e| time(e.membership.timeout),
    },
    Setting {
        section: "membership",
        name: "gossip",
        kind: Kind::Time(10, 60_000),
        about: "news goes out so often (next start)",
        apply: |e, v| e.membership.gossip = v.time(),
        show: |e| time(e.membership.gossip),
    },
    Setting {
        section: "membership",
        name: "sync",
        kind: Kind::Time(100, 600_000),
        about: "all that is held is compared with one member so often (next start)",
        apply: |e, v| e.membership.sync = v.time(),
        show: |e| time(e.membership.sync),
    },
    Setting {
        section: "membership",
        name: "suspicion",
        kind: Kind::Count(1, 100),
        about: "least time of a suspicion in periods, times the logarithm of the members (next start)",
        apply: |e, v| e.membership.suspicion = v.count() as u32,
        show: |e| e.membership.suspicion.to_string(),
    },
    Setting {
        section: "membership",
        name: "datagrams",
        kind: Kind::Count(10, 100_000),
        about: "datagrams sent a second at most, of 256 bytes at most; further ones are dropped and counted",
        apply: |e, v| e.membership.datagrams = v.count() as u32,
        show: |e| e.membership.datagrams.to_string(),
    },
    Setting {
        section: "membership",
        name: "status",
        kind: Kind::Path,
        about: "where 'roseyard-ingress status' reads how the members are seen; written anew each second at most",
        apply: |e, v| e.membership.status = Some(v.text().into()),
        show: |e| file(&e.membership.status),
    },
];
