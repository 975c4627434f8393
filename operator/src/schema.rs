//! Every setting once: its section, name, kind, what it is for, how it takes effect and how it is shown. The
//! checks, the effective values and the explanation all go by this table.

use crate::value::{Kind, Value};
use roseyard_admission::{Listed, Policy, Rate, Share, Use, USES};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the process may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Descriptors by the platform's configuration.
    pub sockets: usize,
    /// Descriptors that the system allows (RLIMIT_NOFILE, the soft limit).
    pub allowed: usize,
}

/// Where standing is kept over a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The file; none to keep nothing.
    pub file: Option<PathBuf>,
    /// How often it is written.
    pub every: Duration,
    /// Most addresses, and most customers, that it holds.
    pub most: usize,
}

/// How ingresses learn of one another, where they may speak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Where this ingress listens for the others; none: no socket is opened.
    pub listen: Option<SocketAddr>,
    /// The cluster's name: others' datagrams are dropped.
    pub cluster: String,
    /// The file of the key that seals.
    pub key_file: Option<PathBuf>,
    /// The file of a second key that opens too, during a rotation.
    pub other_key_file: Option<PathBuf>,
    /// Where members are asked to be let in.
    pub seeds: Vec<SocketAddr>,
    /// Where members are reached from here, if not where they say that they listen.
    pub paths: Vec<(String, SocketAddr)>,
    /// Members that there should be, this one included.
    pub expected: usize,
    /// This ingress's zone; empty for none.
    pub zone: String,
    /// One member is probed so often.
    pub period: Duration,
    /// A direct answer is awaited so long.
    pub timeout: Duration,
    /// News goes out so often.
    pub gossip: Duration,
    /// All that is held is compared with one member so often.
    pub sync: Duration,
    /// Least time of a suspicion, in periods.
    pub suspicion: u32,
    /// Datagrams sent a second at most.
    pub datagrams: u32,
    /// Where `roseyard status` reads.
    pub status: Option<PathBuf>,
}

/// All settings after defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Effective {
    /// Descriptors in all.
    pub sockets: usize,
    /// Descriptors by use, in the order of [`USES`].
    pub shares: [Share; USES.len()],
    /// Admission of connections.
    pub policy: Policy,
    /// Standing over a restart.
    pub standing: Standing,
    /// Ingresses that learn of one another.
    pub membership: Membership,
    /// Log lines a second; further ones are counted.
    pub log_lines: u32,
    /// Log lines as JSON objects?
    pub log_json: bool,
}

/// Descriptors for standard streams, readiness, listener and signals.
const FIXED: usize = 12;

impl Effective {
    /// The defaults on such a machine. Three quarters of the descriptors that are left are for clients and a
    /// quarter for servers; servers may borrow up to half of them while clients leave them unused.
    pub fn new(machine: &Machine) -> Effective {
        let sockets = machine.sockets.min(machine.allowed);
        let share = |least: usize, most: usize| Share { least, most };
        let kept = FIXED + 8 + 2 + 2 + 1;
        let left = sockets.saturating_sub(kept).max(4);
        let shares = [
            share(FIXED, FIXED),
            share(left / 2, left - left / 4),
            share(left / 4, left / 2),
            share(8, 8),
            share(2, 2),
            share(2, 2),
            share(1, 1),
            share(0, 0),
        ];
        Effective {
            sockets,
            shares,
            policy: Policy::of(left - left / 4),
            standing: Standing { file: None, every: Duration::from_secs(30), most: 100_000 },
            membership: Membership {
                listen: None,
                cluster: "roseyard".into(),
                key_file: None,
                other_key_file: None,
                seeds: Vec::new(),
                paths: Vec::new(),
                expected: 1,
                zone: String::new(),
                period: Duration::from_millis(1000),
                timeout: Duration::from_millis(300),
                gossip: Duration::from_millis(200),
                sync: Duration::from_millis(5000),
                suspicion: 4,
                datagrams: 2000,
                status: None,
            },
            log_lines: 50,
            log_json: false,
        }
    }

    /// What a use of descriptors may hold.
    pub fn share(&self, of: Use) -> Share {
        self.shares[of as usize]
    }
}

pub(crate) struct Setting {
    pub section: &'static str,
    pub name: &'static str,
    pub kind: Kind,
    pub about: &'static str,
    pub apply: fn(&mut Effective, &Value),
    pub show: fn(&Effective) -> String,
}

fn time(at: Duration) -> String {
    format!("\"{}\"", humantime::format_duration(at))
}

fn flag(on: bool) -> String {
    if on { "#true" } else { "#false" }.into()
}

fn optional<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "none".into(), |v| v.to_string())
}

fn file(path: &Option<PathBuf>) -> String {
    optional(path.as_ref().map(|f| format!("\"{}\"", f.display())))
}

/// One after the other, or that there are none.
fn all<T>(of: &[T], word: impl Fn(&T) -> String) -> String {
    optional(Some(of.iter().map(word).collect::<Vec<_>>().join(" ")).filter(|_| !of.is_empty()))
}

fn rate(rate: Option<Rate>) -> String {
    optional(rate.map(|r| format!("{} burst={}", r.per_second, r.burst)))
}

fn bounds(share: Share) -> String {
    format!("least={} most={}", share.least, share.most)
}

impl Value {
    fn count(&self) -> usize {
        if let Value::Count(n) = self {
            *n as usize
        } else {
            0
        }
    }

    fn number(&self) -> f64 {
        if let Value::Number(n) = self {
            *n
        } else {
            0.0
        }
    }

    fn time(&self) -> Duration {
        if let Value::Time(at) = self {
            *at
        } else {
            Duration::ZERO
        }
    }

    fn on(&self) -> bool {
        *self == Value::Flag(true)
    }

    fn rate(&self) -> Option<Rate> {
        if let Value::Rate(per_second, burst) = self {
            Some(Rate { per_second: *per_second, burst: *burst })
        } else {
            None
        }
    }

    fn text(&self) -> &str {
        if let Value::Text(text) = self {
            text
        } else {
            ""
        }
    }

    fn addresses(&self) -> &[SocketAddr] {
        if let Value::Addresses(held) = self {
            held
        } else {
            &[]
        }
    }

    /// The value of a property, if it was given.
    fn named(&self, name: &str) -> Option<u64> {
        let Value::Named(held) = self else { return None };
        held.iter().find(|(held, _)| *held == name).map(|(_, n)| *n)
    }
}

fn share_of(places: usize, share: f64) -> usize {
    (places as f64 * share).round() as usize
}

fn set_bounds(e: &mut Effective, of: Use, value: &Value) {
    let share = &mut e.shares[of as usize];
    if let Some(least) = value.named("least") {
        share.least = least as usize;
        share.most = share.most.max(share.least);
    }
    if let Some(most) = value.named("most") {
        share.most = most as usize;
        share.least = share.least.min(share.most);
    }
}

/// Where settings follow from others, the others stand before them.
pub(crate) const SETTINGS: &[Setting] = &[
    Setting {
        section: "descriptors",
        name: "total",
        kind: Kind::Count(48, 1 << 20),
        about: "descriptors of the process; never more than the platform and the system allow",
        apply: |e, v| *e = Effective::new(&Machine { sockets: v.count(), allowed: e.sockets }),
        show: |e| e.sockets.to_string(),
    },
    Setting {
        section: "descriptors",
        name: "clients",
        kind: Kind::Bounds(1 << 20),
        about: "connections of clients: always there, and at most",
        apply: |e, v| {
            set_bounds(e, Use::Clients, v);
            e.policy = Policy::of(e.share(Use::Clients).most);
        },
        show: |e| bounds(e.share(Use::Clients)),
    },
    Setting {
        section: "descriptors",
        name: "links",
        kind: Kind::Bounds(1 << 20),
        about: "connections to servers: always there, and at most, borrowed while clients leave them unused",
        apply: |e, v| set_bounds(e, Use::Links, v),
        show: |e| bounds(e.share(Use::Links)),
    },
    Setting {
        section: "descriptors",
        name: "counter",
        kind: Kind::Count(1, 32),
        about: "connections to the counter",
        apply: |e, v| e.shares[Use::Counter as usize] = Share { least: v.count(), most: v.count() },
        show: |e| e.share(Use::Counter).most.to_string(),
    },
    Setting {
        section: "admission",
        name: "places",
        kind: Kind::Count(1, 1 << 20),
        about: "client connections in all; never more than 'descriptors' leaves them",
        apply: |e, v| e.policy = Policy::of(v.count().min(e.share(Use::Clients).most)),
        show: |e| e.policy.places.to_string(),
    },
    Setting {
        section: "admission",
        name: "reserve",
        kind: Kind::Share,
        about: "share of the places on which newcomers may rest, but not have requests open",
        apply: |e, v| e.policy.reserve = share_of(e.policy.places, v.number()),
        show: |e| e.policy.reserve.to_string(),
    },
    Setting {
        section: "admission",
        name: "silent-room",
        kind: Kind::Share,
        about: "share of the places for connections that have asked nothing yet",
        apply: |e, v| e.policy.silent_room = share_of(e.policy.places, v.number()).max(1),
        show: |e| e.policy.silent_room.to_string(),
    },
    Setting {
        section: "admission",
        name: "once-room",
        kind: Kind::Share,
        about: "share of the places for connections that rest and have asked once",
        apply: |e, v| e.policy.once_room = share_of(e.policy.places, v.number()).max(1),
        show: |e| e.policy.once_room.to_string(),
    },
    Setting {
        section: "admission",
        name: "by-address",
        kind: Kind::Flag,
        about: "does the address tell clients apart? Not behind a front that brings all of them",
        apply: |e, v| e.policy.by_address = v.on(),
        show: |e| flag(e.policy.by_address),
    },
    Setting {
        section: "admission",
        name: "per-client",
        kind: Kind::Count(1, 1 << 20),
        about: "connections of one client address (needs by-address)",
        apply: |e, v| e.policy.per_client = Some(v.count() as u32),
        show: |e| optional(e.policy.per_client),
    },
    Setting {
        section: "admission",
        name: "per-neighbourhood",
        kind: Kind::Count(1, 1 << 20),
        about: "connections of one neighbourhood of addresses (needs by-address)",
        apply: |e, v| e.policy.per_neighbourhood = Some(v.count() as u32),
        show: |e| optional(e.policy.per_neighbourhood),
    },
    Setting {
        section: "admission",
        name: "rate-client",
        kind: Kind::Rate,
        about: "new connections a second of one client address (needs by-address)",
        apply: |e, v| e.policy.rate_client = v.rate(),
        show: |e| rate(e.policy.rate_client),
    },
    Setting {
        section: "admission",
        name: "rate-neighbourhood",
        kind: Kind::Rate,
        about: "new connections a second of one neighbourhood (needs by-address)",
        apply: |e, v| e.policy.rate_neighbourhood = v.rate(),
        show: |e| rate(e.policy.rate_neighbourhood),
    },
    Setting {
        section: "admission",
        name: "pace-newcomers",
        kind: Kind::Rate,
        about: "requests a second of all newcomers together; further ones are refused with advice",
        apply: |e, v| e.policy.pace_newcomers = v.rate(),
        show: |e| rate(e.policy.pace_newcomers),
    },
    Setting {
        section: "admission",
        name: "prefixes",
        kind: Kind::Prefixes,
        about: "bits of an address that name a neighbourhood (v4, v6) and an IPv6 client (v6-client)",
        apply: |e, v| {
            let held = &mut e.policy.prefixes;
            let bits = |name, old: u8| v.named(name).map_or(old, |n| n as u8);
            (held.v4, held.v6) = (bits("v4", held.v4), bits("v6", held.v6));
            held.v6_client = bits("v6-client", held.v6_client);
        },
        show: |e| {
            let held = e.policy.prefixes;
            format!("v4={} v6-client={} v6={}", held.v4, held.v6_client, held.v6)
        },
    },
    Setting {
        section: "admission",
        name: "listed",
        kind: Kind::Ranges,
        about: "the operator's own addresses and ranges: no cap holds for them, and they go last",
        apply: |e, v| {
            if let Value::Ranges(ranges) = v {
                e.policy.listed = Listed::new(ranges.iter().copied());
            }
        },
        show: |e| match e.policy.listed.len() {
            0 => "none".into(),
            n => format!("{n} ranges"),
        },
    },
    Setting {
        section: "admission",
        name: "known-after",
        kind: Kind::Number(0.5, 1e6),
        about: "served requests, fading, from which on an address or a customer is known",
        apply: |e, v| e.policy.known_after = v.number() as f32,
        show: |e| e.policy.known_after.to_string(),
    },
    Setting {
        section: "admission",
        name: "known-half-life",
        kind: Kind::Time(1_000, 2_592_000_000),
        about: "time in which what was served counts half",
        apply: |e, v| e.policy.known_half_life = v.time(),
        show: |e| time(e.policy.known_half_life),
    },
    Setting {
        section: "admission",
        name: "suspect-after",
        kind: Kind::Number(0.5, 1e6),
        about: "faults, fading, from which on an address is suspect",
        apply: |e, v| e.policy.suspect_after = v.number() as f32,
        show: |e| e.policy.suspect_after.to_string(),
    },
    Setting {
        section: "admission",
        name: "suspect-half-life",
        kind: Kind::Time(100, 86_400_000),
        about: "time in which faults count half",
        apply: |e, v| e.policy.suspect_half_life = v.time(),
        show: |e| time(e.policy.suspect_half_life),
    },
    Setting {
        section: "admission",
        name: "vouched",
        kind: Kind::Count(0, 1 << 16),
        about: "connections at a time that a known customer's name lifts above those that asked once",
        apply: |e, v| e.policy.vouched = v.count() as u32,
        show: |e| e.policy.vouched.to_string(),
    },
    Setting {
        section: "admission",
        name: "remembered",
        kind: Kind::Count(16, 4 << 20),
        about: "addresses remembered without a connection, and as many neighbourhoods and customers",
        apply: |e, v| e.policy.remembered = v.count(),
        show: |e| e.policy.remembered.to_string(),
    },
    Setting {
        section: "admission",
        name: "silent",
        kind: Kind::Time(50, 3_600_000),
        about: "a connection that has asked nothing is ended after this",
        apply: |e, v| e.policy.silent = v.time(),
        show: |e| time(e.policy.silent),
    },
    Setting {
        section: "admission",
        name: "once",
        kind: Kind::Time(50, 3_600_000),
        about: "one that has asked once is ended after resting for this",
        apply: |e, v| e.policy.once = v.time(),
        show: |e| time(e.policy.once),
    },
    Setting {
        section: "admission",
        name: "idle",
        kind: Kind::Time(50, 86_400_000),
        about: "one that comes again is ended after resting for this",
        apply: |e, v| e.policy.idle = v.time(),
        show: |e| time(e.policy.idle),
    },
    Setting {
        section: "admission",
        name: "guard",
        kind: Kind::Time(0, 86_400_000),
        about: "a known client's connection goes for a newcomer's only after resting for this",
        apply: |e, v| e.policy.guard = v.time(),
        show: |e| time(e.policy.guard),
    },
    Setting {
        section: "admission",
        name: "breath",
        kind: Kind::Time(0, 10_000),
        about: "no connection goes for a newcomer's before it has had this long to speak",
        apply: |e, v| e.policy.breath = v.time(),
        show: |e| time(e.policy.breath),
    },
    Setting {
        section: "admission",
        name: "advice",
        kind: Kind::Time(1, 3_600_000),
        about: "when those that are turned away are told to come again",
        apply: |e, v| e.policy.advice = v.time(),
        show: |e| time(e.policy.advice),
    },
    Setting {
        section: "admission",
        name: "warm-up",
        kind: Kind::Time(0, 3_600_000),
        about: "for so long after the start one served request makes a connection that comes again known",
        apply: |e, v| e.policy.warm_up = v.time(),
        show: |e| time(e.policy.warm_up),
    },
    Setting {
        section: "standing",
        name: "file",
        kind: Kind::Path,
        about: "where standing is kept over a restart, on a disk that lasts",
        apply: |e, v| e.standing.file = Some(v.text().into()),
        show: |e| file(&e.standing.file),
    },
    Setting {
        section: "standing",
        name: "every",
        kind: Kind::Time(100, 86_400_000),
        about: "how often it is written (needs file)",
        apply: |e, v| e.standing.every = v.time(),
        show: |e| time(e.standing.every),
    },
    Setting {
        section: "standing",
        name: "most",
        kind: Kind::Count(1, 250_000),
        about: "most addresses, and most customers, that it holds (needs file)",
        apply: |e, v| e.standing.most = v.count(),
        show: |e| e.standing.most.to_string(),
    },
    Setting {
        section: "membership",
        name: "listen",
        kind: Kind::Addresses(1),
        about: "where this ingress listens for the others; without it no socket is opened (next start)",
        apply: |e, v| {
            e.membership.listen = v.addresses().first().copied();
            e.shares[Use::Peers as usize] = Share { least: 1, most: 1 };
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
        about: "where 'roseyard status' reads how the members are seen; written anew each second at most",
        apply: |e, v| e.membership.status = Some(v.text().into()),
        show: |e| file(&e.membership.status),
    },
    Setting {
        section: "log",
        name: "lines",
        kind: Kind::Count(1, 100_000),
        about: "log lines a second; further ones are counted (takes effect at the next start)",
        apply: |e, v| e.log_lines = v.count() as u32,
        show: |e| e.log_lines.to_string(),
    },
    Setting {
        section: "log",
        name: "format",
        kind: Kind::Word(&["text", "json"]),
        about: "the form of log lines; --log goes before it (takes effect at the next start)",
        apply: |e, v| e.log_json = v.text() == "json",
        show: |e| if e.log_json { "json" } else { "text" }.into(),
    },
];

/// Settings that mean nothing without another, which must be given (and on) too.
pub(crate) const NEEDS: &[(&str, &str, &str)] = &[
    ("admission", "per-client", "by-address"),
    ("admission", "per-neighbourhood", "by-address"),
    ("admission", "rate-client", "by-address"),
    ("admission", "rate-neighbourhood", "by-address"),
    ("admission", "prefixes", "by-address"),
    ("standing", "every", "file"),
    ("standing", "most", "file"),
    ("membership", "listen", "key-file"),
    ("membership", "key-file", "listen"),
    ("membership", "cluster", "listen"),
    ("membership", "other-key-file", "listen"),
    ("membership", "seeds", "listen"),
    ("membership", "paths", "listen"),
    ("membership", "expected", "listen"),
    ("membership", "zone", "listen"),
    ("membership", "period", "listen"),
    ("membership", "timeout", "listen"),
    ("membership", "gossip", "listen"),
    ("membership", "sync", "listen"),
    ("membership", "suspicion", "listen"),
    ("membership", "datagrams", "listen"),
    ("membership", "status", "listen"),
];
