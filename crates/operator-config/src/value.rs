//! The value of a setting, as parsed from the file.

use crate::settings::NamedAddress;
use ipnet::IpNet;
use roseyard_admission::Rate;
use std::net::SocketAddr;
use std::time::Duration;

/// A parsed value. Several kinds of settings ([`ValueKind`](crate::value_kind::ValueKind)) share a
/// variant. The accessors return a neutral value, such as 0, for any other variant; the schema
/// calls only the accessor that matches the kind of its setting.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Flag(bool),
    Count(u64),
    Number(f64),
    Duration(Duration),
    Rate(Rate),
    /// The names and values of the properties that the line has.
    Properties(Vec<(&'static str, u64)>),
    Networks(Vec<IpNet>),
    Text(String),
    Addresses(Vec<SocketAddr>),
    NamedAddresses(Vec<NamedAddress>),
}

impl Value {
    pub(crate) fn flag(&self) -> bool {
        *self == Value::Flag(true)
    }

    pub(crate) fn count(&self) -> usize {
        match self {
            Value::Count(count) => *count as usize,
            _ => 0,
        }
    }

    pub(crate) fn number(&self) -> f64 {
        match self {
            Value::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub(crate) fn duration(&self) -> Duration {
        match self {
            Value::Duration(duration) => *duration,
            _ => Duration::ZERO,
        }
    }

    pub(crate) fn rate(&self) -> Option<Rate> {
        match self {
            Value::Rate(rate) => Some(*rate),
            _ => None,
        }
    }

    pub(crate) fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub(crate) fn networks(&self) -> &[IpNet] {
        match self {
            Value::Networks(networks) => networks,
            _ => &[],
        }
    }

    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        match self {
            Value::Addresses(addresses) => addresses,
            _ => &[],
        }
    }

    pub(crate) fn named_addresses(&self) -> &[NamedAddress] {
        match self {
            Value::NamedAddresses(addresses) => addresses,
            _ => &[],
        }
    }

    /// Returns the value of a property; `None` if the line does not have it.
    pub(crate) fn property(&self, name: &str) -> Option<u64> {
        let Value::Properties(properties) = self else {
            return None;
        };
        let (_, value) = properties.iter().find(|(given, _)| *given == name)?;
        Some(*value)
    }
}
