//! The endpoints of the registry.

use roseyard_decision::{EndpointEntry, EndpointState, ServiceId};
use std::net::SocketAddr;
use std::time::Duration;

/// An endpoint of the platform's list.
pub struct Endpoint {
    pub(super) uid: String,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The latest revision of the list that contained the endpoint.
    pub(super) revision: u64,
    /// The entry for the decision module. Its `service` field is unused; see
    /// [`Endpoint::entry_in`].
    pub(super) entry: EndpointEntry,
    /// The service that the endpoint belongs to; `None` if the directory assigns it to none.
    pub(super) service: Option<ServiceId>,
}

impl Endpoint {
    /// Returns the service that the endpoint belongs to; `None` if it serves no requests because
    /// the directory assigns it to no service.
    #[must_use]
    pub fn service(&self) -> Option<ServiceId> {
        self.service
    }

    /// Returns the state of the endpoint in the latest list.
    #[must_use]
    pub fn state(&self) -> EndpointState {
        self.entry.state
    }

    /// Whether the endpoint accepts new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state() == EndpointState::Ready
    }

    /// Returns the time at which the endpoint started; `None` if unknown or too long ago.
    pub(super) fn started_at(&self) -> Option<Duration> {
        self.entry.started_at
    }

    /// Returns the entry for the decision module with this service and state.
    pub(super) fn entry_in(&self, service: ServiceId, state: EndpointState) -> EndpointEntry {
        EndpointEntry {
            service,
            state,
            ..self.entry
        }
    }

    /// Returns the entry for the decision module; `None` if the endpoint belongs to no service.
    pub(super) fn current_entry(&self) -> Option<EndpointEntry> {
        let service = self.service?;
        Some(self.entry_in(service, self.state()))
    }

    /// Returns the entry that removes the endpoint from its service; `None` if it belongs to no
    /// service.
    pub(super) fn removal_entry(&self) -> Option<EndpointEntry> {
        let service = self.service?;
        Some(self.entry_in(service, EndpointState::Removed))
    }
}
