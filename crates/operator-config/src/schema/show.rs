//! How values are worded in explanations, as the file would have them.

use roseyard_admission::{DescriptorLimits, Rate};
use std::path::PathBuf;
use std::time::Duration;

pub(super) fn time(at: Duration) -> String {
    format!("\"{}\"", humantime::format_duration(at))
}

pub(super) fn flag(on: bool) -> String {
    if on { "#true" } else { "#false" }.into()
}

pub(super) fn optional<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "none".into(), |v| v.to_string())
}

pub(super) fn file(path: &Option<PathBuf>) -> String {
    optional(path.as_ref().map(|f| format!("\"{}\"", f.display())))
}

/// One after the other, or that there are none.
pub(super) fn all<T>(of: &[T], word: impl Fn(&T) -> String) -> String {
    optional(Some(of.iter().map(word).collect::<Vec<_>>().join(" ")).filter(|_| !of.is_empty()))
}

pub(super) fn rate(rate: Option<Rate>) -> String {
    optional(rate.map(|r| format!("{} burst={}", r.per_second, r.burst)))
}

pub(super) fn bounds(share: DescriptorLimits) -> String {
    format!("least={} most={}", share.guaranteed, share.max)
}
