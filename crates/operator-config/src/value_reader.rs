//! Parses the value of a setting according to its kind.

use crate::settings::NamedAddress;
use crate::value::Value;
use crate::value_kind::{PropertyBounds, ValueKind, MAX_NETWORKS, PREFIX_LENGTHS};
use crate::value_syntax::{invalid_value_message, is_label, unsigned_integer};
use ipnet::IpNet;
use kdl::{KdlEntry, KdlNode, KdlValue};
use miette::SourceSpan;
use roseyard_admission::Rate;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The allowed rates, in events per second.
const RATE_BOUNDS_PER_SECOND: RangeInclusive<f64> = 0.001..=1e6;
/// The allowed bursts of rates, in events.
const BURST_BOUNDS: RangeInclusive<f64> = 1.0..=1e6;
/// Maximum length of a label of [`ValueKind::NamedAddresses`], which is the name of a member.
const MAX_MEMBER_NAME_BYTES: usize = 16;

/// The reason why a value is rejected.
pub(crate) struct ValueError {
    /// The position of the error in the file.
    pub span: SourceSpan,
    /// The message, without position and help.
    pub message: String,
}

fn value_error(span: SourceSpan, message: impl Into<String>) -> ValueError {
    ValueError {
        span,
        message: message.into(),
    }
}

fn invalid_value_error(entry: &KdlEntry) -> ValueError {
    value_error(entry.span(), invalid_value_message(entry))
}

/// Parses the value from the line of a setting of this kind.
pub(crate) fn read_value(kind: &ValueKind, node: &KdlNode) -> Result<Value, ValueError> {
    check_no_children(node)?;
    check_properties(kind, node)?;
    let values = unnamed_values(kind, node)?;
    let first = || {
        let missing = || value_error(node.span(), "a value is missing");
        values.first().copied().ok_or_else(missing)
    };
    Ok(match kind {
        ValueKind::Flag => Value::Flag(read_flag(first()?)?),
        ValueKind::Count(min, max) => Value::Count(read_count(first()?, *min..=*max)?),
        ValueKind::Number(min, max) => Value::Number(read_number(first()?, *min..=*max)?),
        ValueKind::Ratio => Value::Number(read_number(first()?, 0.0..=1.0)?),
        ValueKind::DurationMs(min_ms, max_ms) => {
            let min = Duration::from_millis(*min_ms);
            let max = Duration::from_millis(*max_ms);
            Value::Duration(read_duration(first()?, min..=max)?)
        }
        ValueKind::Rate => Value::Rate(read_rate(first()?, node)?),
        ValueKind::PrefixLengths => Value::Properties(read_properties(node, &PREFIX_LENGTHS)?),
        ValueKind::Limits(max) => Value::Properties(read_limits(node, *max)?),
        ValueKind::Networks => Value::Networks(read_all(&values, read_network)?),
        ValueKind::OneOf(words) => Value::Text(read_text(first()?, |text| words.contains(&text))?),
        ValueKind::Path => Value::Text(read_text(first()?, |text| !text.is_empty())?),
        ValueKind::Label(max_bytes) => {
            Value::Text(read_text(first()?, |text| is_label(text, *max_bytes))?)
        }
        ValueKind::Addresses(_) => Value::Addresses(read_all(&values, read_address)?),
        ValueKind::NamedAddresses(_) => {
            Value::NamedAddresses(read_all(&values, read_named_address)?)
        }
    })
}

fn check_no_children(node: &KdlNode) -> Result<(), ValueError> {
    let Some(children) = node.children() else {
        return Ok(());
    };
    let name = node.name().value();
    let message = format!("'{name}' takes values, not settings in braces");
    Err(value_error(children.span(), message))
}

/// Returns an error if a line has a property that its kind does not take.
fn check_properties(kind: &ValueKind, node: &KdlNode) -> Result<(), ValueError> {
    let known: &[&str] = match kind {
        ValueKind::Rate => &["burst"],
        ValueKind::PrefixLengths => &["v4", "v6-client", "v6"],
        ValueKind::Limits(_) => &["least", "most"],
        _ => &[],
    };
    for entry in node.entries() {
        if let Some(property) = entry.name().filter(|name| !known.contains(&name.value())) {
            let (name, property) = (node.name().value(), property.value());
            let message = format!("'{name}' has no property '{property}='");
            return Err(value_error(entry.span(), message));
        }
    }
    Ok(())
}

/// Returns the values of a line that are not properties. Returns an error if their number is not
/// allowed for its kind.
fn unnamed_values<'n>(
    kind: &ValueKind,
    node: &'n KdlNode,
) -> Result<Vec<&'n KdlEntry>, ValueError> {
    let allowed_counts = match kind {
        ValueKind::Networks => 1..=MAX_NETWORKS,
        ValueKind::Addresses(max) | ValueKind::NamedAddresses(max) => 1..=*max,
        ValueKind::PrefixLengths | ValueKind::Limits(_) => 0..=0,
        _ => 1..=1,
    };
    let unnamed = node.entries().iter().filter(|entry| entry.name().is_none());
    let values: Vec<&KdlEntry> = unnamed.collect();
    if allowed_counts.contains(&values.len()) {
        return Ok(values);
    }
    let (name, count) = (node.name().value(), values.len());
    let message = format!("wrong number of values for '{name}': found {count}");
    Err(value_error(node.span(), message))
}

fn read_all<T>(
    entries: &[&KdlEntry],
    read: impl Fn(&KdlEntry) -> Result<T, ValueError>,
) -> Result<Vec<T>, ValueError> {
    entries.iter().map(|entry| read(entry)).collect()
}

fn read_flag(entry: &KdlEntry) -> Result<bool, ValueError> {
    let flag = entry.value().as_bool();
    flag.ok_or_else(|| invalid_value_error(entry))
}

fn read_count(entry: &KdlEntry, bounds: RangeInclusive<u64>) -> Result<u64, ValueError> {
    unsigned_integer(entry)
        .filter(|count| bounds.contains(count))
        .ok_or_else(|| invalid_value_error(entry))
}

fn read_number(entry: &KdlEntry, bounds: RangeInclusive<f64>) -> Result<f64, ValueError> {
    let number = match entry.value() {
        KdlValue::Integer(number) => Some(*number as f64),
        KdlValue::Float(number) => Some(*number),
        _ => None,
    };
    number
        .filter(|number| bounds.contains(number))
        .ok_or_else(|| invalid_value_error(entry))
}

fn read_text(entry: &KdlEntry, is_allowed: impl Fn(&str) -> bool) -> Result<String, ValueError> {
    let text = entry.value().as_string().filter(|text| is_allowed(text));
    text.map(str::to_owned)
        .ok_or_else(|| invalid_value_error(entry))
}

fn read_duration(
    entry: &KdlEntry,
    bounds: RangeInclusive<Duration>,
) -> Result<Duration, ValueError> {
    let text = entry.value().as_string();
    text.and_then(|text| humantime::parse_duration(text).ok())
        .filter(|duration| bounds.contains(duration))
        .ok_or_else(|| invalid_value_error(entry))
}

/// Without the property `burst=`, the burst is the number of events of one second, at least 1.
fn read_rate(entry: &KdlEntry, node: &KdlNode) -> Result<Rate, ValueError> {
    let per_second = read_number(entry, RATE_BOUNDS_PER_SECOND)?;
    let burst = match property(node, "burst") {
        Some(burst) => read_number(burst, BURST_BOUNDS)?,
        None => per_second.max(1.0),
    };
    Ok(Rate { per_second, burst })
}

fn property<'n>(node: &'n KdlNode, name: &str) -> Option<&'n KdlEntry> {
    node.entries()
        .iter()
        .find(|entry| entry.name().is_some_and(|given| given.value() == name))
}

fn read_properties(
    node: &KdlNode,
    properties: &[PropertyBounds],
) -> Result<Vec<(&'static str, u64)>, ValueError> {
    let mut values = Vec::new();
    for PropertyBounds { name, min, max } in properties {
        if let Some(entry) = property(node, name) {
            values.push((*name, read_count(entry, *min..=*max)?));
        }
    }
    Ok(values)
}

fn read_limits(node: &KdlNode, max: u64) -> Result<Vec<(&'static str, u64)>, ValueError> {
    let bounds = ["least", "most"].map(|name| PropertyBounds { name, min: 0, max });
    let values = read_properties(node, &bounds)?;
    match values[..] {
        [(_, least), (_, most)] if least > most => {
            let message = format!("least={least} is greater than most={most}");
            Err(value_error(node.span(), message))
        }
        _ => Ok(values),
    }
}

fn read_network(entry: &KdlEntry) -> Result<IpNet, ValueError> {
    let parse = |text: &str| {
        let network = text.parse::<IpNet>().ok();
        network.or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))
    };
    let network = entry.value().as_string().and_then(parse);
    network.ok_or_else(|| invalid_value_error(entry))
}

fn read_address(entry: &KdlEntry) -> Result<SocketAddr, ValueError> {
    let address = entry.value().as_string().and_then(|text| text.parse().ok());
    address.ok_or_else(|| invalid_value_error(entry))
}

fn read_named_address(entry: &KdlEntry) -> Result<NamedAddress, ValueError> {
    let parse = |text: &str| {
        let (name, address) = text.split_once('=')?;
        let address = address.parse().ok()?;
        is_label(name, MAX_MEMBER_NAME_BYTES).then(|| NamedAddress {
            name: name.to_owned(),
            address,
        })
    };
    let named = entry.value().as_string().and_then(parse);
    named.ok_or_else(|| invalid_value_error(entry))
}
