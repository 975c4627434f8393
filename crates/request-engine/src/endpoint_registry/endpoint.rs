//! An endpoint of the registry.

use roseyard_decision::{EndpointEntry, EndpointState, ServiceId};
use std::net::SocketAddr;
use std::time::Duration;

/// An endpoint of the list.
pub struct Endpoint {
    pub(super) uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Latest revision of the list that named it.
    pub(super) revision: u64,
    /// What the decision module knows of it, except for its service.
    pub(super) entry: EndpointEntry,
    /// The service that it belongs to, if any.
    pub(super) service: Option<ServiceId>,
}

impl Endpoint {
    /// The service that it belongs to; none: no service gets its capacity.
    #[must_use]
    pub fn service(&self) -> Option<ServiceId> {
        self.service
    }

    /// Its state in the latest list.
    #[must_use]
    pub fn state(&self) -> EndpointState {
        self.entry.state
    }

    /// Whether it accepts new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state() == EndpointState::Ready
    }

    /// When it started; none: long ago.
    pub(super) fn started_at(&self) -> Option<Duration> {
        self.entry.started_at
    }

    /// Its entry for the decision module in this service, with this state.
    pub(super) fn entry_in(&self, service: ServiceId, state: EndpointState) -> EndpointEntry {
        EndpointEntry {
            service,
            state,
            ..self.entry
        }
    }

    /// Its entry for the decision module, unless it belongs to no service.
    pub(super) fn current_entry(&self) -> Option<EndpointEntry> {
        let service = self.service?;
        Some(self.entry_in(service, self.state()))
    }

    /// The entry that removes it from its service, unless it belongs to none.
    pub(super) fn removal_entry(&self) -> Option<EndpointEntry> {
        let service = self.service?;
        Some(self.entry_in(service, EndpointState::Removed))
    }
}
