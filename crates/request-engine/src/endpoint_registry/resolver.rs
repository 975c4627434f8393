//! Converts the records of an endpoint list for the decision module of this ingress.

use crate::directory::Directory;
use crate::endpoint_list_message::{EndpointRecord, EndpointRecordState};
use roseyard_decision::{EndpointEntry, EndpointId, EndpointState, ServiceId};
use std::net::SocketAddr;
use std::time::Duration;

/// Resolves the names of zones, the services and the start times of the records of an endpoint
/// list.
pub struct RecordResolver<'a, F> {
    /// The names of the zones, indexed by zone number.
    pub zones: &'a [String],
    /// The directory that assigns endpoints to services.
    pub directory: &'a Directory,
    /// Converts a Unix time in milliseconds to a time of the engine's clock. Returns `None` if the
    /// time is unknown or too long ago.
    pub to_engine_time: F,
}

impl<F> RecordResolver<'_, F>
where
    F: Fn(f64) -> Option<Duration>,
{
    /// Returns the time at which the endpoint started; `None` if unknown or too long ago.
    pub(super) fn started_at(&self, record: &EndpointRecord) -> Option<Duration> {
        (self.to_engine_time)(record.started_at_unix_ms)
    }

    /// Returns the service that the endpoint belongs to, if any.
    pub(super) fn service(&self, uid: &str, address: SocketAddr) -> Option<ServiceId> {
        self.directory.service_of_endpoint(uid, address)
    }

    /// Returns the entry for the decision module. The `service` field is left at its default and is
    /// set when the entry is reported.
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

    /// Returns the number of a zone; 0 if the settings do not contain its name.
    fn zone(&self, name: &str) -> u16 {
        self.zones.iter().position(|zone| zone == name).unwrap_or(0) as u16
    }
}

/// Converts the state in a record; `None` if it is unknown, which makes the entry unreadable.
pub(super) fn endpoint_state(state: EndpointRecordState) -> Option<EndpointState> {
    match state {
        EndpointRecordState::Serving => Some(EndpointState::Ready),
        EndpointRecordState::Draining => Some(EndpointState::Draining),
        EndpointRecordState::Deleted => Some(EndpointState::Removed),
        EndpointRecordState::Unknown => None,
    }
}

/// Returns the FNV-1a hash of the uid. It ranks the endpoints in the same order on every ingress,
/// regardless of their order in the list.
fn rank(uid: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    uid.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
