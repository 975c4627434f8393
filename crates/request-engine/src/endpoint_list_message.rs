//! Decoding of the platform's endpoint list. Only this module knows the platform's field names.

use serde::de::IgnoredAny;
use serde::Deserialize;

/// A full endpoint list, or the changes since an earlier revision.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Wire")]
pub struct EndpointListMessage {
    /// The revision of the list; 0 if the message has none.
    pub revision: u64,
    /// Whether the list is complete, so that endpoints which are not in it have been removed.
    pub is_full: bool,
    /// The valid entries, in the order of the message.
    pub endpoints: Vec<EndpointRecord>,
    /// The number of entries that could not be decoded.
    pub unreadable_count: usize,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointRecord {
    /// The unique name of the endpoint, which is the same on every ingress.
    pub uid: String,
    /// The IP address and port that the endpoint listens on, not parsed yet.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// The name of the endpoint's zone; empty if the platform gives none.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// The number of the endpoint's cell. Endpoints of a cell share their idempotency keys, so that
    /// a repeated request is executed only once within the cell.
    #[serde(rename = "pod_group", default)]
    pub cell: u16,
    /// Whether the endpoint accepts requests, is draining or has been removed.
    pub state: EndpointRecordState,
    /// The capacity relative to the other endpoints; 1 if the platform gives none.
    #[serde(rename = "capacity_hint", default = "default_weight")]
    pub weight: f64,
    /// The Unix time at which the endpoint started, in milliseconds; 0 if unknown.
    #[serde(rename = "boot_ms", default)]
    pub started_at_unix_ms: f64,
}

/// The state of an endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum EndpointRecordState {
    /// `SERVING`: the endpoint accepts requests.
    Serving,
    /// `DRAINING`: the endpoint finishes its requests in flight and accepts no new ones.
    Draining,
    /// `DELETED`: the endpoint no longer exists.
    Deleted,
    /// Any other value. The registry counts such an entry as unreadable.
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

/// The message with the platform's field names.
#[derive(Deserialize)]
struct Wire {
    #[serde(rename = "rev", default)]
    revision: u64,
    #[serde(rename = "all", default)]
    is_full: bool,
    #[serde(rename = "targets", default)]
    entries: Vec<WireEntry>,
}

/// An entry of the message. Each entry is decoded separately, so that a malformed field neither
/// invalidates the other entries nor hides that its own endpoint is draining or removed.
#[derive(Deserialize)]
#[serde(untagged)]
enum WireEntry {
    Complete(EndpointRecord),
    /// An endpoint that is draining or removed, whose other fields may be malformed.
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
    /// Returns the record of a draining or removed endpoint of which only the name and the state
    /// are known.
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
