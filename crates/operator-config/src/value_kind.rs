//! The kinds of values that settings take, and the values that each allows.

use std::time::Duration;

/// The kind of value that a setting takes, with its bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ValueKind {
    /// `#true` or `#false`.
    Flag,
    /// A whole number between a minimum and a maximum, both included.
    Count(u64, u64),
    /// A number between a minimum and a maximum, both included.
    Number(f64, f64),
    /// A ratio from 0 to 1.
    Ratio,
    /// A duration such as "250ms" or "1h 30m" between a minimum and a maximum, both included and in
    /// milliseconds.
    DurationMs(u64, u64),
    /// Events per second, with the optional property `burst=`: the number of events allowed at
    /// once.
    Rate,
    /// Lengths of address prefixes as properties: `v4=24 v6-client=64 v6=48`, each optional.
    PrefixLengths,
    /// Up to [`MAX_NETWORKS`] addresses and networks.
    Networks,
    /// The properties `least=` and `most=`, each optional and at most this value.
    Limits(u64),
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// The path of a file; not empty.
    Path,
    /// A label of at most this many bytes; see [`is_label`](crate::value_syntax::is_label).
    Label(usize),
    /// Up to this many addresses with ports.
    Addresses(usize),
    /// Up to this many labels, each with an address and port, such as `n1=127.0.0.1:7946`.
    NamedAddresses(usize),
}

/// Maximum number of addresses and networks of one setting.
pub(crate) const MAX_NETWORKS: usize = 4096;

/// The name of a property and the range of its values, both bounds included.
pub(crate) struct PropertyBounds {
    pub name: &'static str,
    pub min: u64,
    pub max: u64,
}

const fn property(name: &'static str, min: u64, max: u64) -> PropertyBounds {
    PropertyBounds { name, min, max }
}

/// The properties of [`ValueKind::PrefixLengths`].
pub(crate) const PREFIX_LENGTHS: [PropertyBounds; 3] = [
    property("v4", 8, 32),
    property("v6-client", 32, 128),
    property("v6", 16, 128),
];

impl ValueKind {
    /// Returns a description of the allowed values, for errors and for `roseyard-ingress explain`.
    pub(crate) fn allowed(&self) -> String {
        match self {
            ValueKind::Flag => "#true or #false".into(),
            ValueKind::Count(min, max) => format!("a whole number from {min} to {max}"),
            ValueKind::Number(min, max) => format!("a number from {min} to {max}"),
            ValueKind::Ratio => "a ratio from 0 to 1".into(),
            ValueKind::DurationMs(min_ms, max_ms) => {
                let format = |ms: &u64| humantime::format_duration(Duration::from_millis(*ms));
                let (min, max) = (format(min_ms), format(max_ms));
                format!("a duration from \"{min}\" to \"{max}\"")
            }
            ValueKind::Rate => {
                "a rate per second from 0.001 to 1000000 and optionally burst= from 1 to 1000000"
                    .into()
            }
            ValueKind::PrefixLengths => PREFIX_LENGTHS
                .map(|PropertyBounds { name, min, max }| format!("{name}= from {min} to {max}"))
                .join(", "),
            ValueKind::Networks => {
                "addresses or networks such as \"192.0.2.7\" or \"2001:db8::/32\"".into()
            }
            ValueKind::Limits(max) => {
                format!("least= and most= from 0 to {max}, with least not greater than most")
            }
            ValueKind::OneOf(words) => words.join(" or "),
            ValueKind::Path => "the path of a file".into(),
            ValueKind::Label(max_bytes) => {
                format!("1 to {max_bytes} letters, digits, '.', '-' or '_'")
            }
            ValueKind::Addresses(1) => "an address with a port such as \"127.0.0.1:7946\"".into(),
            ValueKind::Addresses(max) => {
                format!("1 to {max} addresses with ports such as \"127.0.0.1:7946\"")
            }
            ValueKind::NamedAddresses(max) => {
                format!("1 to {max} names with addresses such as \"n1=127.0.0.1:7946\"")
            }
        }
    }
}
