//! What the records of an endpoint list mean to this ingress.

use crate::directory::Directory;
use crate::endpoint_list_message::{EndpointRecord, EndpointRecordState};
use roseyard_decision::{EndpointEntry, EndpointId, EndpointState, ServiceId};
use std::net::SocketAddr;
use std::time::Duration;

/// Resolves the names and times in the records of an endpoint list.
pub struct RecordResolver<'a, F> {
    /// Names of the zones, by number.
    pub zones: &'a [String],
    /// Which service an endpoint belongs to.
    pub directory: &'a Directory,
    /// Turns a Unix time in milliseconds into a time of the engine's clock; none: long ago.
    pub to_engine_time: F,
}

impl<F> RecordResolver<'_, F>
where
    F: Fn(f64) -> Option<Duration>,
{
    /// When the endpoint started; none: long ago.
    pub(super) fn started_at(&self, record: &EndpointRecord) -> Option<Duration> {
        (self.to_engine_time)(record.started_at_unix_ms)
    }

    /// The service that the endpoint belongs to, if any.
    pub(super) fn service(&self, uid: &str, address: SocketAddr) -> Option<ServiceId> {
        self.directory.service_of_endpoint(uid, address)
    }

    /// The record for the decision module. Its service is set by whoever passes it on.
    pub(super) fn entry(
        &self,
        record: &EndpointRecord,
        endpoint: EndpointId,
        state: EndpointState,
        started_at: Option<Duration>,
    ) -> EndpointEntry {
        EndpointEntry {
            endpoint,
            service: ServiceId::default(),
            zone: self.zone(&record.zone),
            cell: record.cell,
            state,
            weight: record.weight,
            rank: rank(&record.uid),
            started_at,
        }
    }

    /// Number of a zone; 0 for a name that the settings do not have.
    fn zone(&self, name: &str) -> u16 {
        self.zones.iter().position(|zone| zone == name).unwrap_or(0) as u16
    }
}

/// The decision module's state for a record's; none: the entry is unreadable.
pub(super) fn endpoint_state(state: EndpointRecordState) -> Option<EndpointState> {
    match state {
        EndpointRecordState::Serving => Some(EndpointState::Ready),
        EndpointRecordState::Draining => Some(EndpointState::Draining),
        EndpointRecordState::Deleted => Some(EndpointState::Removed),
        EndpointRecordState::Unknown => None,
    }
}

/// FNV-1a hash of the uid: every ingress ranks the endpoints alike, whatever order the list names
/// them in.
fn rank(uid: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    uid.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
