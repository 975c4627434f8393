//! Formats values in the syntax of the file, for `roseyard-ingress explain`.

use roseyard_admission::{DescriptorLimits, Rate};
use std::path::PathBuf;
use std::time::Duration;

pub(super) fn duration(duration: Duration) -> String {
    format!("\"{}\"", humantime::format_duration(duration))
}

pub(super) fn flag(is_on: bool) -> String {
    if is_on { "#true" } else { "#false" }.into()
}

pub(super) fn optional<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "none".into(), |value| value.to_string())
}

pub(super) fn path(path: &Option<PathBuf>) -> String {
    let path = path.as_ref();
    optional(path.map(|path| format!("\"{}\"", path.display())))
}

/// Formats the items, separated by spaces; `none` if there are no items.
pub(super) fn list<T>(items: &[T], format: impl Fn(&T) -> String) -> String {
    let formatted: Vec<String> = items.iter().map(format).collect();
    optional((!items.is_empty()).then(|| formatted.join(" ")))
}

pub(super) fn rate(rate: Option<Rate>) -> String {
    optional(rate.map(|rate| format!("{} burst={}", rate.per_second, rate.burst)))
}

pub(super) fn limits(limits: DescriptorLimits) -> String {
    format!("least={} most={}", limits.guaranteed, limits.max)
}
