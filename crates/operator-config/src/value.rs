//! Kinds of values, how they are read and how they are shown.

use ipnet::IpNet;
use kdl::{KdlEntry, KdlNode, KdlValue};
use miette::SourceSpan;
use roseyard_admission::Rate;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// What a setting holds, with its bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    /// `#true` or `#false`.
    Flag,
    /// A whole number.
    Count(u64, u64),
    /// A number.
    Number(f64, f64),
    /// A share of something, 0 to 1.
    Ratio,
    /// A time such as "250ms" or "1h 30m", bounds in milliseconds.
    Time(u64, u64),
    /// So many a second, and `burst=` at once.
    Rate,
    /// Bits of prefixes: `v4=24 v6-client=64 v6=48`, each of its own accord.
    Prefixes,
    /// Addresses and ranges of addresses.
    Ranges,
    /// `least=` and `most=`, each of its own accord, up to so many.
    Bounds(u64),
    /// One of these words.
    Word(&'static [&'static str]),
    /// The path of a file.
    Path,
    /// A short name: letters, digits, dots, dashes and underscores, up to so many bytes.
    Label(usize),
    /// Addresses with ports, up to so many.
    Addresses(usize),
    /// Names and the addresses by which they are reached from here, up to so many.
    Paths(usize),
}

/// What stands in the file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Flag(bool),
    Count(u64),
    Number(f64),
    Time(Duration),
    Rate(f64, f64),
    /// By the names of the properties that were given.
    Named(Vec<(&'static str, u64)>),
    Ranges(Vec<IpNet>),
    Text(String),
    Addresses(Vec<SocketAddr>),
    Paths(Vec<(String, SocketAddr)>),
}

impl Value {
    pub(crate) fn count(&self) -> usize {
        if let Value::Count(n) = self {
            *n as usize
        } else {
            0
        }
    }

    pub(crate) fn number(&self) -> f64 {
        if let Value::Number(n) = self {
            *n
        } else {
            0.0
        }
    }

    pub(crate) fn time(&self) -> Duration {
        if let Value::Time(at) = self {
            *at
        } else {
            Duration::ZERO
        }
    }

    pub(crate) fn on(&self) -> bool {
        *self == Value::Flag(true)
    }

    pub(crate) fn rate(&self) -> Option<Rate> {
        if let Value::Rate(per_second, burst) = self {
            Some(Rate {
                per_second: *per_second,
                burst: *burst,
            })
        } else {
            None
        }
    }

    pub(crate) fn text(&self) -> &str {
        if let Value::Text(text) = self {
            text
        } else {
            ""
        }
    }

    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        if let Value::Addresses(held) = self {
            held
        } else {
            &[]
        }
    }

    /// The value of a property, if it was given.
    pub(crate) fn named(&self, name: &str) -> Option<u64> {
        let Value::Named(held) = self else {
            return None;
        };
        held.iter().find(|(held, _)| *held == name).map(|(_, n)| *n)
    }
}

const PREFIXES: [(&str, u64, u64); 3] = [("v4", 8, 32), ("v6-client", 32, 128), ("v6", 16, 128)];

/// Is this a name of letters, digits, dots, dashes and underscores, of 1 to `most` bytes?
pub(crate) fn is_label(text: &str, most: usize) -> bool {
    let good = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
    (1..=most).contains(&text.len()) && text.bytes().all(good)
}

/// What is wrong, and where.
pub(crate) type Wrong = (SourceSpan, String);

impl Kind {
    /// What is allowed, for messages and pages.
    pub(crate) fn allowed(&self) -> String {
        match self {
            Kind::Flag => "#true or #false".into(),
            Kind::Count(least, most) => format!("a whole number from {least} to {most}"),
            Kind::Number(least, most) => format!("a number from {least} to {most}"),
            Kind::Ratio => "a share from 0 to 1".into(),
            Kind::Time(least, most) => {
                let shown =
                    |ms: &u64| humantime::format_duration(Duration::from_millis(*ms)).to_string();
                format!("a time from \"{}\" to \"{}\"", shown(least), shown(most))
            }
            Kind::Rate => {
                "a rate a second from 0.001 to 1000000, and burst= from 1 to 1000000".into()
            }
            Kind::Prefixes => {
                let each =
                    PREFIXES.map(|(name, least, most)| format!("{name}= from {least} to {most}"));
                each.join(", ")
            }
            Kind::Ranges => "addresses or ranges such as \"192.0.2.7\" or \"2001:db8::/32\"".into(),
            Kind::Bounds(most) => {
                format!("least= and most= from 0 to {most}, least not above most")
            }
            Kind::Word(words) => words.join(" or "),
            Kind::Path => "the path of a file".into(),
            Kind::Label(most) => format!("1 to {most} letters, digits, '.', '-' or '_'"),
            Kind::Addresses(1) => "an address with a port such as \"127.0.0.1:7946\"".into(),
            Kind::Addresses(most) => {
                format!("1 to {most} addresses with ports such as \"127.0.0.1:7946\"")
            }
            Kind::Paths(most) => {
                format!("1 to {most} names with addresses such as \"n1=127.0.0.1:7946\"")
            }
        }
    }

    /// Reads a setting's values.
    pub(crate) fn read(&self, node: &KdlNode) -> Result<Value, Wrong> {
        let wrong = |what: String| (node.span(), what);
        if let Some(children) = node.children() {
            return Err((
                children.span(),
                format!("'{}' holds values, not settings", node.name().value()),
            ));
        }
        let named = |name: &str| {
            node.entries()
                .iter()
                .find(|e| e.name().is_some_and(|n| n.value() == name))
        };
        let names: &[&str] = match self {
            Kind::Rate => &["burst"],
            Kind::Prefixes => &["v4", "v6-client", "v6"],
            Kind::Bounds(_) => &["least", "most"],
            _ => &[],
        };
        for entry in node.entries() {
            if let Some(name) = entry.name().filter(|n| !names.contains(&n.value())) {
                let what = format!("'{}' takes no '{}='", node.name().value(), name.value());
                return Err((entry.span(), what));
            }
        }
        let plain: Vec<&KdlEntry> = node
            .entries()
            .iter()
            .filter(|e| e.name().is_none())
            .collect();
        let counts = match self {
            Kind::Ranges => 1..=4096,
            Kind::Addresses(most) | Kind::Paths(most) => 1..=*most,
            Kind::Prefixes | Kind::Bounds(_) => 0..=0,
            _ => 1..=1,
        };
        if !counts.contains(&plain.len()) {
            let (name, held) = (node.name().value(), plain.len());
            return Err(wrong(format!("'{name}' has {held} values")));
        }
        let one = plain.first().copied();
        let bad = |entry: &KdlEntry| {
            let shown = entry.value().as_string().map(|text| format!("{text:?}"));
            let shown = shown.unwrap_or_else(|| entry.value().to_string());
            (entry.span(), format!("{shown} is not allowed here"))
        };
        let whole = |entry: &KdlEntry, least: u64, most: u64| {
            let found = entry
                .value()
                .as_integer()
                .and_then(|n| u64::try_from(n).ok());
            found
                .filter(|n| (least..=most).contains(n))
                .ok_or_else(|| bad(entry))
        };
        let number = |entry: &KdlEntry, least: f64, most: f64| {
            let found = match entry.value() {
                KdlValue::Integer(n) => Some(*n as f64),
                KdlValue::Float(n) => Some(*n),
                _ => None,
            };
            found
                .filter(|n| (least..=most).contains(n))
                .ok_or_else(|| bad(entry))
        };
        let text = |entry: &'_ KdlEntry| {
            entry
                .value()
                .as_string()
                .map(str::to_owned)
                .ok_or_else(|| bad(entry))
        };
        let one = || one.ok_or_else(|| wrong("a value is missing".into()));
        Ok(match self {
            Kind::Flag => {
                let entry = one()?;
                Value::Flag(entry.value().as_bool().ok_or_else(|| bad(entry))?)
            }
            Kind::Count(least, most) => Value::Count(whole(one()?, *least, *most)?),
            Kind::Number(least, most) => Value::Number(number(one()?, *least, *most)?),
            Kind::Ratio => Value::Number(number(one()?, 0.0, 1.0)?),
            Kind::Time(least, most) => {
                let entry = one()?;
                let time = humantime::parse_duration(&text(entry)?).map_err(|_| bad(entry))?;
                let bounds = Duration::from_millis(*least)..=Duration::from_millis(*most);
                Value::Time(
                    Some(time)
                        .filter(|t| bounds.contains(t))
                        .ok_or_else(|| bad(entry))?,
                )
            }
            Kind::Rate => {
                let rate = number(one()?, 0.001, 1e6)?;
                let burst = named("burst").map(|e| number(e, 1.0, 1e6)).transpose()?;
                Value::Rate(rate, burst.unwrap_or(rate.max(1.0)))
            }
            Kind::Prefixes => {
                let mut held = Vec::new();
                for (name, least, most) in PREFIXES {
                    if let Some(entry) = named(name) {
                        held.push((name, whole(entry, least, most)?));
                    }
                }
                Value::Named(held)
            }
            Kind::Bounds(top) => {
                let mut held = Vec::new();
                for name in ["least", "most"] {
                    if let Some(entry) = named(name) {
                        held.push((name, whole(entry, 0, *top)?));
                    }
                }
                if let [(_, least), (_, most)] = held[..] {
                    if least > most {
                        return Err(wrong(format!("least={least} is above most={most}")));
                    }
                }
                Value::Named(held)
            }
            Kind::Ranges => {
                let range = |entry: &&KdlEntry| {
                    let text = text(entry)?;
                    let one = || text.parse::<IpAddr>().map(IpNet::from);
                    text.parse::<IpNet>()
                        .or_else(|_| one())
                        .map_err(|_| bad(entry))
                };
                Value::Ranges(plain.iter().map(range).collect::<Result<_, Wrong>>()?)
            }
            Kind::Word(words) => {
                let entry = one()?;
                let text = text(entry)?;
                Value::Text(
                    Some(text)
                        .filter(|t| words.contains(&t.as_str()))
                        .ok_or_else(|| bad(entry))?,
                )
            }
            Kind::Path => {
                let entry = one()?;
                let text = text(entry)?;
                Value::Text(
                    Some(text)
                        .filter(|t| !t.is_empty())
                        .ok_or_else(|| bad(entry))?,
                )
            }
            Kind::Label(most) => {
                let entry = one()?;
                let text = text(entry)?;
                Value::Text(
                    Some(text)
                        .filter(|t| is_label(t, *most))
                        .ok_or_else(|| bad(entry))?,
                )
            }
            Kind::Addresses(_) => {
                let address = |entry: &&KdlEntry| text(entry)?.parse().map_err(|_| bad(entry));
                Value::Addresses(plain.iter().map(address).collect::<Result<_, Wrong>>()?)
            }
            Kind::Paths(_) => {
                let path = |entry: &&KdlEntry| {
                    let text = text(entry)?;
                    let (name, address) = text.split_once('=').ok_or_else(|| bad(entry))?;
                    let address = address.parse().map_err(|_| bad(entry))?;
                    Some((name.to_owned(), address))
                        .filter(|_| is_label(name, 16))
                        .ok_or_else(|| bad(entry))
                };
                Value::Paths(plain.iter().map(path).collect::<Result<_, Wrong>>()?)
            }
        })
    }
}
