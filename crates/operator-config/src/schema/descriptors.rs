//! The section `descriptors`: limits on file descriptors by use.

use super::format::limits;
use super::setting::Setting;
use crate::settings::{MachineLimits, OperatorSettings};
use crate::value::Value;
use crate::value_kind::ValueKind;
use roseyard_admission::{AdmissionPolicy, DescriptorLimits, DescriptorUse};

/// Sets the limits that the value contains. If only one is given, the other one is adjusted so that
/// the guaranteed minimum does not exceed the maximum.
fn set_limits(settings: &mut OperatorSettings, descriptor_use: DescriptorUse, value: &Value) {
    let limits = &mut settings.descriptor_limits[descriptor_use as usize];
    if let Some(guaranteed) = value.property("least") {
        limits.guaranteed = guaranteed as usize;
        limits.max = limits.max.max(limits.guaranteed);
    }
    if let Some(max) = value.property("most") {
        limits.max = max as usize;
        limits.guaranteed = limits.guaranteed.min(limits.max);
    }
}

/// The settings of the section.
pub(super) const SETTINGS: &[Setting] = &[
    Setting {
        section: "descriptors",
        name: "total",
        kind: ValueKind::Count(48, 1 << 20),
        description: "number of file descriptors of the process; lowered to what the platform and the system allow if that is less",
        apply: |settings, value| {
            *settings = OperatorSettings::new(&MachineLimits {
                platform_descriptors: value.count(),
                system_descriptors: settings.descriptors,
            });
        },
        format: |settings| settings.descriptors.to_string(),
    },
    Setting {
        section: "descriptors",
        name: "clients",
        kind: ValueKind::Limits(1 << 20),
        description: "file descriptors for client connections: guaranteed minimum (least) and maximum (most); those above the minimum are available while other uses leave them unused",
        apply: |settings, value| {
            set_limits(settings, DescriptorUse::Clients, value);
            let max_clients = settings.descriptor_limits_of(DescriptorUse::Clients).max;
            settings.policy = AdmissionPolicy::with_capacity(max_clients);
        },
        format: |settings| limits(settings.descriptor_limits_of(DescriptorUse::Clients)),
    },
    Setting {
        section: "descriptors",
        name: "links",
        kind: ValueKind::Limits(1 << 20),
        description: "file descriptors for connections to servers: guaranteed minimum (least) and maximum (most); those above the minimum are available while other uses leave them unused",
        apply: |settings, value| set_limits(settings, DescriptorUse::Upstream, value),
        format: |settings| limits(settings.descriptor_limits_of(DescriptorUse::Upstream)),
    },
    Setting {
        section: "descriptors",
        name: "counter",
        kind: ValueKind::Count(1, 32),
        description: "file descriptors for connections to the counter",
        apply: |settings, value| {
            let limits = DescriptorLimits::exactly(value.count());
            settings.descriptor_limits[DescriptorUse::Counter as usize] = limits;
        },
        format: |settings| settings.descriptor_limits_of(DescriptorUse::Counter).max.to_string(),
    },
];
