//! The endpoint list and the directory of services.

use super::RequestEngine;
use crate::directory::{Directory, DirectoryChange, DirectoryError};
use crate::endpoint_list_message::EndpointListMessage;
use crate::endpoint_registry::{AppliedEndpointList, EndpointRegistry, RecordResolver};
use roseyard_decision::{EndpointId, EndpointListUpdate, Event};
use std::net::SocketAddr;
use std::time::Duration;

impl<O, C, V> RequestEngine<O, C, V> {
    /// The endpoints of the latest list.
    pub fn endpoint_registry(&self) -> &EndpointRegistry {
        &self.endpoint_registry
    }

    /// Where an endpoint listens; none: no list has named it, or it is gone.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoint_registry
            .get(endpoint)
            .map(|endpoint| endpoint.address)
    }

    /// Applies an endpoint list or its changes. `zones` are the names of the zones by number;
    /// `to_engine_time` turns a Unix time in milliseconds into a time of the engine's clock, none
    /// for long ago.
    pub fn apply_endpoint_list(
        &mut self,
        list: &EndpointListMessage,
        zones: &[String],
        to_engine_time: impl Fn(f64) -> Option<Duration>,
    ) -> AppliedEndpointList {
        let resolver = RecordResolver {
            zones,
            directory: &self.directory,
            to_engine_time,
        };
        let applied = self.endpoint_registry.apply(list, &resolver);
        self.events
            .push_back(Event::EndpointListChanged(applied.update));
        AppliedEndpointList {
            stale_endpoints: applied.stale_endpoints,
            unreadable_count: applied.unreadable_count,
        }
    }

    /// Services with their routes and endpoints. Until one is set, one service holds everything.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Changes the directory to another one, which is in force from now on. Services are matched by
    /// name and keep their ids and their state; the decision module learns only of endpoints that
    /// move to another service. Returns the number of changes. An error leaves the changes before
    /// it in force.
    pub fn set_directory(&mut self, directory: &Directory) -> Result<usize, DirectoryError> {
        let changes = self.directory.difference(directory);
        let count = changes.len();
        for change in changes {
            self.change_directory(change)?;
        }
        Ok(count)
    }

    /// Changes the directory, at the cost of the change. Requests in flight stay with the service
    /// and the endpoint that they have. An error leaves everything unchanged.
    pub fn change_directory(&mut self, change: DirectoryChange) -> Result<(), DirectoryError> {
        let effect = self.directory.apply(change)?;
        let entries = self.endpoint_registry.reassign(&effect, &self.directory);
        if !entries.is_empty() {
            let update = EndpointListUpdate::Changes(entries);
            self.events.push_back(Event::EndpointListChanged(update));
        }
        Ok(())
    }
}
