//! Moves endpoints to another service after a change of the directory.

use super::EndpointRegistry;
use crate::directory::{Directory, DirectoryEffect, EndpointSelector};
use roseyard_decision::{EndpointEntry, EndpointId, EndpointState};

impl EndpointRegistry {
    /// Moves endpoints to the services that the changed directory assigns them to. Returns the
    /// entries for the decision module, which remove each moved endpoint from its previous service
    /// and add it to the new one.
    #[must_use]
    pub fn reassign(
        &mut self,
        effect: &DirectoryEffect,
        directory: &Directory,
    ) -> Vec<EndpointEntry> {
        let mut entries = Vec::new();
        for id in self.affected_endpoints(effect) {
            let Some(endpoint) = self.endpoints.get_mut(&id) else {
                continue;
            };
            let service = directory.service_of_endpoint(&endpoint.uid, endpoint.address);
            let previous = std::mem::replace(&mut endpoint.service, service);
            if previous == service {
                continue;
            }
            entries
                .extend(previous.map(|service| endpoint.entry_in(service, EndpointState::Removed)));
            entries.extend(endpoint.current_entry());
        }
        entries
    }

    /// Returns the endpoints that a change of the directory may have moved to another service.
    fn affected_endpoints(&self, effect: &DirectoryEffect) -> Vec<EndpointId> {
        match effect {
            DirectoryEffect::Unchanged
            | DirectoryEffect::Added(_)
            | DirectoryEffect::Removed(_) => Vec::new(),
            DirectoryEffect::Reassigned(EndpointSelector::Uid(uid)) => {
                self.ids_by_uid.get(&**uid).copied().into_iter().collect()
            }
            DirectoryEffect::Reassigned(EndpointSelector::Network(network)) => {
                self.by_address.in_network(*network).collect()
            }
            DirectoryEffect::DefaultReassigned | DirectoryEffect::AllReassigned => {
                self.endpoints.keys().copied().collect()
            }
        }
    }
}
