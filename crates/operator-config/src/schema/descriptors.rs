//! Descriptors by what they are for.

use super::show::bounds;
use super::Setting;
use crate::settings::{MachineLimits, OperatorSettings};
use crate::value::{Kind, Value};
use roseyard_admission::{AdmissionPolicy, DescriptorLimits, DescriptorUse};

fn set_bounds(e: &mut OperatorSettings, of: DescriptorUse, value: &Value) {
    let share = &mut e.shares[of as usize];
    if let Some(least) = value.named("least") {
        share.guaranteed = least as usize;
        share.max = share.max.max(share.guaranteed);
    }
    if let Some(most) = value.named("most") {
        share.max = most as usize;
        share.guaranteed = share.guaranteed.min(share.max);
    }
}

pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "descriptors",
        name: "total",
        kind: Kind::Count(48, 1 << 20),
        about: "descriptors of the process; never more than the platform and the system allow",
        apply: |e, v| *e = OperatorSettings::new(&MachineLimits { sockets: v.count(), allowed: e.sockets }),
        show: |e| e.sockets.to_string(),
    },
    Setting {
        section: "descriptors",
        name: "clients",
        kind: Kind::Bounds(1 << 20),
        about: "connections of clients: always there, and at most",
        apply: |e, v| {
            set_bounds(e, DescriptorUse::Clients, v);
            e.policy = AdmissionPolicy::with_capacity(e.share(DescriptorUse::Clients).max);
        },
        show: |e| bounds(e.share(DescriptorUse::Clients)),
    },
    Setting {
        section: "descriptors",
        name: "links",
        kind: Kind::Bounds(1 << 20),
        about: "connections to servers: always there, and at most, borrowed while clients leave them unused",
        apply: |e, v| set_bounds(e, DescriptorUse::Upstream, v),
        show: |e| bounds(e.share(DescriptorUse::Upstream)),
    },
    Setting {
        section: "descriptors",
        name: "counter",
        kind: Kind::Count(1, 32),
        about: "connections to the counter",
        apply: |e, v| e.shares[DescriptorUse::Counter as usize] = DescriptorLimits { guaranteed: v.count(), max: v.count() },
        show: |e| e.share(DescriptorUse::Counter).max.to_string(),
    },
];
