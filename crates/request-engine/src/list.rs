//! The list of servers as discovery and the configuration word it.

use serde::de::IgnoredAny;
use serde::Deserialize;

/// One list, or the changes since another.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Wire")]
pub struct EndpointListMessage {
    /// Its version.
    pub rev: u64,
    /// Is it the whole list?
    pub all: bool,
    /// Its entries.
    pub targets: Vec<EndpointRecord>,
    /// How many entries more it had that could not be read.
    pub unreadable: usize,
}

#[derive(Deserialize)]
struct Wire {
    #[serde(default)]
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<Entry>,
}

/// Guards against one odd field that takes the other entries, or word of a drain, with it.
#[derive(Deserialize)]
#[serde(untagged)]
enum Entry {
    Whole(EndpointRecord),
    /// Of one that leaves, nothing but its name is needed.
    Leaving {
        uid: String,
        state: Leaving,
    },
    Unreadable(IgnoredAny),
}

#[derive(Deserialize)]
enum Leaving {
    #[serde(rename = "DRAINING")]
    Draining,
    #[serde(rename = "DELETED")]
    Deleted,
}

impl From<Wire> for EndpointListMessage {
    fn from(wire: Wire) -> EndpointListMessage {
        let mut list = EndpointListMessage {
            rev: wire.rev,
            all: wire.all,
            ..EndpointListMessage::default()
        };
        for entry in wire.targets {
            match entry {
                Entry::Whole(target) => list.targets.push(target),
                Entry::Leaving { uid, state } => {
                    list.targets.push(EndpointRecord::leaving(uid, &state))
                }
                Entry::Unreadable(_) => list.unreadable += 1,
            }
        }
        list
    }
}

/// One server.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointRecord {
    /// Its name, the same at every ingress.
    pub uid: String,
    /// Where it listens for this ingress.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its pod.
    #[serde(default)]
    pub pod_group: u16,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub state: String,
    /// Its size beside the others.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// Unix time of its start in milliseconds, or 0.
    #[serde(default)]
    pub boot_ms: f64,
}

impl EndpointRecord {
    fn leaving(uid: String, state: &Leaving) -> EndpointRecord {
        let state = match state {
            Leaving::Draining => "DRAINING",
            Leaving::Deleted => "DELETED",
        };
        let (address, az, state) = (String::new(), String::new(), state.to_owned());
        EndpointRecord {
            uid,
            address,
            az,
            pod_group: 0,
            state,
            capacity_hint: one(),
            boot_ms: 0.0,
        }
    }
}

fn one() -> f64 {
    1.0
}
