//! The platform's endpoint list, decoded. The platform's field names are mapped here, once.

use serde::de::IgnoredAny;
use serde::Deserialize;

/// A full endpoint list, or the changes since an earlier revision.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Wire")]
pub struct EndpointListMessage {
    /// Revision of the list; 0 where the message names none.
    pub revision: u64,
    /// Whether the list is full: an endpoint that it does not name is gone.
    pub is_full: bool,
    /// The readable entries, in the message's order.
    pub endpoints: Vec<EndpointRecord>,
    /// Number of entries that could not be read.
    pub unreadable_count: usize,
}

/// One endpoint as the platform describes it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint's name, the same at every ingress.
    pub uid: String,
    /// Where it listens: an IP address and a port, not parsed yet.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// Name of its zone; empty where the platform names none.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// Number of its cell, within which repeats of a request with an idempotency key are dropped.
    #[serde(rename = "pod_group", default)]
    pub cell: u16,
    /// Its state.
    pub state: EndpointRecordState,
    /// Its capacity relative to the other endpoints; 1 where the platform says nothing.
    #[serde(rename = "capacity_hint", default = "default_weight")]
    pub weight: f64,
    /// Unix time of its start in milliseconds; 0 if unknown.
    #[serde(rename = "boot_ms", default)]
    pub started_at_unix_ms: f64,
}

/// State of an endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum EndpointRecordState {
    /// `SERVING`: it accepts requests.
    Serving,
    /// `DRAINING`: it finishes what it has and accepts nothing more.
    Draining,
    /// `DELETED`: it is gone.
    Deleted,
    /// Any other text. Such an entry counts as unreadable.
    Unknown,
}

impl From<String> for EndpointRecordState {
    fn from(text: String) -> EndpointRecordState {
        match text.as_str() {
            "SERVING" => EndpointRecordState::Serving,
            "DRAINING" => EndpointRecordState::Draining,
            "DELETED" => EndpointRecordState::Deleted,
            _ => EndpointRecordState::Unknown,
        }
    }
}

/// The message as it comes.
#[derive(Deserialize)]
struct Wire {
    #[serde(rename = "rev", default)]
    revision: u64,
    #[serde(rename = "all", default)]
    is_full: bool,
    #[serde(rename = "targets", default)]
    entries: Vec<WireEntry>,
}

/// An entry is read by itself: one malformed field costs neither the other entries nor the notice
/// that its endpoint drains.
#[derive(Deserialize)]
#[serde(untagged)]
enum WireEntry {
    Complete(EndpointRecord),
    /// An endpoint that leaves needs no readable field but its name.
    Leaving {
        uid: String,
        state: LeavingState,
    },
    Unreadable(IgnoredAny),
}

#[derive(Clone, Copy, Deserialize)]
enum LeavingState {
    #[serde(rename = "DRAINING")]
    Draining,
    #[serde(rename = "DELETED")]
    Deleted,
}

impl From<LeavingState> for EndpointRecordState {
    fn from(state: LeavingState) -> EndpointRecordState {
        match state {
            LeavingState::Draining => EndpointRecordState::Draining,
            LeavingState::Deleted => EndpointRecordState::Deleted,
        }
    }
}

impl From<Wire> for EndpointListMessage {
    fn from(wire: Wire) -> EndpointListMessage {
        let mut message = EndpointListMessage {
            revision: wire.revision,
            is_full: wire.is_full,
            ..EndpointListMessage::default()
        };
        for entry in wire.entries {
            match entry {
                WireEntry::Complete(record) => message.endpoints.push(record),
                WireEntry::Leaving { uid, state } => {
                    message.endpoints.push(EndpointRecord::leaving(uid, state));
                }
                WireEntry::Unreadable(_) => message.unreadable_count += 1,
            }
        }
        message
    }
}

impl EndpointRecord {
    /// An endpoint that leaves, of which only the name and state are known.
    fn leaving(uid: String, state: LeavingState) -> EndpointRecord {
        EndpointRecord {
            uid,
            address: String::new(),
            zone: String::new(),
            cell: 0,
            state: state.into(),
            weight: default_weight(),
            started_at_unix_ms: 0.0,
        }
    }
}

fn default_weight() -> f64 {
    1.0
}
