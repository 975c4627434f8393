//! The kinds of values that settings take, and what is allowed for each.

use std::time::Duration;

/// The kind of value that a setting takes, with its bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ValueKind {
    /// `#true` or `#false`.
    Flag,
    /// A whole number, from and to.
    Count(u64, u64),
    /// A number, from and to.
    Number(f64, f64),
    /// A ratio, 0 to 1.
    Ratio,
    /// A duration such as "250ms" or "1h 30m"; from and to, in milliseconds.
    DurationMs(u64, u64),
    /// Events a second, and `burst=` for those at once.
    Rate,
    /// Lengths of address prefixes as properties: `v4=24 v6-client=64 v6=48`, each optional.
    PrefixLengths,
    /// Addresses and networks.
    Networks,
    /// Properties `least=` and `most=`, each optional, up to a maximum.
    Limits(u64),
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// The path of a file.
    Path,
    /// A label of up to this many bytes; see [`is_label`](crate::value_syntax::is_label).
    Label(usize),
    /// Addresses with ports, up to this many.
    Addresses(usize),
    /// Labels with an address and port each, such as `n1=127.0.0.1:7946`; up to this many.
    NamedAddresses(usize),
}

/// Values without a name that a line of networks takes at most.
pub(crate) const MAX_NETWORKS: usize = 4096;

/// A property, with the least and the greatest value that it takes.
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
    /// What is allowed, for errors and for `explain`.
    pub(crate) fn allowed(&self) -> String {
        match self {
            ValueKind::Flag => "#true or #false".into(),
            ValueKind::Count(min, max) => format!("a whole number from {min} to {max}"),
            ValueKind::Number(min, max) => format!("a number from {min} to {max}"),
            ValueKind::Ratio => "a share from 0 to 1".into(),
            ValueKind::DurationMs(min_ms, max_ms) => {
                let format = |ms: &u64| humantime::format_duration(Duration::from_millis(*ms));
                let (min, max) = (format(min_ms), format(max_ms));
                format!("a time from \"{min}\" to \"{max}\"")
            }
            ValueKind::Rate => {
                "a rate a second from 0.001 to 1000000, and burst= from 1 to 1000000".into()
            }
            ValueKind::PrefixLengths => PREFIX_LENGTHS
                .map(|PropertyBounds { name, min, max }| format!("{name}= from {min} to {max}"))
                .join(", "),
            ValueKind::Networks => {
                "addresses or ranges such as \"192.0.2.7\" or \"2001:db8::/32\"".into()
            }
            ValueKind::Limits(max) => {
                format!("least= and most= from 0 to {max}, least not above most")
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
